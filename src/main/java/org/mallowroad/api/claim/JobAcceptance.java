package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.ClaimRules;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.Json;

/**
 * One acceptance of a job that folds games or has dependencies, until its outcome is known.
 *
 * <p>It reads the records that it touches and decides which blocks it changes ({@link ClaimRules}).
 * What fits into one transaction is accepted by it. Otherwise it records an intent, claims some
 * blocks at a time, and accepts the job with the last transaction. When a condition fails it reads
 * what has changed and decides again.
 */
final class JobAcceptance {
  /**
   * Conflicts after which the user is asked to retry. The intent stays, and with it the claims that
   * were made.
   */
  private static final int MAX_RETRIES = 12;

  /** Retries wait longer and longer, up to so many times the first wait. */
  private static final int MAX_BACKOFF_FACTOR = 8;

  /** A transaction that the service refused for its limits is sent again after this time. */
  private static final long OVERLOAD_RETRY_MS = 150;

  /** Puts and deletes of an acceptance besides blocks and leagues. */
  private static final int JOB_OPS = 3;

  private static final String ABANDONED = "folds: an earlier claim of this job is being given up";

  /**
   * The job to accept.
   *
   * @param value its open record, which names the blocks
   */
  record Job(String id, ObjectNode value, List<Game> games, JobDependencies dependencies) {}

  private final ClaimContext context;
  private final EventLoop loop;
  private final ClaimService service;
  private final Job job;
  private final String id;
  private final Collection<BlockKey> keys;
  private final String gamesHash;
  private final Consumer<AcceptanceResult> listener;
  private final DependencyCycleCheck cycleCheck;
  private final ClaimedLeagues leagues;
  private final ClaimedBlocks blocks;
  private final Map<String, JobOutcome> jobOutcomes = new HashMap<>();

  /** The version of its intent; 0 while it has none. */
  private long intentVersion;

  private int retries;

  JobAcceptance(
      ClaimContext context,
      ClaimService service,
      LeagueCache leagueCache,
      Job job,
      Consumer<AcceptanceResult> listener) {
    this.context = context;
    this.loop = context.loop();
    this.service = service;
    this.job = job;
    this.id = job.id();
    this.keys = ClaimService.blockKeys(job.games());
    this.gamesHash = IntentRecord.hash(job.games());
    this.listener = listener;
    this.cycleCheck = new DependencyCycleCheck(context.state(), this::read, id, job.dependencies());
    this.leagues = new ClaimedLeagues(this::read, leagueCache, job.games(), job.dependencies());
    this.blocks = new ClaimedBlocks(context);
  }

  /** Begins; the listener is called once, when the outcome is known. */
  void start() {
    checkCycles(() -> leagues.read(false, this::readAllBlocks));
  }

  private void end(AcceptanceResult.Status status, String reason) {
    listener.accept(new AcceptanceResult(status, reason));
  }

  private void unavailable() {
    end(
        AcceptanceResult.Status.UNAVAILABLE,
        blocks.unreadable() == null ? "state service not reached" : blocks.unreadable());
  }

  /** Reads a key, or ends the acceptance when the state service does not answer. */
  private void read(String key, ValueReader.Listener received) {
    context
        .state()
        .get(
            key,
            (result, item) -> {
              if (result != CallResult.OK) {
                unavailable();
              } else {
                received.received(item.value(), item.version());
              }
            });
  }

  private void checkCycles(Runnable next) {
    cycleCheck.run(
        new DependencyCycleCheck.Listener() {
          @Override
          public void acyclic() {
            next.run();
          }

          @Override
          public void cyclic(String reason) {
            abandonAndEnd(AcceptanceResult.Status.REJECTED, reason);
          }

          @Override
          public void unavailable() {
            JobAcceptance.this.unavailable();
          }

          @Override
          public void unreadable(String reason) {
            end(AcceptanceResult.Status.UNAVAILABLE, reason);
          }
        });
  }

  /**
   * Ends after the claims that were made are released: no other job may be kept from these games
   * while this one cannot have all of its own.
   */
  private void abandonAndEnd(AcceptanceResult.Status status, String reason) {
    if (intentVersion == 0) {
      end(status, reason);
    } else {
      service.abandon(id, intentVersion, keys, complete -> end(status, reason));
    }
  }

  private void readAllBlocks() {
    blocks.read(keys, this::decide, this::unavailable);
  }

