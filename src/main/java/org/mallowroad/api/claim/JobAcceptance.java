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
 * Accepts one job that folds games or has dependencies, and retries until the outcome is known.
 *
 * <p>It reads the records that the job touches and decides which blocks to change ({@link
 * ClaimRules}). If all changes fit into one transaction, that transaction accepts the job.
 * Otherwise it records an intent, claims the blocks in batches, and accepts the job with a final
 * transaction. When a condition fails, it reads again what has changed and decides again.
 */
final class JobAcceptance {
  /**
   * The maximum number of retries, after which the user is asked to retry. The intent and the
   * claims that were made remain.
   */
  private static final int MAX_RETRIES = 12;

  /** The delay grows with each retry, up to this multiple of the first delay. */
  private static final int MAX_BACKOFF_MULTIPLIER = 8;

  /** The delay before a transaction that the service refused for its rate limit is sent again. */
  private static final long OVERLOAD_RETRY_DELAY_MS = 150;

  /** The puts and deletes of an acceptance besides those of blocks and leagues. */
  private static final int OPS_BESIDES_BLOCKS_AND_LEAGUES = 3;

  private static final String ABANDONED_REASON =
      "folds: an earlier claim of this job is being abandoned";

  /**
   * The job to accept.
   *
   * @param openRecord its open record, which names the blocks of the games
   */
  record Job(String id, ObjectNode openRecord, List<Game> games, JobDependencies dependencies) {}

  private final ClaimContext context;
  private final EventLoop loop;
  private final ClaimService service;
  private final Job job;
  private final String id;
  private final Collection<BlockKey> blockKeys;
  private final String gamesHash;
  private final Consumer<AcceptanceResult> listener;
  private final DependencyCycleCheck cycleCheck;
  private final ClaimedLeagues leagues;
  private final ClaimedBlocks blocks;
  private final Map<String, JobOutcome> jobOutcomes = new HashMap<>();

