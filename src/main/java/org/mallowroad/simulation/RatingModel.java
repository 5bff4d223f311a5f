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
 * Models users of rating jobs, which fold games, and of print jobs, which depend on other jobs and
 * on games. Some rating jobs fold the same games at the same time, and some correct earlier folds.
 * The model also checks the rules of folds and prints, from the users' requests and the stored
 * records.
 */
final class RatingModel {
  /**
   * One side of a game that a job was submitted to fold.
   *
   * @param game number of the game
   * @param member the member whose side it is
   * @param revision revision of the game's result; corrections have higher ones
   */
  record Want(long game, String member, long revision) {}

  private static final String LEAGUE = "pnw-2026";

  /** Number of games of the one large job; their blocks do not fit into one transaction. */
  private static final int LARGE_JOB_GAMES = 520;

  private static final int LARGE_JOB_FIRST_GAME = 1_000;

  private final EventQueue eventQueue;
  private final SplittableRandom random;
  private final UserModel users;
  private final InvariantChecker checker;
  private final InMemoryKeyValueStore store;
  private final Map<String, List<Want>> requestedSides = new TreeMap<>();
  private final Map<String, List<String>> awaitedJobs = new TreeMap<>();
  private final Map<String, Long> awaitedGame = new HashMap<>();

  RatingModel(
      EventQueue eventQueue,
      SplittableRandom random,
      UserModel users,
      InvariantChecker checker,
      InMemoryKeyValueStore store) {
    this.eventQueue = eventQueue;
    this.random = random;
    this.users = users;
    this.checker = checker;
    this.store = store;
    checker.onStart(this::checkPrintStart);
  }

  /** Creates a model that submits nothing and only checks the jobs that it is given. */
  RatingModel(InvariantChecker checker, InMemoryKeyValueStore store) {
    this(null, null, null, checker, store);
  }

  /** Adds a rating job and the sides that it was submitted to fold. */
  void addRatingJob(String job, List<Want> sides) {
    requestedSides.put(job, sides);
  }

  /** Adds a print job and the jobs that it depends on. */
  void addPrintJob(String job, List<String> jobs) {
    awaitedJobs.put(job, jobs);
  }

  /**
   * Schedules random rating jobs and one large one. About a third of them fold games of other jobs,
   * about a third are followed by a correction, and every other one has a dependent print job.
   */
  void scheduleJobs(int count, long periodMs) {
    for (int i = 0; i < count; i++) {
      long submittedMs = 2_000 + random.nextLong(periodMs);
      int firstGame = 8 * (random.nextInt(3) == 0 ? random.nextInt(count) : i);
      submitRatingJob(
          String.format("job-8%05d", i),
          submittedMs,
          firstGame,
          8 + 4 * random.nextInt(3),
          1,
          i % 9 == 8);
      if (random.nextInt(3) == 0) {
        // A correction of some of the games, which may come before or after their fold.
        long correctedMs = submittedMs + random.nextLong(40_000);
        submitRatingJob(
            String.format("job-82%04d", i),
            correctedMs,
            firstGame,
            1 + random.nextInt(3),
            2,
            false);
      }
      if (i % 2 == 0) {
        submitPrintJob(
            String.format("job-83%04d", i), submittedMs + random.nextLong(20_000), i, firstGame);
      }
    }
    submitRatingJob(
        "job-899999",
        5_000 + random.nextLong(30_000),
        LARGE_JOB_FIRST_GAME,
        LARGE_JOB_GAMES,
        1,
        false);
  }

