package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.mallowroad.core.health.RunTimeBaseline;

/** An accepted job and where its tasks are. */
public final class Job {
  /** What the user submitted. */
  public final JobSpec spec;

  /** Version of the job's open record, which never changes while the job is open. */
  public final long version;

  final BitSet doneTasks = new BitSet();
  final int[] highestAttemptNumbers;
  final Attempt[] liveAttempts;
  final AttemptRecord[] attemptRecords;
  public final IntArrayFIFOQueue pendingTasks = new IntArrayFIFOQueue();
  final int[] liveAttemptsByZone;

  /** How long its tasks took: the measure of the machines that run the others. */
  final RunTimeBaseline runTimes;

  /** Machines on which a task of this job ended with an error. */
  public final ObjectOpenHashSet<String> failedMachines = new ObjectOpenHashSet<>();

  /**
   * True when the job fits into its team's guarantee together with the team's earlier unfinished
   * jobs; as of the newest queue.
   */
  public boolean guaranteed;

  /** True when it has waited so long that it goes before guaranteed work of its rank. */
  public boolean aged;

  /**
   * When as many of its tasks as its team's limit allows at once were under way or done, or -1:
   * what users mean by "begun", counted by placements.
   */
  long begunMs = -1;

  /**
   * True while it waits for what it is tied to: no task of it starts, it counts among no waiting,
   * and it does not age. Opened by a release on record alone.
   */
  boolean held;

  /** When its hold was opened in this term, or 0. */
  long releasedMs;

  /** What it still waits for, for people. */
  public String holdReason = "";

  int liveAttemptCount;
  int runningCount;
  int consecutiveFailures;
  long retryNotBeforeMs;
  long waitingSinceMs;

  /** When its last task was done. */
  long allDoneMs;

  /** When one of its tasks was last given to a machine. */
  long lastStartMs;

  /** When it was submitted, on this process's steady clock. */
  final long submittedMs;

  /** True once the user's cancellation is known; nothing is launched from then on. */
  boolean cancelled;

  /** True once the job's end is recorded. */
  boolean ended;

  Job(JobSpec spec, long version, int zones, long submittedMs, long now) {
    this.submittedMs = submittedMs;
    this.lastStartMs = submittedMs;
    this.spec = spec;
    this.version = version;
    this.runTimes = new RunTimeBaseline(spec.tasks());
    this.highestAttemptNumbers = new int[spec.tasks()];
    this.liveAttempts = new Attempt[spec.tasks()];
    this.attemptRecords =
        new AttemptRecord
            [(spec.tasks() + AttemptRecord.TASKS_PER_RECORD - 1) / AttemptRecord.TASKS_PER_RECORD];
    for (int i = 0; i < attemptRecords.length; i++) {
      attemptRecords[i] = new AttemptRecord(this, i);
    }
    this.liveAttemptsByZone = new int[zones];
    this.waitingSinceMs = now;
  }

  /** The record that holds a task. */
  public AttemptRecord attemptRecord(int i) {
    return attemptRecords[i];
  }

  /** The record that holds a task, by the task's number. */
  AttemptRecord attemptRecordOf(int task) {
    return attemptRecords[task / AttemptRecord.TASKS_PER_RECORD];
  }

  /** How many records the job may have. */
  public int attemptRecordCount() {
    return attemptRecords.length;
  }

  /** True when the task is done. */
  public boolean isDone(int task) {
    return doneTasks.get(task);
  }

  /** The unresolved attempt of a task, or null. */
  public Attempt liveAttempt(int task) {
    return liveAttempts[task];
  }

  /** Highest attempt number that a task has had. */
  public int highestAttemptNumber(int task) {
    return highestAttemptNumbers[task];
  }

  /** Number of tasks done. */
  public int doneCount() {
    return doneTasks.cardinality();
  }

  /** Number of tasks that wait to be started. */
  public int waitingCount() {
    return pendingTasks.size();
  }

  /** Number of unresolved attempts. */
  public int liveAttemptCount() {
    return liveAttemptCount;
  }

  /** True while it is tried again only later, after failures. */
  public boolean isBackingOff(long now) {
    return retryNotBeforeMs > now;
  }

  /** Until when it is held back after failures, on this process's steady clock. */
  public long retryNotBeforeMs() {
    return retryNotBeforeMs;
  }

  /** Failures in a row, without a task that completed between them. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** True when there are machines on which a task of it ended with an error. */
  public boolean hasFailedMachines() {
    return !failedMachines.isEmpty();
  }

  /** Since when tasks of it have waited without a break, on this process's steady clock. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** True when it was within its team's guarantee in the newest queue. */
  public boolean isGuaranteed() {
    return guaranteed;
  }

  /** True when it goes before other work of its rank: within a guarantee, or long overdue. */
  public boolean hasPrecedence() {
    return guaranteed || aged;
  }

  /** When it had begun, the largest part of it that may run at once, or -1. */
  public long begunMs() {
    return begunMs;
  }

  /** False where its other tasks keep its next one from a zone. */
  public boolean allowsZone(int zone) {
    return !(spec.together() && liveAttemptCount > liveAttemptsByZone[zone])
        && !(spec.scatter() && liveAttemptsByZone[zone] >= spec.maxTasksPerZone());
  }

  /** Number of unresolved attempts in each zone; a copy. */
  public int[] copyLiveAttemptsByZone() {
    return liveAttemptsByZone.clone();
  }

  /** True when unresolved attempts of it are in a zone. */
  public boolean hasLiveAttemptIn(int zone) {
    return liveAttemptsByZone[zone] > 0;
  }

  /** Number of tasks known to run. */
  public int runningCount() {
    return runningCount;
  }

  /** When it was submitted, on this process's steady clock. */
  public long submittedMs() {
    return submittedMs;
  }

  /** When one of its tasks was last given to a machine. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** The most attempts that one of its tasks has had. */
  public int maxAttemptNumber() {
    int most = 0;
    for (int n : highestAttemptNumbers) {
      most = Math.max(most, n);
    }
    return most;
  }

  /** When its last task was done, once all are. */
  public long allDoneMs() {
    return allDoneMs;
  }

  /** True when all tasks are done. */
  public boolean areAllTasksDone() {
    return doneTasks.cardinality() == spec.tasks();
  }

  /** True while it is held. */
  public boolean isHeld() {
    return held;
  }

  /** Since when it could have started: its submission, or the opening of its hold. */
  public long eligibleSinceMs() {
    return Math.max(submittedMs, releasedMs);
  }

  /** True while tasks wait and may be started. */
  public boolean hasWaitingTasks() {
    return !held && !cancelled && !ended && !pendingTasks.isEmpty();
  }

  /** True once the user's cancellation is known. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** True once the job's end is recorded as done. */
  public boolean isEnded() {
    return ended;
  }

  /** True when nothing of an ended job is left on any machine. */
  public boolean isFinished() {
    return (cancelled || ended) && liveAttemptCount == 0;
  }
}
