package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.mallowroad.core.health.RunTimeBaseline;

/**
 * An accepted job and how its tasks stand. Times are milliseconds on the process's steady clock.
 *
 * <p>A task is done, or has a live attempt (one that is not proven gone), or is pending.
 */
public final class Job {
  /** What the user submitted. */
  public final JobSpec spec;

  /** Version of the job's open record, which never changes while the job is open. */
  public final long version;

  /** Tasks that completed. */
  final BitSet doneTasks = new BitSet();

  /** By task: an upper bound for the numbers of its attempts; the next one gets a higher one. */
  final int[] highestAttemptNumbers;

  /** By task: its attempt that is not proven gone, or null. */
  final Attempt[] liveAttempts;

  /** The records of its attempts, each for {@link AttemptRecord#TASKS_PER_RECORD} tasks. */
  final AttemptRecord[] attemptRecords;

  /** Tasks that wait to be started, the next one first. */
  public final IntArrayFIFOQueue pendingTasks = new IntArrayFIFOQueue();

  /** By zone: how many live attempts it has there. */
  final int[] liveAttemptsByZone;

  /** How long its completed tasks took: by it the straggler detector judges the others. */
  final RunTimeBaseline runTimes;

  /** Machines on which a task of this job ended with an error. */
  public final ObjectOpenHashSet<String> failedMachines = new ObjectOpenHashSet<>();

  /**
   * True when the job fits into its team's guarantee together with the team's earlier unfinished
   * jobs; as of the newest queue.
   */
  public boolean guaranteed;

  /** True when it has waited so long that it goes before guaranteed work of its priority. */
  public boolean aged;

  /**
   * When as many of its tasks as its team's limit allows at once were placed or done, or -1. This
   * is the moment that the service-level objective for the start of jobs refers to.
   */
  long fullyPlacedMs = -1;

  /**
   * True while its dependencies are not met: no task of it starts, it does not count as waiting,
   * and it does not age. Only a release that is on record in the state service ends this.
   */
  boolean held;

  /** When it was released in this term, or 0. */
  long releasedMs;

  /** The dependencies that are not met, for people; empty when it is not held. */
  public String holdReason = "";

  int liveAttemptCount;
  int runningCount;

  /** Failures in a row, without a task that completed between them. */
  int consecutiveFailures;

  /** No task of it is started before this time, after failures. */
  long retryNotBeforeMs;

  /** Since when it has had pending tasks without a break. */
  long waitingSinceMs;

  /** When its last task completed, once all have. */
  long allDoneMs;

  /** When one of its tasks was last placed on a machine; before that, its submission. */
  long lastStartMs;

  /** When it was submitted. */
  final long submittedMs;

  /** True once the user's cancellation is known; nothing is launched from then on. */
  boolean cancelled;

  /** True once its end is on record in the state service. */
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

  /** A record of its attempts, by the index of the record. */
  public AttemptRecord attemptRecord(int index) {
    return attemptRecords[index];
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
  public boolean isTaskDone(int task) {
    return doneTasks.get(task);
  }

  /** The live attempt of a task, or null. */
  public Attempt liveAttempt(int task) {
    return liveAttempts[task];
  }

  /** Highest attempt number that a task has had. */
  public int highestAttemptNumber(int task) {
    return highestAttemptNumbers[task];
  }

  /** Number of tasks done. */
  public int doneTaskCount() {
    return doneTasks.cardinality();
  }

  /** Number of tasks that wait to be started. */
  public int pendingTaskCount() {
    return pendingTasks.size();
  }

  /** Number of live attempts. */
  public int liveAttemptCount() {
    return liveAttemptCount;
  }

  /** True while it is tried again only later, after failures. */
  public boolean isBackingOff(long now) {
    return retryNotBeforeMs > now;
  }

  /** Until when it is held back after failures. */
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

  /** Since when tasks of it have waited without a break. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** True when it was within its team's guarantee in the newest queue. */
  public boolean isGuaranteed() {
    return guaranteed;
  }

  /** True when it goes before other work of its priority: within a guarantee, or long overdue. */
  public boolean hasPrecedence() {
    return guaranteed || aged;
  }

  /** When it had begun, the largest part of it that may run at once, or -1. */
  public long fullyPlacedMs() {
    return fullyPlacedMs;
  }

  /** False where its other tasks keep its next one from a zone. */
  public boolean allowsZone(int zone) {
    return !(spec.together() && liveAttemptCount > liveAttemptsByZone[zone])
        && !(spec.scatter() && liveAttemptsByZone[zone] >= spec.maxTasksPerZone());
  }

  /** Number of live attempts in each zone; a copy. */
  public int[] copyLiveAttemptsByZone() {
    return liveAttemptsByZone.clone();
  }

  /** True when live attempts of it are in a zone. */
  public boolean hasLiveAttemptIn(int zone) {
    return liveAttemptsByZone[zone] > 0;
  }

  /** Number of tasks known to run. */
  public int runningCount() {
    return runningCount;
  }

  /** When it was submitted. */
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

  /** True while its dependencies are not met. */
  public boolean isHeld() {
    return held;
  }

  /** Since when it could have started: its submission, or its release. */
  public long eligibleSinceMs() {
    return Math.max(submittedMs, releasedMs);
  }

  /** True while tasks wait and may be started. */
  public boolean hasStartableTasks() {
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