  private void submitRatingJob(
      String id, long submittedMs, int firstGame, int gameCount, long revision, boolean cancelled) {
    ObjectNode dependencies = Json.object();
    ArrayNode folds = dependencies.putArray(FoldCodec.FOLDS);
    List<Want> sides = new ArrayList<>();
    for (int game = firstGame; game < firstGame + gameCount; game++) {
      ObjectNode entry = folds.addObject().put("league", LEAGUE).put("game", game);
      entry.put("revision", revision);
      ArrayNode members = entry.putArray("members");
      for (String member : List.of("m-" + game % 7, "m-" + (7 + game % 5))) {
        members.add(member);
        sides.add(new Want(game, member, revision));
      }
    }
    addRatingJob(id, sides);
    scheduleSubmission(id, submittedMs, dependencies, cancelled ? 500 + random.nextLong(9_000) : 0);
  }

  private void submitPrintJob(String id, long submittedMs, int index, int game) {
    ObjectNode dependencies = Json.object();
    ObjectNode holds = dependencies.putObject("holds");
    List<String> jobs = new ArrayList<>();
    jobs.add(String.format("job-8%05d", index));
    if (index >= 2 && random.nextBoolean()) {
      jobs.add(String.format("job-83%04d", index - 2));
    }
    ArrayNode jobArray = holds.putArray("jobs");
    jobs.forEach(jobArray::add);
    if (random.nextInt(3) == 0) {
      awaitedGame.put(id, (long) game);
      ObjectNode gameEntry = holds.putArray("games").addObject().put("league", LEAGUE);
      gameEntry.put("up_to", game).put("member", "m-" + game % 7);
    }
    addPrintJob(id, jobs);
    // A print that depends on a cancelled or refused job never starts, so users cancel each print
    // after 100 s.
    scheduleSubmission(id, submittedMs, dependencies, 100_000);
  }

  private void scheduleSubmission(
      String id, long submittedMs, ObjectNode dependencies, long cancelAfterMs) {
    InvariantChecker.SubmittedJob job =
        new InvariantChecker.SubmittedJob(
            id, "blue", "rating", 1 + random.nextInt(3), 1, null, false, false, submittedMs);
    long runMs = 500 + random.nextLong(4_000);
    eventQueue.schedule(
        submittedMs * 1000,
        null,
        () -> users.submitJob(job, "urgent", runMs, 300, cancelAfterMs, dependencies));
  }

  private Map<BlockKey, Block> readBlocks() {
    Map<BlockKey, Block> blocks = new TreeMap<>();
    for (String key : store.keys(RecordKeys.FOLD_BLOCKS_PREFIX)) {
      try {
        blocks.put(RecordKeys.blockOfFoldBlockKey(key), FoldCodec.decodeBlock(store.value(key)));
      } catch (InvalidMessageException e) {
        checker.reportBreach("folded_twice", key + ": " + e.getMessage());
      }
    }
    return blocks;
  }

  private boolean isDone(String job) {
    JsonNode endRecord = store.value(RecordKeys.endedJob(job));
    return endRecord != null && endRecord.path("end").asText().equals("done");
  }

  /** Returns whether a print job may not start yet because a dependency is not recorded. */
  boolean isHeld(String id) {
    if (!awaitedJobs.getOrDefault(id, List.of()).stream().allMatch(this::isDone)) {
      return true;
    }
    Long game = awaitedGame.get(id);
    if (game == null) {
      return false;
    }
    String member = "m-" + game % 7;
    for (Map.Entry<BlockKey, Block> block : readBlocks().entrySet()) {
      for (Map.Entry<Block.Side, Fold> side : block.getValue().sides().entrySet()) {
        Fold fold = side.getValue();
        boolean isAwaited =
            Block.gameNumber(block.getKey().index(), side.getKey().gameIndex()) <= game
                && side.getKey().member().equals(member);
        if (isAwaited && !fold.settled() && fold.base() == null && !isDone(fold.job())) {
          return true;
        }
      }
    }
    return false;
  }

