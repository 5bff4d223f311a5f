package org.mallowroad.core.admission;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.SchedulerState;

/**
 * Measures the lag of a leader's commits to the state service, which is the longest time that a
 * start of an attempt or an end of a job has waited to be committed, and detects overload by it.
 * Jobs of idle priority are ignored, since their commits are delayed by design.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class CommitLagMonitor {
  /** Starts wait for a few seconds in any burst, and longer than that after a failover. */
  static final long MAX_START_WAIT_MS = 12_000;

  /** The end of a job should be reported within 3 s; a much later report is useless to its user. */
  static final long MAX_END_WAIT_MS = 8_000;

  /** Waits beyond the limits must last this long to count as an overload. */
  static final long MIN_LAG_MS = 3_000;

  /**
   * There is an overload when more than this share of all live attempts wait for their starts to be
   * committed. Uncommitted starts count towards their teams' quotas, so jobs then wait for commits
   * rather than for machines.
   */
  static final double COMMITTING_SHARE = 0.25;

  /** Fewer uncommitted starts than this are no overload, whatever their share is. */
  static final int MIN_COMMITTING = 20;

  /** How long {@link #COMMITTING_SHARE} must be exceeded to count as an overload. */
  static final long MIN_COMMITTING_MS = 10_000;

  private static final long NEVER = -1;

  private long laggingSinceMs = NEVER;
  private long committingSinceMs = NEVER;
  private long servedSinceMs = NEVER;
  private boolean overloaded;

  /**
   * Measures the lag; called about once a second.
   *
   * @param isServed whether the state service answers this leader; time during an outage does not
   *     count as waiting
   */
  public void measure(SchedulerState schedulerState, boolean isServed, long now) {
    if (!isServed || servedSinceMs == NEVER) {
      servedSinceMs = now;
      committingSinceMs = NEVER;
    }
    long servedForMs = now - servedSinceMs;
    boolean isLagging =
        Math.min(servedForMs, longestStartWaitMs(schedulerState, now)) > MAX_START_WAIT_MS
            || Math.min(servedForMs, longestEndWaitMs(schedulerState, now)) > MAX_END_WAIT_MS;
    laggingSinceMs = conditionSinceMs(isLagging, laggingSinceMs, now);
    boolean areManyCommitting = areManyCommitting(schedulerState);
    committingSinceMs = conditionSinceMs(areManyCommitting, committingSinceMs, now);
    overloaded =
        (isLagging && now - laggingSinceMs >= MIN_LAG_MS)
            || (areManyCommitting && now - committingSinceMs >= MIN_COMMITTING_MS);
  }

  private static long conditionSinceMs(boolean condition, long sinceMs, long now) {
    if (!condition) {
      return NEVER;
    }
    return sinceMs == NEVER ? now : sinceMs;
  }

  /** True while changes are made faster than the state service accepts their commits. */
  public boolean isOverloaded() {
    return overloaded;
  }

  private static boolean areManyCommitting(SchedulerState schedulerState) {
    int uncommittedStarts = 0;
    for (AttemptRecord record : schedulerState.urgentRecords()) {
      uncommittedStarts +=
          record.job.spec.priority() < JobSpec.IDLE ? record.uncommittedStarts() : 0;
    }
    if (uncommittedStarts < MIN_COMMITTING) {
      return false;
    }
    int liveAttempts = 0;
    for (Job job : schedulerState.jobs()) {
      liveAttempts += job.liveAttemptCount();
    }
    return uncommittedStarts > COMMITTING_SHARE * liveAttempts;
  }

  /** How long the oldest uncommitted start has waited, in milliseconds. */
  static long longestStartWaitMs(SchedulerState schedulerState, long now) {
    for (AttemptRecord record : schedulerState.urgentRecords()) {
      if (record.job.spec.priority() >= JobSpec.IDLE) {
        continue;
      }
      // Records are in the order of their first starts, so no later record has an older start.
      long oldestStartMs = now;
      for (int task = record.firstTask(); task < record.endTask(); task++) {
        Attempt attempt = record.job.liveAttempt(task);
        if (attempt != null && attempt.phase == Attempt.Phase.RECORDING) {
          oldestStartMs = Math.min(oldestStartMs, attempt.createdMs);
        }
      }
      return now - oldestStartMs;
    }
    return 0;
  }

  /** How long the oldest uncommitted end of a job has waited, in milliseconds. */
  static long longestEndWaitMs(SchedulerState schedulerState, long now) {
    long longestWaitMs = 0;
    for (Job job : schedulerState.jobsToComplete()) {
      if (job.spec.priority() < JobSpec.IDLE) {
        longestWaitMs = Math.max(longestWaitMs, now - job.allDoneMs());
      }
    }
    return longestWaitMs;
  }
}
