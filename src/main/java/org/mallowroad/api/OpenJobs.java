package org.mallowroad.api;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;

/**
 * Looks up whether jobs are open, and batches many lookups into one call to the state service.
 *
 * <p><b>Why an answer is never stale.</b> A transaction without writes compares all its keys at one
 * point in time, which is after every lookup that it answers was requested. A job's open record is
 * never modified. It is only deleted, by the transaction that writes the job's end record, and
 * neither key is written again afterwards ({@code RecordKeys}). This allows two kinds of
 * comparison:
 *
 * <ul>
 *   <li>A job whose open record was read earlier is open if the record still has the version that
 *       was read. When all conditions of such a transaction hold, all its jobs are open.
 *   <li>For any other job both keys are compared with version 0, which means "does not exist". A
 *       condition that is reported as failed proves that its record exists; when all conditions
 *       hold, neither record exists. If such a comparison has already found the job open, only the
 *       open record is compared in the next lookup, and both keys only if that is inconclusive.
 * </ul>
 *
 * <p>A condition that is reported as failed did fail. Nothing is concluded about a condition that
 * is not reported, because the state service may report only the first failure; those jobs are
 * compared again. The cache holds only versions, never answers.
 */
final class OpenJobs {
  /** The state of a job, according to a comparison that was sent after the lookup was requested. */
  enum Status {
    /** The job is open. */
    OPEN,
    /** The job has an end record. */
    ENDED,
    /** The job has neither an open nor an end record. */
    ABSENT,
    /** The state service did not answer, or the lookup was rejected. */
    UNKNOWN
  }

  /** Receives the result of a lookup; called once. */
  interface Listener {
    /**
     * Called with the result of the lookup.
     *
     * @param job the job if the status is {@link Status#OPEN}, else null
     */
    void onAnswer(Status status, OpenJob job);
  }

  /** A job that was found open. Its task counts are for display only and may be outdated. */
  static final class OpenJob {
    final String id;

    /** The version of the open record, or 0 if only the existence of the record is known. */
    final long version;

    private JobProgress progress = JobProgress.NONE;
    private long progressUpdatedMs = Long.MIN_VALUE / 2;

    OpenJob(String id, long version) {
      this.id = id;
      this.version = version;
    }

    /** The most recent task counts. */
    JobProgress progress() {
      return progress;
    }

    /** When the task counts were read, in ms; a time in the distant past if they never were. */
    long progressUpdatedMs() {
      return progressUpdatedMs;
    }

    /** Stores task counts that were read at {@code nowMs}. */
    void updateProgress(JobProgress newProgress, long nowMs) {
      progress = newProgress;
      progressUpdatedMs = nowMs;
    }
  }

  /** Which records a lookup compares, and with which versions. */
  private enum Comparison {
    /** The open record has the version with which it was read. */
    KNOWN_VERSION(1),
    /** The open record does not exist; expected to fail, as the job was open before. */
    OPEN_RECORD_ABSENT(1),
    /** Neither the open nor the end record exists. */
    BOTH_RECORDS_ABSENT(2);

    private final int conditionCount;

    Comparison(int conditionCount) {
      this.conditionCount = conditionCount;
    }
  }

  private record PendingLookup(String id, Comparison comparison, long version, Listener listener) {
    PendingLookup comparingBothRecords() {
      return new PendingLookup(id, Comparison.BOTH_RECORDS_ABSENT, 0, listener);
    }
  }

  /** With two comparisons in flight, one fills with lookups while the other awaits its response. */
  private static final int MAX_COMPARISONS_IN_FLIGHT = 2;

  /** A small fraction of the time within which users expect the response to a submission. */
  private static final long PROMPT_RESPONSE_MS = 100;

  /** The maximum number of queued lookups; more are rejected, and their users retry. */
  private static final int MAX_PENDING = 1_000;

  private final KeyValueStore state;
  private final ReadQueue readQueue;
  private final int maxCached;
  private final int maxConditions;
  private final Object2ObjectLinkedOpenHashMap<String, OpenJob> cache =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ArrayDeque<PendingLookup> pending = new ArrayDeque<>();
  private int comparisonsInFlight;

  /**
   * Creates a lookup that batches its comparisons.
   *
   * @param maxCached the number of most recently used open jobs whose version is cached
   * @param maxConditions the maximum number of conditions in one call
   */
  OpenJobs(KeyValueStore state, ReadQueue readQueue, int maxCached, int maxConditions) {
    this.state = state;
    this.readQueue = readQueue;
    this.maxCached = maxCached;
    this.maxConditions = maxConditions;
  }

  /** Caches a job that was read or written as open; {@code version} is 0 if it is unknown. */
  OpenJob cacheOpen(String id, long version) {
    OpenJob cached = cache.getAndMoveToLast(id);
    if (cached == null || (version != 0 && cached.version != version)) {
      cached = new OpenJob(id, version);
      cache.putAndMoveToLast(id, cached);
      if (cache.size() > maxCached) {
        cache.removeFirst();
      }
    }
    return cached;
  }

  /** Removes a job that has ended from the cache. */
  void evict(String id) {
    cache.remove(id);
  }

  /** The number of cached jobs. */
  int size() {
    return cache.size();
  }

