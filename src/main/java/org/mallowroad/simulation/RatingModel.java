package org.mallowroad.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Users whose jobs fold games, some of the same ones at the same moment, with corrections, and
 * prints that wait for jobs and games; and what must be so whatever fails. It knows what users
 * asked for and what stands in the store.
 */
final class RatingModel {
  /** A side that a job was submitted to fold. */
  record Want(long game, String member, long revision) {}

  private static final String LEAGUE = "pnw-2026";

  /** Games of the one large job: more blocks than a transaction takes. */
  private static final int LARGE = 520;

  private static final int FROM_LARGE = 1_000;

  private final EventQueue time;
  private final SplittableRandom random;
  private final UserModel users;
  private final InvariantChecker checker;
  private final InMemoryKeyValueStore store;
  private final Map<String, List<Want>> requestedSides = new TreeMap<>();
  private final Map<String, List<String>> awaitedJobs = new TreeMap<>();
  private final Map<String, Long> upTo = new HashMap<>();

  RatingModel(
      EventQueue time,
      SplittableRandom random,
      UserModel users,
      InvariantChecker checker,
      InMemoryKeyValueStore store) {
    this.time = time;
    this.random = random;
    this.users = users;
    this.checker = checker;
    this.store = store;
    checker.onStart(this::starts);
  }

  /** Judges only, what it is told of. */
  RatingModel(InvariantChecker checker, InMemoryKeyValueStore store) {
    this(null, null, null, checker, store);
  }

  /** A job was submitted to fold these. */
  void addRatingJob(String job, List<Want> want) {
    requestedSides.put(job, want);
  }

  /** A print was submitted that waits for these. */
  void addPrintJob(String job, List<String> jobs) {
    awaitedJobs.put(job, jobs);
  }

  /**
   * Draws so many rating jobs; a third of them overlaps, every other one is followed by a print.
   */
  void scheduleJobs(int count, long loadMs) {
    for (int i = 0; i < count; i++) {
      long at = 2_000 + random.nextLong(loadMs);
      int from = 8 * (random.nextInt(3) == 0 ? random.nextInt(count) : i);
      fold(String.format("job-8%05d", i), at, from, 8 + 4 * random.nextInt(3), 1, i % 9 == 8);
      if (random.nextInt(3) == 0) {
        // An arbiter corrects some of them, before or after they are folded.
        long later = at + random.nextLong(40_000);
        fold(String.format("job-82%04d", i), later, from, 1 + random.nextInt(3), 2, false);
      }
      if (i % 2 == 0) {
        print(String.format("job-83%04d", i), at + random.nextLong(20_000), i, from);
      }
    }
    fold("job-899999", 5_000 + random.nextLong(30_000), FROM_LARGE, LARGE, 1, false);
  }

  private void fold(String id, long at, int from, int games, long revision, boolean cancelled) {
    ObjectNode dependencies = Json.object();
    ArrayNode folds = dependencies.putArray(FoldCodec.FOLDS);
    List<Want> want = new ArrayList<>();
    for (int g = from; g < from + games; g++) {
      ObjectNode o = folds.addObject().put("league", LEAGUE).put("game", g);
      o.put("revision", revision);
      ArrayNode members = o.putArray("members");
      for (String m : List.of("m-" + g % 7, "m-" + (7 + g % 5))) {
        members.add(m);
        want.add(new Want(g, m, revision));
      }
    }
    addRatingJob(id, want);
    submit(id, at, dependencies, cancelled ? 500 + random.nextLong(9_000) : 0);
  }

  private void print(String id, long at, int i, int game) {
    ObjectNode dependencies = Json.object();
    ObjectNode holds = dependencies.putObject("holds");
    List<String> jobs = new ArrayList<>();
    jobs.add(String.format("job-8%05d", i));
    if (i >= 2 && random.nextBoolean()) {
      jobs.add(String.format("job-83%04d", i - 2));
    }
    ArrayNode a = holds.putArray("jobs");
    jobs.forEach(a::add);
    if (random.nextInt(3) == 0) {
      upTo.put(id, (long) game);
      ObjectNode g = holds.putArray("games").addObject().put("league", LEAGUE);
      g.put("up_to", game).put("member", "m-" + game % 7);
    }
    addPrintJob(id, jobs);
    // Nobody waits for ever for what was cancelled or refused: then the print is cancelled as well.
    submit(id, at, dependencies, 100_000);
  }

  private void submit(String id, long at, ObjectNode dependencies, long cancelAfterMs) {
    InvariantChecker.SubmittedJob s =
        new InvariantChecker.SubmittedJob(
            id, "blue", "rating", 1 + random.nextInt(3), 1, null, false, false, at);
    long run = 500 + random.nextLong(4_000);
    time.schedule(
        at * 1000, null, () -> users.submitJob(s, "urgent", run, 300, cancelAfterMs, dependencies));
  }

