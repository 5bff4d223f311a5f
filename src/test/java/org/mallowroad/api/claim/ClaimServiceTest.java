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

/**
 * Guards against half-applied claims: a job's games are claimed completely or not at all, even if
 * responses are lost, transactions arrive late or twice, or a node crashes between transactions.
 */
final class ClaimServiceTest {
  private static Game game(long number, long revision) {
    return new Game("l", number, revision, false, List.of("m"));
  }

  private static List<Game> games(long from, long to) {
    List<Game> games = new ArrayList<>();
    for (long number = from; number < to; number++) {
      games.add(game(number, 1));
    }
    return games;
  }

  private static ObjectNode openRecord(List<Game> games) {
    ObjectNode record = Json.object();
    record.put("at", 1);
    record
        .putObject("job")
        .set(FoldCodec.BLOCKS, FoldCodec.encodeBlockKeys(ClaimService.blockKeys(games)));
    return record;
  }

  private static ClaimService claimService(EventLoop loop, KeyValueStore state, int maxOps) {
    return new ClaimService(
        loop, state, new RateLimiter(1e6, 1e6, loop.now()), maxOps, 8, job -> null);
  }

  /** The job that holds each game, read from the sides of all stored blocks. */
  private static Map<Long, String> jobByGame(InMemoryKeyValueStore store) {
    Map<Long, String> jobByGame = new TreeMap<>();
    for (String key : store.keys(RecordKeys.FOLD_BLOCKS_PREFIX)) {
      try {
        Block block = FoldCodec.decodeBlock(store.value(key));
        int index = RecordKeys.blockOfFoldBlockKey(key).index();
        for (Map.Entry<Block.Side, Fold> entry : block.sides().entrySet()) {
          jobByGame.put(
              Block.gameNumber(index, entry.getKey().gameIndex()), entry.getValue().job());
        }
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }
    return jobByGame;
  }

  private static void endJob(InMemoryKeyValueStore store, String job, boolean isDone)
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
                                    isDone
                                        ? JobRecordCodec.encodeDone(1)
                                        : JobRecordCodec.encodeCancelled(open)))));
    store.serve("POST", "/multi", body.getBytes(java.nio.charset.StandardCharsets.UTF_8), 0);
  }

  /** A node that runs on the virtual clock. */
  private static final class TestNode {
    private final VirtualTimeHarness harness = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process process = harness.new Process();
    private final ClaimService claims =
        claimService(process, new KeyValueStore(process, process, process), 16);

    String accept(String id, List<Game> games) {
      String[] outcome = {"no result"};
      claims.accept(
          id,
          openRecord(games),
          games,
          JobDependencies.NONE,
          result -> outcome[0] = result.status() + " " + result.reason());
      harness.advance(20_000);
      return outcome[0].trim();
    }
  }

  @Test
  void claimIsAllOrNothingAndRepeatedSubmissionIsDuplicate() throws InvalidMessageException {
    TestNode node = new TestNode();
    assertEquals("ACCEPTED", node.accept("job-1", games(0, 100)));
    assertEquals("DUPLICATE", node.accept("job-1", games(0, 100)));
    assertEquals(
        "CONFLICT folds: game 99 of l for m is held by job-1",
        node.accept("job-2", games(99, 120)));
    assertEquals(100, jobByGame(node.harness.store).size());
    endJob(node.harness.store, "job-1", true);
    assertEquals(
        "REJECTED folds: game 99 of l for m is folded by job-1",
        node.accept("job-2", games(99, 120)));
    // The games of a cancelled job are free, and the next job claims them.
    assertEquals("ACCEPTED", node.accept("job-3", games(200, 210)));
    endJob(node.harness.store, "job-3", false);
    assertEquals("ACCEPTED", node.accept("job-4", games(205, 215)));
    assertEquals("job-4", jobByGame(node.harness.store).get(205L));
    assertEquals("job-3", jobByGame(node.harness.store).get(204L));
  }

  @Test
  void higherRevisionReplacesLowerOneAndLowerOneIsThenRejected() throws InvalidMessageException {
    TestNode node = new TestNode();
    assertEquals("ACCEPTED", node.accept("job-1", List.of(game(7, 1))));
    endJob(node.harness.store, "job-1", true);
    assertEquals("ACCEPTED", node.accept("job-2", List.of(game(7, 2))));
    endJob(node.harness.store, "job-2", false);
    // After the cancellation the first revision is valid again, and the correction may be submitted
    // again.
    assertEquals("ACCEPTED", node.accept("job-3", List.of(game(7, 2))));
    endJob(node.harness.store, "job-3", true);
    assertEquals(
        "REJECTED folds: game 7 of l for m is folded in revision 2 by job-3",
        node.accept("job-4", List.of(game(7, 1))));
    // The claim of the first job is rejected as well by now; UserApi responds to its user that it
    // is done.
    assertTrue(node.accept("job-1", List.of(game(7, 1))).startsWith("REJECTED"));
    assertEquals("ACCEPTED", node.accept("job-5", List.of(game(7, 3))));
  }

  @Test
  void largeClaimIsResumedAfterACrashAndAbandonedOnConflict() {
    TestNode node = new TestNode();
    assertEquals("ACCEPTED", node.accept("job-1", List.of(game(900, 1))));
    // The claim needs more blocks than fit into a transaction, and job-1 holds one of its last
    // games: no claim may remain.
    assertEquals(
        "CONFLICT folds: game 900 of l for m is held by job-1",
        node.accept("job-2", games(0, 1_000)));
    assertEquals(Map.of(900L, "job-1"), jobByGame(node.harness.store));
    assertEquals(List.of(), node.harness.store.keys(RecordKeys.FOLD_INTENTS_PREFIX));
    // The node crashes halfway through the claim; the same submission on another node resumes it.
    List<Game> manyGames = games(2_000, 3_000);
    node.claims.accept(
        "job-3", openRecord(manyGames), manyGames, JobDependencies.NONE, result -> {});
    while (jobByGame(node.harness.store).size() < 300) {
      node.harness.advance(1);
    }
    node.process.crashed = true;
    assertEquals(1, node.harness.store.keys(RecordKeys.FOLD_INTENTS_PREFIX).size());
    VirtualTimeHarness.Process otherProcess = node.harness.new Process();
    ClaimService otherNode =
        claimService(otherProcess, new KeyValueStore(otherProcess, otherProcess, otherProcess), 16);
    List<String> outcomes = new ArrayList<>();
    otherNode.accept(
        "job-3",
        openRecord(manyGames),
        manyGames,
        JobDependencies.NONE,
        result -> outcomes.add(result.status() + ""));
    node.harness.advance(20_000);
    assertEquals(List.of("ACCEPTED"), outcomes);
    assertEquals(1_001, jobByGame(node.harness.store).size());
    assertEquals(List.of(), node.harness.store.keys(RecordKeys.FOLD_INTENTS_PREFIX));
  }

  @Test
  void blockOfUnknownVersionIsNotOverwritten() throws InvalidMessageException {
    TestNode node = new TestNode();
    String putTransaction = "{\"writes\":[{\"put\":\"fold/l/0000000\",\"v\":%s}]}";
    node.harness.callStore("POST", "/multi", putTransaction.formatted("{\"v\":2}"));
    assertTrue(
        node.accept("job-1", games(0, 2))
            .startsWith("UNAVAILABLE block fold/l/0000000 cannot be read"));
    assertEquals(List.of(), node.harness.store.keys(RecordKeys.OPEN_JOBS_PREFIX));
  }

  /**
   * Two nodes claim an overlapping set of games, one of them in several transactions. Their calls
   * are interleaved in every order, while responses are lost, transactions are late or repeated, a
   * node crashes, or a leader abandons the intent halfway.
   */
  private static final class TwoClaimsScenario implements StateSpaceExplorer.Scenario {
    private final List<Game> gamesOfFirstJob = List.of(game(1, 1), game(40, 1));
    private final List<Game> gamesOfSecondJob = List.of(game(40, 1));
    private int openJobCount;

    @Override
    public void setUp(StateSpaceExplorer.Execution execution) {
      addNode(execution, "a", "job-1", gamesOfFirstJob);
      addNode(execution, "b", "job-2", gamesOfSecondJob);
      execution.addFault("undo", () -> abandonIntent(execution, "c"));
    }

    private void addNode(
        StateSpaceExplorer.Execution execution, String name, String job, List<Game> games) {
      StateSpaceExplorer.Process process = execution.addProcess(name);
      process.mayCrash = true;
      Consumer<String> recordOutcome = status -> execution.observations.add(job + " " + status);
      claimService(process, new KeyValueStore(process, process, process), 4)
          .accept(
              job,
              openRecord(games),
              games,
              JobDependencies.NONE,
              result -> recordOutcome.accept(result.status() + ""));
    }

    private static void abandonIntent(StateSpaceExplorer.Execution execution, String name) {
      JsonNode intent = execution.store.value(RecordKeys.foldIntent("job-1"));
      if (intent == null) {
        return;
      }
      StateSpaceExplorer.Process process = execution.addProcess(name);
      try {
        claimService(process, new KeyValueStore(process, process, process), 4)
            .abandon(
                "job-1",
                execution.store.version(RecordKeys.foldIntent("job-1")),
                ClaimService.blockKeysOfIntent(intent),
                ok -> {});
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }

    @Override
    public void afterTransaction(StateSpaceExplorer.Execution execution) {
      Map<Long, String> jobByGame = jobByGame(execution.store);
      if (execution.store.value(RecordKeys.openJob("job-1")) != null) {
        execution.require(
            "job-1".equals(jobByGame.get(1L)) && "job-1".equals(jobByGame.get(40L)),
            "job-1 is open but does not hold all its games");
      }
      if (execution.store.value(RecordKeys.openJob("job-2")) != null) {
        execution.require(
            "job-2".equals(jobByGame.get(40L)), "job-2 is open but does not hold all its games");
      }
    }

    @Override
    public void afterCompletion(StateSpaceExplorer.Execution execution) {
      afterTransaction(execution);
      for (String job : List.of("job-1", "job-2")) {
        boolean isOpen = execution.store.value(RecordKeys.openJob(job)) != null;
        execution.require(
            isOpen || !execution.observations.contains(job + " ACCEPTED"),
            job + " was reported as accepted but has no open record");
        boolean hasIntent = execution.store.value(RecordKeys.foldIntent(job)) != null;
        execution.require(
            isOpen || hasIntent || !jobByGame(execution.store).containsValue(job),
            job + " left claims behind");
        openJobCount += isOpen ? 1 : 0;
      }
    }
  }

  @Test
  void concurrentClaimsWithFaultsAreNeverHalfApplied() {
    TwoClaimsScenario scenario = new TwoClaimsScenario();
    // Exploring two faults per execution takes 40 s: -Dexplore.troubles=2 (see docs/folds.md for
    // the counts).
    StateSpaceExplorer explorer =
        new StateSpaceExplorer(scenario, Integer.getInteger("explore.troubles", 1), 400_000);
    explorer.explore(execution -> {});
    System.out.println(
        "claims: " + explorer.states() + " states, " + explorer.executions() + " executions");
    assertTrue(explorer.executions() > 100, "executions " + explorer.executions());
    assertTrue(scenario.openJobCount > 100, "accepted " + scenario.openJobCount);
  }
}