  /**
   * Whether a lookup requested now would be answered soon enough for a submission to wait for it.
   */
  boolean canAnswerPromptly() {
    return pending.size() < maxConditions / 2
        && readQueue.estimatedWaitMs() < PROMPT_RESPONSE_MS
        && !state.health().hasLateResponses();
  }

  /** Looks up whether a job is open, has ended or does not exist. */
  void lookUp(String id, Listener listener) {
    if (pending.size() >= MAX_PENDING) {
      listener.onAnswer(Status.UNKNOWN, null);
      return;
    }
    OpenJob cached = cache.get(id);
    if (cached == null) {
      pending.add(new PendingLookup(id, Comparison.BOTH_RECORDS_ABSENT, 0, listener));
    } else {
      Comparison comparison =
          cached.version == 0 ? Comparison.OPEN_RECORD_ABSENT : Comparison.KNOWN_VERSION;
      pending.add(new PendingLookup(id, comparison, cached.version, listener));
    }
    sendComparisons();
  }

  private void sendComparisons() {
    // A comparison that waits for the read queue counts as in flight: later lookups join its batch.
    while (comparisonsInFlight < MAX_COMPARISONS_IN_FLIGHT && !pending.isEmpty()) {
      comparisonsInFlight++;
      readQueue.acquire(1, this::sendNextBatch, this::failNextBatch);
    }
  }

  private void failNextBatch() {
    comparisonsInFlight--;
    for (PendingLookup lookup : nextBatch()) {
      lookup.listener.onAnswer(Status.UNKNOWN, null);
    }
    sendComparisons();
  }

  /**
   * Removes as many queued lookups as fit into the conditions of one call. Comparisons with known
   * versions, which are expected to hold, are not mixed with other comparisons: a single failed
   * condition would force all of them to be repeated.
   */
  private List<PendingLookup> nextBatch() {
    List<PendingLookup> batch = new ArrayList<>();
    if (pending.isEmpty()) {
      return batch;
    }
    boolean comparesVersions = pending.peek().comparison == Comparison.KNOWN_VERSION;
    int conditionCount = 0;
    while (!pending.isEmpty()
        && (pending.peek().comparison == Comparison.KNOWN_VERSION) == comparesVersions
        && conditionCount + pending.peek().comparison.conditionCount <= maxConditions) {
      conditionCount += pending.peek().comparison.conditionCount;
      batch.add(pending.poll());
    }
    return batch;
  }

  private void sendNextBatch() {
    List<PendingLookup> batch = nextBatch();
    if (batch.isEmpty()) {
      readQueue.release();
      comparisonsInFlight--;
      return;
    }
    Transaction transaction = new Transaction();
    for (PendingLookup lookup : batch) {
      transaction.requireVersion(RecordKeys.openJob(lookup.id), lookup.version);
      if (lookup.comparison == Comparison.BOTH_RECORDS_ABSENT) {
        transaction.requireVersion(RecordKeys.endedJob(lookup.id), 0);
      }
    }
    state.compareAndSwapWithRetry(
        transaction,
        () -> {},
        (result, revision, failedConditions) -> {
          comparisonsInFlight--;
          List<PendingLookup> unresolved = new ArrayList<>();
          for (PendingLookup lookup : batch) {
            if (!resolve(lookup, result, failedConditions)) {
              unresolved.add(
                  lookup.comparison == Comparison.KNOWN_VERSION
                      ? lookup
                      : lookup.comparingBothRecords());
            }
          }
          for (int i = unresolved.size() - 1; i >= 0; i--) {
            pending.addFirst(unresolved.get(i));
          }
          sendComparisons();
        });
  }

  /** Answers a lookup from the result of its comparison; false if the result was inconclusive. */
  private boolean resolve(PendingLookup lookup, CallResult result, List<String> failedConditions) {
    if (result == CallResult.OK && lookup.comparison != Comparison.OPEN_RECORD_ABSENT) {
      boolean isOpen = lookup.comparison == Comparison.KNOWN_VERSION;
      lookup.listener.onAnswer(
          isOpen ? Status.OPEN : Status.ABSENT,
          isOpen ? cacheOpen(lookup.id, lookup.version) : null);
      return true;
    }
    if (result == CallResult.OK
        || (result == CallResult.CONDITION_FAILED && !failedConditions.isEmpty())) {
      return resolveByFailedConditions(lookup, failedConditions);
    }
    lookup.listener.onAnswer(Status.UNKNOWN, null);
    return true;
  }

  private boolean resolveByFailedConditions(PendingLookup lookup, List<String> failedConditions) {
    boolean isOpenConditionFailed = failedConditions.contains(RecordKeys.openJob(lookup.id));
    if (lookup.comparison == Comparison.KNOWN_VERSION && isOpenConditionFailed) {
      evict(lookup.id);
      lookup.listener.onAnswer(Status.ENDED, null);
    } else if (failedConditions.contains(RecordKeys.endedJob(lookup.id))) {
      evict(lookup.id);
      lookup.listener.onAnswer(Status.ENDED, null);
    } else if (lookup.comparison != Comparison.KNOWN_VERSION && isOpenConditionFailed) {
      lookup.listener.onAnswer(Status.OPEN, cacheOpen(lookup.id, 0));
    } else {
      return false;
    }
    return true;
  }
}