  private void decide() {
    ClaimRules.Decision outcome =
        ClaimRules.decide(
            id,
            job.games(),
            blocks.all(),
            j -> jobOutcomes.containsKey(j) ? jobOutcomes.get(j) : service.finalOutcome(j));
    if (outcome instanceof ClaimRules.OutcomesNeeded needed) {
      readOutcomes(new ArrayDeque<>(needed.jobs()));
    } else if (outcome instanceof ClaimRules.Granted granted) {
      commit(granted.blocks());
    } else if (outcome instanceof ClaimRules.Refused refused) {
      abandonAndEnd(AcceptanceResult.Status.REJECTED, refused.reason());
    } else {
      abandonAndEnd(AcceptanceResult.Status.CONFLICT, ((ClaimRules.Deferred) outcome).reason());
    }
  }

  /** Reads what has become of the jobs that hold its games, then decides again. */
  private void readOutcomes(ArrayDeque<String> jobs) {
    if (jobs.isEmpty()) {
      decide();
      return;
    }
    String other = jobs.poll();
    service.readJobOutcome(
        other,
        outcome -> {
          if (outcome.isEmpty()) {
            unavailable();
            return;
          }
          jobOutcomes.put(other, outcome.get());
          readOutcomes(jobs);
        });
  }

  private void commit(Map<BlockKey, Block> changed) {
    for (Block b : changed.values()) {
      if (Json.toText(FoldCodec.encodeBlock(b)).length() > context.maxValueBytes()) {
        end(
            AcceptanceResult.Status.REJECTED,
            "folds: the record of these games is full, with too many members' names");
        return;
      }
    }
    int otherOps = JOB_OPS + leagues.size();
    if (intentVersion != 0) {
      if (changed.isEmpty()) {
        acceptIntent();
      } else {
        claimSome(blocks.firstTransaction(changed, 0));
      }
    } else if (blocks.firstTransaction(changed, otherOps).size() == changed.size()) {
      acceptAtOnce(changed);
    } else {
      recordIntent();
    }
  }

  /** A transaction on condition that the job is neither open nor over. */
  private Transaction unlessKnown() {
    return new Transaction()
        .requireVersion(RecordKeys.openJob(id), 0)
        .requireVersion(RecordKeys.endedJob(id), 0);
  }

  private boolean isKnown(List<String> failed) {
    return failed.contains(RecordKeys.openJob(id)) || failed.contains(RecordKeys.endedJob(id));
  }

  private void acceptAtOnce(Map<BlockKey, Block> changed) {
    Transaction transaction =
        unlessKnown()
            .requireVersion(RecordKeys.foldIntent(id), 0)
            .put(RecordKeys.openJob(id), job.value());
    leagues.addTo(transaction);
    cycleCheck.addTo(transaction);
    blocks.addTo(transaction, changed);
    send(
        transaction,
        revision -> accepted(),
        // An intent was recorded by an earlier submission, perhaps on another node.
        failed -> conditionFailed(failed, this::adoptIntent, changed.keySet()));
  }

  /** The job is known, its intent is another one, or other jobs changed what it had read. */
  private void conditionFailed(
      List<String> failed, Runnable intentChanged, Collection<BlockKey> written) {
    if (isKnown(failed)) {
      end(AcceptanceResult.Status.DUPLICATE, "");
    } else if (failed.contains(RecordKeys.foldIntent(id))) {
      intentChanged.run();
    } else {
      rereadAndDecide(failed, written);
    }
  }

  private void accepted() {
    leagues.forget();
    end(AcceptanceResult.Status.ACCEPTED, "");
  }

  private void recordIntent() {
    ObjectNode value = IntentRecord.inProgress(loop.wallMs(), gamesHash, keys);
    if (Json.toText(value).length() > context.maxValueBytes()) {
      end(
          AcceptanceResult.Status.REJECTED,
          "folds: the games are in too many parts of their leagues");
      return;
    }
    send(
        unlessKnown()
            .requireVersion(RecordKeys.foldIntent(id), 0)
            .put(RecordKeys.foldIntent(id), value),
        revision -> {
          intentVersion = revision;
          decide();
        },
        failed -> {
          if (isKnown(failed)) {
            end(AcceptanceResult.Status.DUPLICATE, "");
          } else {
            adoptIntent();
          }
        });
  }

