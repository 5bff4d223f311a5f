package org.mallowroad.controller.dependency;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.dependency.DependencyGate;
import org.mallowroad.core.dependency.JobDependencies.RequiredGames;
import org.mallowroad.core.dependency.RequiredGamesCheck;
import org.mallowroad.core.dependency.UnmetDependencies;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;

/**
 * One evaluation of a gate: reads from the state service whether the required jobs are done and
 * then whether the required games are folded, one call at a time.
 *
 * <p>The leagues' records are read before the blocks. A claim that is made while the blocks are
 * read changes one of these records, so a transaction that requires the versions read here fails.
 * Games are not read while a required job is not done.
 *
 * <p>Once {@code isStopped} is true, the outcome may never be reported.
 */
final class GateEvaluation {
  /** Number of blocks read in one call, about 70 KB. */
  private static final int BLOCKS_PER_PAGE = 50;

  /** The outcome of an evaluation. */
  sealed interface Outcome permits Met, Unmet, Incomplete {}

  /**
   * All dependencies are met as long as the leagues' records still have these versions.
   *
   * @param leagueVersions versions of the required leagues' records, by league
   * @param leagueChanges number of claims of required games in these leagues, by league
   */
  record Met(Map<String, Long> leagueVersions, Map<String, Long> leagueChanges)
      implements Outcome {}

  /** Some dependencies are not met. */
  record Unmet(UnmetDependencies dependencies) implements Outcome {}

  /** The state service did not answer, so the gate must be evaluated again. */
  record Incomplete() implements Outcome {}

  private final KeyValueStore store;
  private final SchedulerState schedulerState;
  private final ClaimService claims;
  private final BooleanSupplier isStopped;
  private final DependencyGate gate;
  private final Consumer<Outcome> onResult;
  private final Map<String, Long> leagueVersions = new LinkedHashMap<>();
  private final Map<String, Long> leagueChanges = new LinkedHashMap<>();
  private final Map<String, JobOutcome> jobOutcomes = new HashMap<>();
  private final UnmetDependencies unmet = new UnmetDependencies();

  /**
   * Prepares the evaluation.
   *
   * @param onResult called with the outcome, at most once, on the event loop
   */
  GateEvaluation(
      KeyValueStore store,
      SchedulerState schedulerState,
      ClaimService claims,
      BooleanSupplier isStopped,
      DependencyGate gate,
      Consumer<Outcome> onResult) {
    this.store = store;
    this.schedulerState = schedulerState;
    this.claims = claims;
    this.isStopped = isStopped;
    this.gate = gate;
    this.onResult = onResult;
  }

  void start() {
    checkRequiredJobs(new ArrayDeque<>(gate.incompleteJobs()));
  }

  private void reportIncomplete() {
    onResult.accept(new Incomplete());
  }

  private void checkRequiredJobs(ArrayDeque<String> remaining) {
    if (isStopped.getAsBoolean()) {
      return;
    }
    String jobId = remaining.poll();
    if (jobId == null) {
      readLeagueRecords(new ArrayDeque<>(gate.dependencies().highestRequiredGames().keySet()));
      return;
    }
    Job job = schedulerState.job(jobId);
    if (job != null && !job.isEnded() && !job.isCancelled()) {
      unmet.add(jobId + (job.isHeld() ? " is held itself" : " is not done"));
      checkRequiredJobs(remaining);
      return;
    }
    store.get(
        RecordKeys.endedJob(jobId),
        (status, end) -> {
          if (status != CallResult.OK) {
            reportIncomplete();
            return;
          }
          checkJobEnd(jobId, end);
          checkRequiredJobs(remaining);
        });
  }

  private void checkJobEnd(String jobId, VersionedValue end) {
    if (end.value() == null) {
      unmet.add(jobId + " is not accepted yet, as far as is known");
    } else if (end.value().path("end").asText().equals(Fields.DONE)) {
      gate.recordCompletedJob(jobId);
    } else {
      unmet.add(jobId + " was withdrawn: this can only be withdrawn as well");
    }
  }

  private void readLeagueRecords(ArrayDeque<String> remaining) {
    if (isStopped.getAsBoolean()) {
      return;
    }
    String league = remaining.poll();
    if (league == null) {
      checkRequiredGames(new ArrayDeque<>(gate.dependencies().requiredGames()));
      return;
    }
    store.get(
        RecordKeys.league(league),
        (status, record) -> {
          if (status != CallResult.OK) {
            reportIncomplete();
            return;
          }
          leagueVersions.put(league, record.version());
          leagueChanges.put(league, ReleaseRecordCodec.leagueChanges(record.value()));
          readLeagueRecords(remaining);
        });
  }

  private void checkRequiredGames(ArrayDeque<RequiredGames> remaining) {
    RequiredGames required = unmet.isEmpty() ? remaining.poll() : null;
    if (required == null) {
      onResult.accept(unmet.isEmpty() ? new Met(leagueVersions, leagueChanges) : new Unmet(unmet));
      return;
    }
    RequiredGamesCheck check = new RequiredGamesCheck(required, unmet);
    readBlockPage(check, null, () -> checkRequiredGames(remaining));
  }

  /** Reads a page of a league's blocks in order, up to the block with the last required game. */
  private void readBlockPage(RequiredGamesCheck check, String after, Runnable next) {
    store.listPage(
        RecordKeys.FOLD_BLOCKS_PREFIX + check.league() + "/",
        after,
        BLOCKS_PER_PAGE,
        (status, blocks, revision) -> {
          if (isStopped.getAsBoolean()) {
            return;
          }
          if (status != CallResult.OK) {
            reportIncomplete();
            return;
          }
          checkBlocks(check, blocks, 0, next);
        });
  }

  private void checkBlocks(
      RequiredGamesCheck check, List<VersionedValue> blocks, int index, Runnable next) {
    if (index == blocks.size() || unmet.isFull()) {
      boolean hasMore = index > 0 && blocks.size() == BLOCKS_PER_PAGE;
      if (hasMore && !check.hasReachedLastGame() && unmet.isEmpty()) {
        readBlockPage(check, blocks.get(blocks.size() - 1).key(), next);
        return;
      }
      check.finish();
      next.run();
      return;
    }
    VersionedValue record = blocks.get(index);
    BlockKey key = RecordKeys.blockOfFoldBlockKey(record.key());
    if (key.index() > check.lastBlock()) {
      checkBlocks(check, blocks.subList(0, index), index, next);
      return;
    }
    Block block;
    try {
      block = FoldCodec.decodeBlock(record.value());
    } catch (InvalidMessageException e) {
      unmet.add(record.key() + " cannot be read: " + e.getMessage());
      next.run();
      return;
    }
    readJobOutcomes(
        RequiredGamesCheck.jobsWithUnknownOutcome(block, jobOutcomes.keySet()),
        () -> {
          check.check(key, block, jobOutcomes::get);
          checkBlocks(check, blocks, index + 1, next);
        });
  }

  private void readJobOutcomes(ArrayDeque<String> remaining, Runnable next) {
    String jobId = remaining.poll();
    if (jobId == null) {
      next.run();
      return;
    }
    claims.readJobOutcome(
        jobId,
        outcome -> {
          if (outcome.isEmpty()) {
            reportIncomplete();
            return;
          }
          jobOutcomes.put(jobId, outcome.get());
          readJobOutcomes(remaining, next);
        });
  }
}