  /** Checks, when a task of a print job starts, that all its dependencies are recorded. */
  private void checkPrintStart(String id) {
    for (String job : awaitedJobs.getOrDefault(id, List.of())) {
      if (!isDone(job)) {
        checker.reportBreach("printed_early", id + " starts, but " + job + " is not done");
      }
    }
    Long game = awaitedGame.get(id);
    if (game == null) {
      return;
    }
    // The print's release record holds the version of the league's record under which the print was
    // released. A job accepted after that version came after the print's first start was recorded.
    // That start cannot be undone, so the print need not wait for the job's claims.
    long confirmedVersion =
        store.value(RecordKeys.release(id)).path("leagues").path(LEAGUE).asLong();
    String member = "m-" + game % 7;
    readBlocks()
        .forEach(
            (key, block) ->
                block
                    .sides()
                    .forEach(
                        (side, fold) -> {
                          long gameNumber = Block.gameNumber(key.index(), side.gameIndex());
                          long claimVersion = store.version(RecordKeys.openJob(fold.job()));
                          boolean isLater = claimVersion == 0 || claimVersion > confirmedVersion;
                          boolean isSettled =
                              fold.settled()
                                  || fold.base() != null
                                  || isDone(fold.job())
                                  || isLater;
                          if (gameNumber <= game && side.member().equals(member) && !isSettled) {
                            checker.reportBreach(
                                "printed_early",
                                id
                                    + " starts, but a fold is open: game "
                                    + gameNumber
                                    + " of "
                                    + member);
                          }
                        }));
  }

  /** Checks at the end the recorded folds against what users submitted and were told. */
  void checkAtEnd() {
    Map<BlockKey, Block> blocks = readBlocks();
    Map<Want, String> folded = new HashMap<>();
    requestedSides.forEach(
        (job, sides) -> {
          if (isDone(job)) {
            for (Want side : sides) {
              String otherJob = folded.put(side, job);
              if (otherJob != null) {
                checker.reportBreach(
                    "folded_twice", side + " was folded by " + otherJob + " and " + job);
              }
            }
          }
          checkClaims(job, sides, blocks);
        });
    awaitedJobs.forEach(
        (id, jobs) -> {
          boolean isReady = jobs.stream().allMatch(this::isDone) && !awaitedGame.containsKey(id);
          if (checker.isAccepted(id) && isReady && store.value(RecordKeys.endedJob(id)) == null) {
            checker.reportBreach(
                "held_for_ever", id + " still waits, although " + jobs + " are done");
          }
        });
  }

  private void checkClaims(String job, List<Want> sides, Map<BlockKey, Block> blocks) {
    int claimed = 0;
    int superseded = 0;
    for (Want side : sides) {
      Block block = blocks.get(new BlockKey(LEAGUE, (int) (side.game / Block.GAMES_PER_BLOCK)));
      Fold fold =
          block == null ? null : block.get(new Block.Side(Block.gameIndex(side.game), side.member));
      boolean isCurrent = fold != null && fold.job().equals(job);
      boolean isBase = fold != null && fold.base() != null && fold.base().job().equals(job);
      claimed += isCurrent || isBase ? 1 : 0;
      superseded +=
          !isCurrent && !isBase && fold != null && fold.revision() > side.revision ? 1 : 0;
    }
    if (isDone(job) && claimed + superseded < sides.size()) {
      checker.reportBreach(
          "skipped", job + " is done, " + (sides.size() - claimed) + " sides carry no claim of it");
    }
    boolean isOpen = store.value(RecordKeys.openJob(job)) != null;
    boolean hasIntent = store.value(RecordKeys.foldIntent(job)) != null;
    if (isOpen && claimed + superseded < sides.size()) {
      checker.reportBreach(
          "half_folded", job + " is accepted with claims on " + claimed + " of " + sides.size());
    }
    boolean hasNoRecord = !isOpen && store.value(RecordKeys.endedJob(job)) == null;
    if (hasNoRecord && !hasIntent && claimed > 0) {
      checker.reportBreach(
          "half_folded", job + " was never accepted and has " + claimed + " claims");
    }
    if (hasNoRecord && checker.isAccepted(job)) {
      checker.reportBreach("forgotten", job + " was accepted and has no record");
    }
  }
}
