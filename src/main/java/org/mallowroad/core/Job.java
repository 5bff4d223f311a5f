package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.mallowroad.core.health.RunTimeBaseline;

/**
 * An accepted job and the state of its tasks. Times are milliseconds on the process's monotonic
 * clock.
 *
 * <p>Each task is done, has a live attempt (one that is not proven gone), or is pending.
 */
public final class Job {
  /** The job as the user submitted it. */
  public final JobSpec spec;

  /** Version of the job's open record, which does not change while the job is open. */
  public final long version;

  /** Tasks that completed. */
  final BitSet doneTasks = new BitSet();

  /** By task: upper bound of the attempt numbers used; the next attempt gets a higher number. */
  final int[] highestAttemptNumbers;

  /** By task: the live attempt, or null. */
  final Attempt[] liveAttempts;

  /** The job's attempt records, each covering {@link AttemptRecord#TASKS_PER_RECORD} tasks. */
  final AttemptRecord[] attemptRecords;

  /** Tasks that wait to be started, in starting order. */
  public final IntArrayFIFOQueue pendingTasks = new IntArrayFIFOQueue();

  /** By zone: number of live attempts. */
  final int[] liveAttemptsByZone;

  /** Run times of completed tasks; the straggler detector compares running tasks with them. */
  final RunTimeBaseline runTimes;

  /** Names of machines on which a task of this job ended with an error. */
  public final ObjectOpenHashSet<String> failedMachines = new ObjectOpenHashSet<>();

  /**
   * True when the job fits into its team's guarantee together with the team's earlier unfinished
   * jobs, as of the latest rebuild of the job queue.
   */
  public boolean guaranteed;

  /** True when the job has waited so long that it precedes guaranteed work of its priority. */
  public boolean aged;

  /**
   * Time at which as many tasks as the team's limit allows at once were placed or done; -1 before
   * that. The service-level objective for the start of jobs refers to this time.
   */
  long fullyPlacedMs = -1;

  /**
   * True while the job's dependencies are not met: none of its tasks starts, and it neither counts
   * as waiting nor ages. Only a release that is recorded in the state service ends this.
   */
  boolean held;

  /** Time at which the job was released in this term, or 0. */
  long releasedMs;

  /** Human-readable list of the unmet dependencies; empty when the job is not held. */
  public String holdReason = "";

  int liveAttemptCount;
  int runningCount;

  /** Number of failures since a task last completed. */
  int consecutiveFailures;

  /** End of the backoff after failures: no task starts before this time. */
  long retryNotBeforeMs;

  /** Start of the current period in which the job has always had pending tasks. */
  long waitingSinceMs;

  /** Time at which the last task completed, once all have. */
  long allDoneMs;

  /** Time at which a task was last placed on a machine; the submission time before that. */
  long lastStartMs;

  /** Submission time on the monotonic clock. */
  final long submittedMs;

  /** True once the user's cancellation is known; no task starts from then on. */
  boolean cancelled;

  /** True once the job's end is recorded in the state service. */
  boolean ended;

  Job(JobSpec spec, long version, int zoneCount, long submittedMs, long now) {
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
    for (int index = 0; index < attemptRecords.length; index++) {
      attemptRecords[index] = new AttemptRecord(this, index);
    }
    this.liveAttemptsByZone = new int[zoneCount];
    this.waitingSinceMs = now;
  }

  /** The job's attempt record with the given index. */
  public AttemptRecord attemptRecord(int index) {
    return attemptRecords[index];
  }

  /** The attempt record that covers a task. */
  AttemptRecord attemptRecordOf(int task) {
    return attemptRecords[task / AttemptRecord.TASKS_PER_RECORD];
  }

  /** Number of attempt records. */
  public int attemptRecordCount() {
    return attemptRecords.length;
  }

  /** True when the task has completed. */
  public boolean isTaskDone(int task) {
    return doneTasks.get(task);
  }

  /** The live attempt of a task, or null. */
  public Attempt liveAttempt(int task) {
    return liveAttempts[task];
  }

  /** Upper bound of the attempt numbers that a task has had. */
  public int highestAttemptNumber(int task) {
    return highestAttemptNumbers[task];
  }

  /** Number of completed tasks. */
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

  /** True while the job's backoff after failures lasts. */
  public boolean isBackingOff(long now) {
    return retryNotBeforeMs > now;
  }

  /** End of the backoff after failures: no task starts before this time. */
  public long retryNotBeforeMs() {
    return retryNotBeforeMs;
  }

  /** Number of failures since a task last completed. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** True when a task of this job has ended with an error on some machine. */
  public boolean hasFailedMachines() {
    return !failedMachines.isEmpty();
  }

  /** Start of the current period in which the job has always had pending tasks. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** True when the job was within its team's guarantee at the latest rebuild of the job queue. */
  public boolean isGuaranteed() {
    return guaranteed;
  }

  /** True when the job precedes other work of its priority, by its team's guarantee or by aging. */
  public boolean hasPrecedence() {
    return guaranteed || aged;
  }

  /** Time at which as many tasks as may run at once were placed or done; -1 before that. */
  public long fullyPlacedMs() {
    return fullyPlacedMs;
  }

  /** True unless the zones of the other tasks rule out this zone for the next task. */
  public boolean allowsZone(int zone) {
    return !(spec.together() && liveAttemptCount > liveAttemptsByZone[zone])
        && !(spec.scatter() && liveAttemptsByZone[zone] >= spec.maxTasksPerZone());
  }

  /** A copy of the numbers of live attempts by zone. */
  public int[] copyLiveAttemptsByZone() {
    return liveAttemptsByZone.clone();
  }

  /** True when the job has live attempts in a zone. */
  public boolean hasLiveAttemptIn(int zone) {
    return liveAttemptsByZone[zone] > 0;
  }

  /** Number of tasks that are known to be running. */
  public int runningCount() {
    return runningCount;
  }

  /** Submission time on the monotonic clock. */
  public long submittedMs() {
    return submittedMs;
  }

  /** Time at which a task was last placed on a machine; the submission time before that. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** Highest attempt number among all tasks. */
  public int maxAttemptNumber() {
    int max = 0;
    for (int number : highestAttemptNumbers) {
      max = Math.max(max, number);
    }
    return max;
  }

  /** Time at which the last task completed, once all have. */
  public long allDoneMs() {
    return allDoneMs;
  }

  /** True when all tasks have completed. */
  public boolean areAllTasksDone() {
    return doneTasks.cardinality() == spec.tasks();
  }

  /** True while the job's dependencies are not met. */
  public boolean isHeld() {
    return held;
  }

  /** Time since which the job has been eligible to start: its submission or its later release. */
  public long eligibleSinceMs() {
    return Math.max(submittedMs, releasedMs);
  }

  /** True while the job has pending tasks and is eligible to start them. */
  public boolean hasStartableTasks() {
    return !held && !cancelled && !ended && !pendingTasks.isEmpty();
  }

  /** True once the user's cancellation is known. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** True once the job's end is recorded in the state service. */
  public boolean isEnded() {
    return ended;
  }

  /** True when the job has ended or was cancelled, and no attempt of it is live. */
  public boolean isFinished() {
    return (cancelled || ended) && liveAttemptCount == 0;
  }
}