  /** Goes on with the recorded intent if it is for the same games and not abandoned. */
  private void adoptIntent() {
    read(
        RecordKeys.foldIntent(id),
        (value, version) -> {
          if (value == null) {
            intentVersion = 0;
            retry(this::readAllBlocks);
          } else if (IntentRecord.isInProgress(value, gamesHash)) {
            intentVersion = version;
            readAllBlocks();
          } else {
            end(AcceptanceResult.Status.CONFLICT, ABANDONED);
          }
        });
  }

  private void claimSome(Map<BlockKey, Block> part) {
    Transaction transaction =
        new Transaction().requireVersion(RecordKeys.foldIntent(id), intentVersion);
    blocks.addTo(transaction, part);
    send(
        transaction,
        revision -> {
          blocks.committed(part, revision);
          decide();
        },
        failed -> conditionFailed(failed, this::intentGone, part.keySet()));
  }

  private void acceptIntent() {
    Transaction transaction =
        unlessKnown().requireVersion(RecordKeys.foldIntent(id), intentVersion);
    transaction.put(RecordKeys.openJob(id), job.value()).delete(RecordKeys.foldIntent(id));
    leagues.addTo(transaction);
    cycleCheck.addTo(transaction);
    send(
        transaction,
        revision -> accepted(),
        failed -> conditionFailed(failed, this::intentGone, List.of()));
  }

  /** Its intent has changed: the job was accepted by another request, or is being abandoned. */
  private void intentGone() {
    read(
        RecordKeys.foldIntent(id),
        (JsonNode value, long version) -> {
          if (value == null) {
            end(AcceptanceResult.Status.DUPLICATE, "");
          } else {
            end(AcceptanceResult.Status.CONFLICT, ABANDONED);
          }
        });
  }

  /** Reads again what other jobs changed; when the service does not say what, everything. */
  private void rereadAndDecide(List<String> failed, Collection<BlockKey> written) {
    boolean leaguesChanged = failed.isEmpty() || failed.stream().anyMatch(RecordKeys::isLeagueKey);
    boolean orderChanged = failed.isEmpty() || failed.contains(RecordKeys.DEPENDENCY_ORDER_KEY);
    List<BlockKey> changed = ClaimedBlocks.failedKeys(failed, written);
    Runnable reread =
        () ->
            leagues.read(
                leaguesChanged, () -> blocks.read(changed, this::decide, this::unavailable));
    retry(
        () -> {
          if (orderChanged) {
            checkCycles(reread);
          } else {
            reread.run();
          }
        });
  }

  /** Goes on after a while, which grows with each retry; too many end the acceptance. */
  private void retry(Runnable next) {
    if (++retries > MAX_RETRIES) {
      end(AcceptanceResult.Status.UNAVAILABLE, "others claim the same games at this moment");
    } else {
      loop.after(ClaimContext.CONFLICT_RETRY_MS * Math.min(MAX_BACKOFF_FACTOR, retries), next);
    }
  }

  /**
   * Runs a transaction until its outcome is known: without an answer the same one is sent again,
   * and its conditions tell whether the first was applied.
   */
  private void send(
      Transaction transaction, LongConsumer committed, Consumer<List<String>> conditionFailed) {
    long waitMs = context.writes().millisUntilAvailable(transaction.writeCount(), loop.now());
    if (waitMs > 0) {
      loop.after(waitMs, () -> send(transaction, committed, conditionFailed));
      return;
    }
    context.writes().forceAcquire(transaction.writeCount(), loop.now());
    context
        .state()
        .compareAndSwap(
            transaction,
            (result, revision, failed) -> {
              switch (result) {
                case OK -> committed.accept(revision);
                case CONDITION_FAILED -> conditionFailed.accept(failed);
                default -> sendAgain(result, transaction, committed, conditionFailed);
              }
            });
  }

  private void sendAgain(
      CallResult result,
      Transaction transaction,
      LongConsumer committed,
      Consumer<List<String>> conditionFailed) {
    if (++retries > MAX_RETRIES) {
      unavailable();
      return;
    }
    long delayMs =
        result == CallResult.UNKNOWN ? ClaimContext.CONFLICT_RETRY_MS : OVERLOAD_RETRY_MS;
    loop.after(delayMs, () -> send(transaction, committed, conditionFailed));
  }
}
