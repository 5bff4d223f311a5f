package org.mallowroad.api.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mallowroad.StateSpaceExplorer;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.core.fold.Game;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** Claims over the store: whole or not at all, whatever is lost, late or ends in the middle. */
final class ClaimServiceTest {
  private static Game game(long n, long revision) {
    return new Game("l", n, revision, false, List.of("m"));
  }

  private static List<Game> games(long from, long to) {
    List<Game> out = new ArrayList<>();
    for (long g = from; g < to; g++) {
      out.add(game(g, 1));
    }
    return out;
  }

  private static ObjectNode value(List<Game> games) {
    ObjectNode v = Json.object();
    v.put("at", 1);
    v.putObject("job")
        .set(FoldCodec.BLOCKS, FoldCodec.encodeBlockKeys(ClaimService.blockKeys(games)));
    return v;
  }

  private static ClaimService claimService(EventLoop loop, KeyValueStore state, int ops) {
    return new ClaimService(loop, state, new RateLimiter(1e6, 1e6, loop.now()), ops, 8, j -> null);
  }

  /** Who holds each game by the records: the job of each side. */
  private static Map<Long, String> holders(InMemoryKeyValueStore store) {
    Map<Long, String> out = new TreeMap<>();
    for (String key : store.keys(RecordKeys.FOLD_BLOCKS_PREFIX)) {
      try {
        Block b = FoldCodec.decodeBlock(store.value(key));
        int index = RecordKeys.blockOfFoldBlockKey(key).index();
        for (Map.Entry<Block.Side, Fold> e : b.sides().entrySet()) {
          out.put(Block.gameNumber(index, e.getKey().gameIndex()), e.getValue().job());
        }
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }
    return out;
  }

  private static void end(InMemoryKeyValueStore store, String job, boolean done)
      throws InvalidMessageException {
    JsonNode open = store.value(RecordKeys.openJob(job));
    String body =
        Json.toText(
            Json.object()
                .<ObjectNode>set(
                    "writes",
                    Json.array()
                        .add(Json.object().put("delete", RecordKeys.openJob(job)))
                        .add(
                            Json.object()
                                .put("put", RecordKeys.endedJob(job))
                                .set(
                                    "v",
                                    done
                                        ? JobRecordCodec.encodeDone(1)
                                        : JobRecordCodec.encodeCancelled(open)))));
    store.serve("POST", "/multi", body.getBytes(java.nio.charset.StandardCharsets.UTF_8), 0);
  }

  /** One node on a clock. */
  private static final class Here {
    private final VirtualTimeHarness c = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process p = c.new Process();
    private final ClaimService claims = claimService(p, new KeyValueStore(p, p, p), 16);

    String accept(String id, List<Game> games) {
      String[] said = {"nothing"};
      claims.accept(
          id,
          value(games),
          games,
          JobDependencies.NONE,
          result -> said[0] = result.status() + " " + result.reason());
      c.advance(20_000);
      return said[0].trim();
    }
  }

  @Test
  void aClaimIsWholeOrNotAtAllAndTheSameSubmissionAgainIsKnown() throws InvalidMessageException {
    Here h = new Here();
    assertEquals("ACCEPTED", h.accept("job-1", games(0, 100)));
    assertEquals("DUPLICATE", h.accept("job-1", games(0, 100)));
    assertEquals(
        "CONFLICT folds: game 99 of l for m is held by job-1", h.accept("job-2", games(99, 120)));
    assertEquals(100, holders(h.c.store).size());
    end(h.c.store, "job-1", true);
    assertEquals(
        "REJECTED folds: game 99 of l for m is folded by job-1", h.accept("job-2", games(99, 120)));
    // What was cancelled is nobody's, and the next one takes it.
    assertEquals("ACCEPTED", h.accept("job-3", games(200, 210)));
    end(h.c.store, "job-3", false);
    assertEquals("ACCEPTED", h.accept("job-4", games(205, 215)));
    assertEquals("job-4", holders(h.c.store).get(205L));
    assertEquals("job-3", holders(h.c.store).get(204L));
  }

  @Test
  void aCorrectionFoldsOnceReplacesTheLowerAndNeverGoesBack() throws InvalidMessageException {
    Here h = new Here();
    assertEquals("ACCEPTED", h.accept("job-1", List.of(game(7, 1))));
    end(h.c.store, "job-1", true);
    assertEquals("ACCEPTED", h.accept("job-2", List.of(game(7, 2))));
    end(h.c.store, "job-2", false);
    // Cancelled: the first revision counts again, and the correction can come once more.
    assertEquals("ACCEPTED", h.accept("job-3", List.of(game(7, 2))));
    end(h.c.store, "job-3", true);
    assertEquals(
        "REJECTED folds: game 7 of l for m is folded in revision 2 by job-3",
        h.accept("job-4", List.of(game(7, 1))));
    // So does the job of the first revision by now; its user is told that it is done (UserApi).
    assertTrue(h.accept("job-1", List.of(game(7, 1))).startsWith("REJECTED"));
    assertEquals("ACCEPTED", h.accept("job-5", List.of(game(7, 3))));
  }

  @Test
  void aLargeClaimGoesOnWhereItsNodeEndedAndIsGivenUpWhereAGameIsTaken() {
    Here h = new Here();
    assertEquals("ACCEPTED", h.accept("job-1", List.of(game(900, 1))));
    // More blocks than a transaction takes; one of the last games is held: nothing of it stays.
    assertEquals(
        "CONFLICT folds: game 900 of l for m is held by job-1", h.accept("job-2", games(0, 1_000)));
    assertEquals(Map.of(900L, "job-1"), holders(h.c.store));
    assertEquals(List.of(), h.c.store.keys(RecordKeys.FOLD_INTENTS_PREFIX));
    // Its node ends in the middle; the same submission at another one goes on.
    List<Game> large = games(2_000, 3_000);
    h.claims.accept("job-3", value(large), large, JobDependencies.NONE, result -> {});
    while (holders(h.c.store).size() < 300) {
      h.c.advance(1);
    }
    h.p.crashed = true;
    assertEquals(1, h.c.store.keys(RecordKeys.FOLD_INTENTS_PREFIX).size());
    VirtualTimeHarness.Process other = h.c.new Process();
    ClaimService there = claimService(other, new KeyValueStore(other, other, other), 16);
    List<String> said = new ArrayList<>();
    there.accept(
        "job-3",
        value(large),
        large,
        JobDependencies.NONE,
        result -> said.add(result.status() + ""));
    h.c.advance(20_000);
    assertEquals(List.of("ACCEPTED"), said);
    assertEquals(1_001, holders(h.c.store).size());
    assertEquals(List.of(), h.c.store.keys(RecordKeys.FOLD_INTENTS_PREFIX));
  }

  @Test
  void aRecordThatIsNotOursIsNotWrittenOver() throws InvalidMessageException {
    Here h = new Here();
    String put = "{\"writes\":[{\"put\":\"fold/l/0000000\",\"v\":%s}]}";
    h.c.callStore("POST", "/multi", put.formatted("{\"v\":2}"));
    assertTrue(
        h.accept("job-1", games(0, 2))
            .startsWith("UNAVAILABLE block fold/l/0000000 cannot be read"));
    assertEquals(List.of(), h.c.store.keys(RecordKeys.OPEN_JOBS_PREFIX));
  }

  /**
   * Two nodes claim, one of them in steps; each call in any order, answers lost, transactions late
   * or twice, a node ends, and a leader gives the intent up in the middle.
   */
  private static final class Claim implements StateSpaceExplorer.Scenario {
    private final List<Game> one = List.of(game(1, 1), game(40, 1));
    private final List<Game> two = List.of(game(40, 1));
    private int accepted;

    @Override
    public void setUp(StateSpaceExplorer.Execution s) {
      node(s, "a", "job-1", one);
      node(s, "b", "job-2", two);
      s.addFault("undo", () -> undo(s, "c"));
    }

    private void node(StateSpaceExplorer.Execution s, String name, String job, List<Game> games) {
      StateSpaceExplorer.Process p = s.addProcess(name);
      p.mayCrash = true;
      Consumer<String> note = end -> s.observations.add(job + " " + end);
      claimService(p, new KeyValueStore(p, p, p), 4)
          .accept(
              job,
              value(games),
              games,
              JobDependencies.NONE,
              result -> note.accept(result.status() + ""));
    }

    private static void undo(StateSpaceExplorer.Execution s, String name) {
      JsonNode v = s.store.value(RecordKeys.foldIntent("job-1"));
      if (v == null) {
        return;
      }
      StateSpaceExplorer.Process p = s.addProcess(name);
      try {
        claimService(p, new KeyValueStore(p, p, p), 4)
            .abandon(
                "job-1",
                s.store.version(RecordKeys.foldIntent("job-1")),
                ClaimService.blockKeysOfIntent(v),
                ok -> {});
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }

    @Override
    public void afterTransaction(StateSpaceExplorer.Execution s) {
      Map<Long, String> by = holders(s.store);
      if (s.store.value(RecordKeys.openJob("job-1")) != null) {
        s.require(
            "job-1".equals(by.get(1L)) && "job-1".equals(by.get(40L)), "job-1 is half claimed");
      }
      if (s.store.value(RecordKeys.openJob("job-2")) != null) {
        s.require("job-2".equals(by.get(40L)), "job-2 is half claimed");
      }
    }

    @Override
    public void afterCompletion(StateSpaceExplorer.Execution s) {
      afterTransaction(s);
      for (String job : List.of("job-1", "job-2")) {
        boolean open = s.store.value(RecordKeys.openJob(job)) != null;
        s.require(
            open || !s.observations.contains(job + " ACCEPTED"), job + " was accepted and is not");
        boolean intent = s.store.value(RecordKeys.foldIntent(job)) != null;
        s.require(
            open || intent || !holders(s.store).containsValue(job), job + " left claims behind");
        accepted += open ? 1 : 0;
      }
    }
  }

  @Test
  void everyOrderOfTwoClaimsWithTroublesLeavesWholeClaims() {
    Claim scene = new Claim();
    // Two troubles in a history take 40 s: -Dexplore.troubles=2 (docs/folds.md has the counts).
    StateSpaceExplorer e =
        new StateSpaceExplorer(scene, Integer.getInteger("explore.troubles", 1), 400_000);
    e.explore(s -> {});
    System.out.println("claims: " + e.states() + " states, " + e.executions() + " histories");
    assertTrue(e.executions() > 100, "histories " + e.executions());
    assertTrue(scene.accepted > 100, "accepted " + scene.accepted);
  }
}