  private Map<BlockKey, Block> blocks() {
    Map<BlockKey, Block> out = new TreeMap<>();
    for (String key : store.keys(RecordKeys.FOLD_BLOCKS_PREFIX)) {
      try {
        out.put(RecordKeys.blockOfFoldBlockKey(key), FoldCodec.decodeBlock(store.value(key)));
      } catch (InvalidMessageException e) {
        checker.reportBreach("folded_twice", key + ": " + e.getMessage());
      }
    }
    return out;
  }

  private boolean isDone(String job) {
    JsonNode end = store.value(RecordKeys.endedJob(job));
    return end != null && end.path("end").asText().equals("done");
  }

  /** True for a print while something that it waits for is not on record: it may not start. */
  boolean isHeld(String id) {
    if (!awaitedJobs.getOrDefault(id, List.of()).stream().allMatch(this::isDone)) {
      return true;
    }
    Long game = upTo.get(id);
    if (game == null) {
      return false;
    }
    String member = "m-" + game % 7;
    for (Map.Entry<BlockKey, Block> block : blocks().entrySet()) {
      for (Map.Entry<Block.Side, Fold> side : block.getValue().sides().entrySet()) {
        Fold f = side.getValue();
        boolean awaited =
            Block.gameNumber(block.getKey().index(), side.getKey().gameIndex()) <= game
                && side.getKey().member().equals(member);
        if (awaited && !f.settled() && f.base() == null && !isDone(f.job())) {
          return true;
        }
      }
    }
    return false;
  }

  /** A print's task starts: all that it waits for is on record. */
  private void starts(String id) {
    for (String j : awaitedJobs.getOrDefault(id, List.of())) {
      if (!isDone(j)) {
        checker.reportBreach("printed_early", id + " starts, " + j + " is not done");
      }
    }
    Long game = upTo.get(id);
    if (game == null) {
      return;
    }
    // A claim that was accepted after the league's record had the mark under which this was
    // released
    // came after its first start was recorded: that cannot be called back.
    long confirmed = store.value(RecordKeys.release(id)).path("leagues").path(LEAGUE).asLong();
    String member = "m-" + game % 7;
    blocks()
        .forEach(
            (k, b) ->
                b.sides()
                    .forEach(
                        (s, f) -> {
                          long n = Block.gameNumber(k.index(), s.gameIndex());
                          long claimed = store.version(RecordKeys.openJob(f.job()));
                          boolean later = claimed == 0 || claimed > confirmed;
                          boolean counts =
                              f.settled() || f.base() != null || isDone(f.job()) || later;
                          if (n <= game && s.member().equals(member) && !counts) {
                            checker.reportBreach(
                                "printed_early", id + ": game " + n + " of " + member);
                          }
                        }));
  }

  /** At the end: who folded what, by the records, against what users were told. */
  void checkAtEnd() {
    Map<BlockKey, Block> blocks = blocks();
    Map<Want, String> folded = new HashMap<>();
    requestedSides.forEach(
        (job, want) -> {
          if (isDone(job)) {
            for (Want w : want) {
              String other = folded.put(w, job);
              if (other != null) {
                checker.reportBreach("folded_twice", w + " by " + other + " and " + job);
              }
            }
          }
          judge(job, want, blocks);
        });
    awaitedJobs.forEach(
        (id, jobs) -> {
          boolean ready = jobs.stream().allMatch(this::isDone) && !upTo.containsKey(id);
          if (checker.isAccepted(id) && ready && store.value(RecordKeys.endedJob(id)) == null) {
            checker.reportBreach("held_for_ever", id + " waits, and " + jobs + " are done");
          }
        });
  }

  private void judge(String job, List<Want> want, Map<BlockKey, Block> blocks) {
    int named = 0;
    int superseded = 0;
    for (Want w : want) {
      Block b = blocks.get(new BlockKey(LEAGUE, (int) (w.game / Block.GAMES_PER_BLOCK)));
      Fold f = b == null ? null : b.get(new Block.Side(Block.gameIndex(w.game), w.member));
      boolean is = f != null && f.job().equals(job);
      boolean base = f != null && f.base() != null && f.base().job().equals(job);
      named += is || base ? 1 : 0;
      superseded += !is && !base && f != null && f.revision() > w.revision ? 1 : 0;
    }
    if (isDone(job) && named + superseded < want.size()) {
      checker.reportBreach(
          "skipped", job + " is done, " + (want.size() - named) + " sides are not its");
    }
    boolean open = store.value(RecordKeys.openJob(job)) != null;
    boolean intent = store.value(RecordKeys.foldIntent(job)) != null;
    if (open && named + superseded < want.size()) {
      checker.reportBreach(
          "half_folded", job + " is accepted with " + named + " of " + want.size());
    }
    boolean unknown = !open && store.value(RecordKeys.endedJob(job)) == null;
    if (unknown && !intent && named > 0) {
      checker.reportBreach("half_folded", job + " was never accepted and has " + named + " claims");
    }
    if (unknown && checker.isAccepted(job)) {
      checker.reportBreach("forgotten", job + " was accepted and has no record");
    }
  }
}
