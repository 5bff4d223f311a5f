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
 * Answers whether jobs are open, many with one call.
 *
 * <p><b>Why an answer is never stale.</b> A transaction without writes compares keys at one moment,
 * which lies after each question that it answers was asked. A job's open record is never changed,
 * only deleted, in the transaction that writes its end record, and neither key is ever written
 * again ({@code RecordKeys}). So there are two comparisons:
 *
 * <ul>
 *   <li>a job whose open record was read with its version is open if the version still holds; when
 *       all conditions of a transaction hold, all of its jobs are open;
 *   <li>of any other job both keys are compared with version 0, "does not exist": a condition that
 *       is named as failed is a record that is there, and when all conditions hold there is none.
 *       Of one that was seen open that way the open record alone is compared at first.
 * </ul>
 *
 * <p>What is named as failed is taken as a fact; of what is not named nothing is concluded, since a
 * service may name the first failure alone. Those jobs are compared again. What is remembered here
 * is a version, never an answer.
 */
final class OpenJobs {
  /** What a comparison that was sent after the question says of a job. */
  enum Status {
    /** It is open. */
    OPEN,
    /** It has an end record. */
    ENDED,
    /** It has neither record. */
    ABSENT,
    /** The state service did not say. */
    UNKNOWN
  }

  /** Takes the answer to a question; called once. */
  interface Listener {
    /**
     * The question is answered.
     *
     * @param job with {@link Status#OPEN} the job, else null
     */
    void onAnswer(Status status, OpenJob job);
  }

  /** A job that was seen open; the counts of its tasks are for display and may be older. */
  static final class OpenJob {
    final String id;

    /** Version of its open record, or 0 while only its existence was seen. */
    final long version;

    private JobProgress progress = JobProgress.NONE;
    private long progressUpdatedMs = Long.MIN_VALUE / 2;

    OpenJob(String id, long version) {
      this.id = id;
      this.version = version;
    }

    /** The newest counts of its tasks. */
    JobProgress progress() {
      return progress;
    }

    /** When they were counted; long ago when they never were. */
    long progressUpdatedMs() {
      return progressUpdatedMs;
    }

    /** Keeps counts that were read now. */
    void updateProgress(JobProgress newProgress, long nowMs) {
      progress = newProgress;
      progressUpdatedMs = nowMs;
    }
  }

  /** What a question compares. */
  private enum Comparison {
    /** The open record with the version that it was read with. */
    KNOWN_VERSION(1),
    /** Whether the open record is there, as it was. */
    OPEN_RECORD_ABSENT(1),
    /** Whether the open or the end record is there. */
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

  /** Comparisons under way at once: with two, one is being answered while the next one fills. */
  private static final int MAX_COMPARISONS_IN_FLIGHT = 2;

  /** A small part of the time in which users expect the answer to a submission. */
  private static final long PROMPT_RESPONSE_MS = 100;

  /** Questions that wait; more are turned away, as users ask again. */
  private static final int MAX_PENDING = 1_000;

  private final KeyValueStore state;
  private final ReadQueue readQueue;
  private final int maxCached;
  private final int maxConditions;
  private final Object2ObjectLinkedOpenHashMap<String, OpenJob> cache =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ArrayDeque<PendingLookup> pending = new ArrayDeque<>();
  private int comparisonsInFlight;

  /** Remembers the newest {@code maxRemembered} jobs; a call has at most {@code maxConditions}. */
  OpenJobs(KeyValueStore state, ReadQueue readQueue, int maxCached, int maxConditions) {
    this.state = state;
    this.readQueue = readQueue;
    this.maxCached = maxCached;
    this.maxConditions = maxConditions;
  }

  /** Remembers a job that was read or written as open with this version, or 0 if unknown. */
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

  /** Forgets a job that is over. */
  void evict(String id) {
    cache.remove(id);
  }

  /** The number of jobs that are remembered. */
  int size() {
    return cache.size();
  }

  /** Whether a question asked now is answered so soon that a submission may wait for it. */
  boolean canAnswerPromptly() {
    return pending.size() < maxConditions / 2
        && readQueue.estimatedWaitMs() < PROMPT_RESPONSE_MS
        && !state.health().hasLateResponses();
  }

  /** Asks whether a job is open, over or absent. */
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
    // A comparison that waits for its call counts as in flight: later questions share it.
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
   * Takes as many questions as one call has conditions for. Versions, which are expected to hold,
   * are compared apart from other questions: with a failing condition among them all would have to
   * be compared again.
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

  /** Answers a question by what the comparison said; false when it said nothing of the job. */
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
