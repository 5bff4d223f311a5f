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
    OVER,
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
    void answered(Status status, Entry job);
  }

  /** A job that was seen open; the counts of its tasks are for display and may be older. */
  static final class Entry {
    final String id;

    /** Version of its open record, or 0 while only its existence was seen. */
    final long version;

    private JobProgress progress = JobProgress.NONE;
    private long countedMs = Long.MIN_VALUE / 2;

    Entry(String id, long version) {
      this.id = id;
      this.version = version;
    }

    /** The newest counts of its tasks. */
    JobProgress progress() {
      return progress;
    }

    /** When they were counted; long ago when they never were. */
    long countedMs() {
      return countedMs;
    }

    /** Keeps counts that were read now. */
    void counted(JobProgress counts, long now) {
      progress = counts;
      countedMs = now;
    }
  }

  /** What a question compares. */
  private enum Kind {
    /** The open record with the version that it was read with. */
    VERSION(1),
    /** Whether the open record is there, as it was. */
    OPEN_RECORD(1),
    /** Whether the open or the end record is there. */
    BOTH_RECORDS(2);

    private final int conditions;

    Kind(int conditions) {
      this.conditions = conditions;
    }
  }

  private record Question(String id, Kind kind, long version, Listener listener) {
    Question withBoth() {
      return new Question(id, Kind.BOTH_RECORDS, 0, listener);
    }
  }

  /** Comparisons under way at once: with two, one is being answered while the next one fills. */
  private static final int MAX_IN_FLIGHT = 2;

  /** A small part of the time in which users expect the answer to a submission. */
  private static final long PROMPT_ANSWER_MS = 100;

  /** Questions that wait; more are turned away, as users ask again. */
  private static final int MAX_WAITING = 1_000;

  private final KeyValueStore state;
  private final ReadQueue reads;
  private final int maxRemembered;
  private final int maxConditions;
  private final Object2ObjectLinkedOpenHashMap<String, Entry> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ArrayDeque<Question> waiting = new ArrayDeque<>();
  private int inFlight;

  /** Remembers the newest {@code maxRemembered} jobs; a call has at most {@code maxConditions}. */
  OpenJobs(KeyValueStore state, ReadQueue reads, int maxRemembered, int maxConditions) {
    this.state = state;
    this.reads = reads;
    this.maxRemembered = maxRemembered;
    this.maxConditions = maxConditions;
  }

  /** Remembers a job that was read or written as open with this version, or 0 if unknown. */
  Entry seenOpen(String id, long version) {
    Entry entry = jobs.getAndMoveToLast(id);
    if (entry == null || (version != 0 && entry.version != version)) {
      entry = new Entry(id, version);
      jobs.putAndMoveToLast(id, entry);
      if (jobs.size() > maxRemembered) {
        jobs.removeFirst();
      }
    }
    return entry;
  }

  /** Forgets a job that is over. */
  void forget(String id) {
    jobs.remove(id);
  }

  /** The number of jobs that are remembered. */
  int size() {
    return jobs.size();
  }

  /** Whether a question asked now is answered so soon that a submission may wait for it. */
  boolean answersPromptly() {
    return waiting.size() < maxConditions / 2
        && reads.delayMs() < PROMPT_ANSWER_MS
        && !state.health().hasLateResponses();
  }

  /** Asks whether a job is open, over or absent. */
  void ask(String id, Listener listener) {
    if (waiting.size() >= MAX_WAITING) {
      listener.answered(Status.UNKNOWN, null);
      return;
    }
    Entry known = jobs.get(id);
    if (known == null) {
      waiting.add(new Question(id, Kind.BOTH_RECORDS, 0, listener));
    } else {
      Kind kind = known.version == 0 ? Kind.OPEN_RECORD : Kind.VERSION;
      waiting.add(new Question(id, kind, known.version, listener));
    }
    send();
  }

  private void send() {
    // A comparison that waits for its call counts as in flight: later questions share it.
    while (inFlight < MAX_IN_FLIGHT && !waiting.isEmpty()) {
      inFlight++;
      reads.acquire(1, this::compare, this::refuse);
    }
  }

  private void refuse() {
    inFlight--;
    for (Question q : nextBatch()) {
      q.listener.answered(Status.UNKNOWN, null);
    }
    send();
  }

  /**
   * Takes as many questions as one call has conditions for. Versions, which are expected to hold,
   * are compared apart from other questions: with a failing condition among them all would have to
   * be compared again.
   */
  private List<Question> nextBatch() {
    List<Question> batch = new ArrayList<>();
    if (waiting.isEmpty()) {
      return batch;
    }
    boolean versions = waiting.peek().kind == Kind.VERSION;
    int conditions = 0;
    while (!waiting.isEmpty()
        && (waiting.peek().kind == Kind.VERSION) == versions
        && conditions + waiting.peek().kind.conditions <= maxConditions) {
      conditions += waiting.peek().kind.conditions;
      batch.add(waiting.poll());
    }
    return batch;
  }

  private void compare() {
    List<Question> batch = nextBatch();
    if (batch.isEmpty()) {
      reads.release();
      inFlight--;
      return;
    }
    Transaction transaction = new Transaction();
    for (Question q : batch) {
      transaction.requireVersion(RecordKeys.openJob(q.id), q.version);
      if (q.kind == Kind.BOTH_RECORDS) {
        transaction.requireVersion(RecordKeys.endedJob(q.id), 0);
      }
    }
    state.compareAndSwapWithRetry(
        transaction,
        () -> {},
        (result, revision, failed) -> {
          inFlight--;
          List<Question> again = new ArrayList<>();
          for (Question q : batch) {
            if (!answer(q, result, failed)) {
              again.add(q.kind == Kind.VERSION ? q : q.withBoth());
            }
          }
          for (int i = again.size() - 1; i >= 0; i--) {
            waiting.addFirst(again.get(i));
          }
          send();
        });
  }

  /** Answers a question by what the comparison said; false when it said nothing of the job. */
  private boolean answer(Question q, CallResult result, List<String> failed) {
    if (result == CallResult.OK && q.kind != Kind.OPEN_RECORD) {
      boolean open = q.kind == Kind.VERSION;
      q.listener.answered(
          open ? Status.OPEN : Status.ABSENT, open ? seenOpen(q.id, q.version) : null);
      return true;
    }
    if (result == CallResult.OK || (result == CallResult.CONDITION_FAILED && !failed.isEmpty())) {
      return answerByFailedConditions(q, failed);
    }
    q.listener.answered(Status.UNKNOWN, null);
    return true;
  }

  private boolean answerByFailedConditions(Question q, List<String> failed) {
    boolean openFailed = failed.contains(RecordKeys.openJob(q.id));
    if (q.kind == Kind.VERSION && openFailed) {
      forget(q.id);
      q.listener.answered(Status.OVER, null);
    } else if (failed.contains(RecordKeys.endedJob(q.id))) {
      forget(q.id);
      q.listener.answered(Status.OVER, null);
    } else if (q.kind != Kind.VERSION && openFailed) {
      q.listener.answered(Status.OPEN, seenOpen(q.id, 0));
    } else {
      return false;
    }
    return true;
  }
}
