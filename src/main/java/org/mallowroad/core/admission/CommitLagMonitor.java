package org.mallowroad.core.admission;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.SchedulerState;

/**
 * Measures how far a leader's commits to the state service lag: the longest time for which the
 * start of an attempt or the end of a job has waited to be committed. Idle-priority jobs wait by
 * design and do not count.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class CommitLagMonitor {
  /** Starts wait for a few seconds in any burst, and longer after a failover. */
  static final long MAX_START_WAIT_MS = 12_000;

  /** Ends are reported within 3 s; one that is much later is of no use to the user. */
  static final long MAX_END_WAIT_MS = 8_000;

  /** A lag must last this long to be an overload. */
  static final long MIN_LAG_MS = 3_000;

  /**
   * Share of all live attempts that must wait for their commits to be an overload. Uncommitted
   * starts use up their teams' quotas, so that commits and not machines are what jobs wait for.
   */
  static final double COMMITTING_SHARE = 0.25;

  /** Least number of attempts that must wait for their commits. */
  static final int MIN_COMMITTING = 20;

  /** How long {@link #COMMITTING_SHARE} must last. */
  static final long MIN_COMMITTING_MS = 10_000;

  private static final long NEVER = -1;

  private long laggingSinceMs = NEVER;
  private long committingSinceMs = NEVER;
  private long servedSinceMs = NEVER;
  private boolean overloaded;

  /**
   * Measures the lag; called about once a second.
   *
   * @param served whether the state service serves this leader; waits count from the end of an
   *     outage at the earliest
   */
  public void measure(SchedulerState schedulerState, boolean served, long now) {
    if (!served || servedSinceMs == NEVER) {
      servedSinceMs = now;
      committingSinceMs = NEVER;
    }
    long servedForMs = now - servedSinceMs;
    boolean lags =
        Math.min(servedForMs, longestStartWaitMs(schedulerState, now)) > MAX_START_WAIT_MS
            || Math.min(servedForMs, longestEndWaitMs(schedulerState, now)) > MAX_END_WAIT_MS;
    laggingSinceMs = since(lags, laggingSinceMs, now);
    boolean committing = areManyCommitting(schedulerState);
    committingSinceMs = since(committing, committingSinceMs, now);
    overloaded =
        (lags && now - laggingSinceMs >= MIN_LAG_MS)
            || (committing && now - committingSinceMs >= MIN_COMMITTING_MS);
  }

  private static long since(boolean condition, long sinceMs, long now) {
    if (!condition) {
      return NEVER;
    }
    return sinceMs == NEVER ? now : sinceMs;
  }

  /** True while there is more to commit than the state service accepts. */
  public boolean isOverloaded() {
    return overloaded;
  }

  private static boolean areManyCommitting(SchedulerState schedulerState) {
    int committing = 0;
    for (AttemptRecord record : schedulerState.urgentRecords()) {
      committing += record.job.spec.priority() < JobSpec.IDLE ? record.uncommittedStarts() : 0;
    }
    if (committing < MIN_COMMITTING) {
      return false;
    }
    int live = 0;
    for (Job job : schedulerState.jobs()) {
      live += job.liveAttemptCount();
    }
    return committing > COMMITTING_SHARE * live;
  }

  /** How long the oldest uncommitted start has waited, in ms. */
  static long longestStartWaitMs(SchedulerState schedulerState, long now) {
    for (AttemptRecord record : schedulerState.urgentRecords()) {
      if (record.job.spec.priority() >= JobSpec.IDLE) {
        continue;
      }
      // The records are in the order in which their first starts were placed.
      long oldest = now;
      for (int task = record.firstTask(); task < record.endTask(); task++) {
        Attempt attempt = record.job.liveAttempt(task);
        if (attempt != null && attempt.phase == Attempt.Phase.RECORDING) {
          oldest = Math.min(oldest, attempt.createdMs);
        }
      }
      return now - oldest;
    }
    return 0;
  }

  /** How long the oldest uncommitted end of a job has waited, in ms. */
  static long longestEndWaitMs(SchedulerState schedulerState, long now) {
    long longest = 0;
    for (Job job : schedulerState.jobsToComplete()) {
      if (job.spec.priority() < JobSpec.IDLE) {
        longest = Math.max(longest, now - job.allDoneMs());
      }
    }
    return longest;
  }
}