  /** The version of the job's intent record; 0 while it has none. */
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
    this.blockKeys = ClaimService.blockKeys(job.games());
    this.gamesHash = IntentRecord.hashGames(job.games());
    this.listener = listener;
    this.cycleCheck = new DependencyCycleCheck(context.state(), this::read, id, job.dependencies());
    this.leagues = new ClaimedLeagues(this::read, leagueCache, job.games(), job.dependencies());
    this.blocks = new ClaimedBlocks(context);
  }

  /** Starts the acceptance; the listener is called once, when the outcome is known. */
  void start() {
    checkCycles(() -> leagues.read(false, this::readAllBlocks));
  }

  private void complete(AcceptanceResult.Status status, String reason) {
    listener.accept(new AcceptanceResult(status, reason));
  }

  private void completeUnavailable() {
    complete(
        AcceptanceResult.Status.UNAVAILABLE,
        blocks.decodingError() == null ? "state service not reached" : blocks.decodingError());
  }

  /**
   * Reads a key, or completes the acceptance as unavailable if the state service does not answer.
   */
  private void read(String key, ValueReader.Listener listener) {
    context
        .state()
        .get(
            key,
            (result, item) -> {
              if (result != CallResult.OK) {
                completeUnavailable();
              } else {
                listener.onValue(item.value(), item.version());
              }
            });
  }

  private void checkCycles(Runnable next) {
    cycleCheck.run(
        new DependencyCycleCheck.Listener() {
          @Override
          public void onAcyclic() {
            next.run();
          }

          @Override
          public void onCycle(String reason) {
            abandonAndComplete(AcceptanceResult.Status.REJECTED, reason);
          }

          @Override
          public void onUnavailable() {
            JobAcceptance.this.completeUnavailable();
          }

          @Override
          public void onUndecodable(String reason) {
            complete(AcceptanceResult.Status.UNAVAILABLE, reason);
          }
        });
  }

  /**
   * Completes after releasing the claims that were made: a job that cannot claim all its games must
   * not keep other jobs from claiming them.
   */
  private void abandonAndComplete(AcceptanceResult.Status status, String reason) {
    if (intentVersion == 0) {
      complete(status, reason);
    } else {
      service.abandon(id, intentVersion, blockKeys, isComplete -> complete(status, reason));
    }
  }

  private void readAllBlocks() {
    blocks.read(blockKeys, this::decide, this::completeUnavailable);
  }

  private void decide() {
    ClaimRules.Decision decision =
        ClaimRules.decide(
            id,
            job.games(),
            blocks.blocks(),
            holder ->
                jobOutcomes.containsKey(holder)
                    ? jobOutcomes.get(holder)
                    : service.knownOutcome(holder));
    if (decision instanceof ClaimRules.OutcomesNeeded needed) {
      readHolderOutcomes(new ArrayDeque<>(needed.jobs()));
    } else if (decision instanceof ClaimRules.Granted granted) {
      commit(granted.blocks());
    } else if (decision instanceof ClaimRules.Refused refused) {
      abandonAndComplete(AcceptanceResult.Status.REJECTED, refused.reason());
    } else {
      abandonAndComplete(
          AcceptanceResult.Status.CONFLICT, ((ClaimRules.Deferred) decision).reason());
    }
  }

  /** Reads the outcomes of the jobs that hold some of the games, then decides again. */
  private void readHolderOutcomes(ArrayDeque<String> holders) {
    if (holders.isEmpty()) {
      decide();
      return;
    }
    String holder = holders.poll();
    service.readJobOutcome(
        holder,
        outcome -> {
          if (outcome.isEmpty()) {
            completeUnavailable();
            return;
          }
          jobOutcomes.put(holder, outcome.get());
          readHolderOutcomes(holders);
        });
  }

  private void commit(Map<BlockKey, Block> changed) {
    for (Block block : changed.values()) {
      if (Json.toText(FoldCodec.encodeBlock(block)).length() > context.maxValueBytes()) {
        complete(
            AcceptanceResult.Status.REJECTED,
            "folds: a block record would be too large because of too many member names");
        return;
      }
    }
    int otherOps = OPS_BESIDES_BLOCKS_AND_LEAGUES + leagues.size();
    if (intentVersion != 0) {
      if (changed.isEmpty()) {
        acceptAndDeleteIntent();
      } else {
        claimBatch(blocks.firstBatch(changed, 0));
      }
    } else if (blocks.firstBatch(changed, otherOps).size() == changed.size()) {
      acceptInOneTransaction(changed);
    } else {
      recordIntent();
    }
  }

  /** Returns a transaction on condition that the job has neither an open nor an end record. */
  private Transaction transactionForNewJob() {
    return new Transaction()
        .requireVersion(RecordKeys.openJob(id), 0)
        .requireVersion(RecordKeys.endedJob(id), 0);
  }

  private boolean isDuplicate(List<String> failedConditions) {
    return failedConditions.contains(RecordKeys.openJob(id))
        || failedConditions.contains(RecordKeys.endedJob(id));
  }

  private void acceptInOneTransaction(Map<BlockKey, Block> changed) {
    Transaction transaction =
        transactionForNewJob()
            .requireVersion(RecordKeys.foldIntent(id), 0)
            .put(RecordKeys.openJob(id), job.openRecord());
    leagues.addTo(transaction);
    cycleCheck.addTo(transaction);
    blocks.addTo(transaction, changed);
    send(
        transaction,
        revision -> completeAccepted(),
        // If the intent exists, an earlier submission recorded it, possibly on another node.
        failedConditions ->
            handleFailedConditions(failedConditions, this::adoptIntent, changed.keySet()));
  }

  /**
   * Handles a failed transaction: the job is a duplicate, its intent has changed, or other jobs
   * have changed records that were read.
   *
   * @param written the blocks that the transaction would have written
   */
  private void handleFailedConditions(
      List<String> failedConditions, Runnable onIntentChanged, Collection<BlockKey> written) {
    if (isDuplicate(failedConditions)) {
      complete(AcceptanceResult.Status.DUPLICATE, "");
    } else if (failedConditions.contains(RecordKeys.foldIntent(id))) {
      onIntentChanged.run();
    } else {
      rereadAndDecide(failedConditions, written);
    }
  }

  private void completeAccepted() {
    leagues.evictFromCache();
    complete(AcceptanceResult.Status.ACCEPTED, "");
  }

  private void recordIntent() {
    ObjectNode value = IntentRecord.inProgress(loop.wallMs(), gamesHash, blockKeys);
    if (Json.toText(value).length() > context.maxValueBytes()) {
      complete(
          AcceptanceResult.Status.REJECTED,
          "folds: the games are spread over too many blocks of their leagues");
      return;
    }
    send(
        transactionForNewJob()
            .requireVersion(RecordKeys.foldIntent(id), 0)
            .put(RecordKeys.foldIntent(id), value),
        revision -> {
          intentVersion = revision;
          decide();
        },
        failedConditions -> {
          if (isDuplicate(failedConditions)) {
            complete(AcceptanceResult.Status.DUPLICATE, "");
          } else {
            adoptIntent();
          }
        });
  }

  /** Continues the recorded intent if it is for the same games and not abandoned. */
  private void adoptIntent() {
    read(
        RecordKeys.foldIntent(id),
        (value, version) -> {
          if (value == null) {
            intentVersion = 0;
            retryAfterDelay(this::readAllBlocks);
          } else if (IntentRecord.isInProgress(value, gamesHash)) {
            intentVersion = version;
            readAllBlocks();
          } else {
            complete(AcceptanceResult.Status.CONFLICT, ABANDONED_REASON);
          }
        });
  }

  private void claimBatch(Map<BlockKey, Block> batch) {
    Transaction transaction =
        new Transaction().requireVersion(RecordKeys.foldIntent(id), intentVersion);
    blocks.addTo(transaction, batch);
    send(
        transaction,
        revision -> {
          blocks.applyCommitted(batch, revision);
          decide();
        },
        failedConditions ->
            handleFailedConditions(
                failedConditions, this::completeAfterIntentChange, batch.keySet()));
  }

  private void acceptAndDeleteIntent() {
    Transaction transaction =
        transactionForNewJob().requireVersion(RecordKeys.foldIntent(id), intentVersion);
    transaction.put(RecordKeys.openJob(id), job.openRecord()).delete(RecordKeys.foldIntent(id));
    leagues.addTo(transaction);
    cycleCheck.addTo(transaction);
    send(
        transaction,
        revision -> completeAccepted(),
        failedConditions ->
            handleFailedConditions(failedConditions, this::completeAfterIntentChange, List.of()));
  }

  /** Completes after the intent has changed: another request accepted or abandoned the claim. */
  private void completeAfterIntentChange() {
    read(
        RecordKeys.foldIntent(id),
        (JsonNode value, long version) -> {
          if (value == null) {
            complete(AcceptanceResult.Status.DUPLICATE, "");
          } else {
            complete(AcceptanceResult.Status.CONFLICT, ABANDONED_REASON);
          }
        });
  }

  /** Reads again what other jobs changed, or everything if the service does not report what. */
  private void rereadAndDecide(List<String> failedConditions, Collection<BlockKey> written) {
    boolean haveLeaguesChanged =
        failedConditions.isEmpty() || failedConditions.stream().anyMatch(RecordKeys::isLeagueKey);
    boolean hasDependencyOrderChanged =
        failedConditions.isEmpty() || failedConditions.contains(RecordKeys.DEPENDENCY_ORDER_KEY);
    List<BlockKey> changed = ClaimedBlocks.failedKeys(failedConditions, written);
    Runnable reread =
        () ->
            leagues.read(
                haveLeaguesChanged,
                () -> blocks.read(changed, this::decide, this::completeUnavailable));
    retryAfterDelay(
        () -> {
          if (hasDependencyOrderChanged) {
            checkCycles(reread);
          } else {
            reread.run();
          }
        });
  }

  /**
   * Runs {@code next} after a delay that grows with each retry; too many retries end the
   * acceptance.
   */
  private void retryAfterDelay(Runnable next) {
    if (++retries > MAX_RETRIES) {
      complete(
          AcceptanceResult.Status.UNAVAILABLE,
          "other jobs are claiming the same games at the moment");
    } else {
      loop.after(
          ClaimContext.CONFLICT_RETRY_DELAY_MS * Math.min(MAX_BACKOFF_MULTIPLIER, retries), next);
    }
  }

  /**
   * Sends a transaction until its outcome is known. If there is no response, the same transaction
   * is sent again, and its conditions show whether the first copy was applied.
   */
  private void send(
      Transaction transaction, LongConsumer onCommitted, Consumer<List<String>> onConditionFailed) {
    long waitMs = context.writeLimiter().millisUntilAvailable(transaction.writeCount(), loop.now());
    if (waitMs > 0) {
      loop.after(waitMs, () -> send(transaction, onCommitted, onConditionFailed));
      return;
    }
    context.writeLimiter().forceAcquire(transaction.writeCount(), loop.now());
    context
        .state()
        .compareAndSwap(
            transaction,
            (result, revision, failedConditions) -> {
              switch (result) {
                case OK -> onCommitted.accept(revision);
                case CONDITION_FAILED -> onConditionFailed.accept(failedConditions);
                default -> resend(result, transaction, onCommitted, onConditionFailed);
              }
            });
  }

  private void resend(
      CallResult result,
      Transaction transaction,
      LongConsumer onCommitted,
      Consumer<List<String>> onConditionFailed) {
    if (++retries > MAX_RETRIES) {
      completeUnavailable();
      return;
    }
    long delayMs =
        result == CallResult.UNKNOWN
            ? ClaimContext.CONFLICT_RETRY_DELAY_MS
            : OVERLOAD_RETRY_DELAY_MS;
    loop.after(delayMs, () -> send(transaction, onCommitted, onConditionFailed));
  }
}
