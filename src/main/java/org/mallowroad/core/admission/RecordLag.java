package org.mallowroad.core.admission;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.SchedulerState;

/**
 * How far a leader's records are behind: the longest that a start or an end that is not idle work's
 * has waited to be recorded. Idle work waits for its turn by design and says nothing.
 */
public final class RecordLag {
  /** Starts wait for records a few seconds in any burst, and for longer after a takeover. */
  static final long STARTS_MS = 12_000;

  /** An end is told within 3 s; a user has no use for one that is much later. */
  static final long ENDS_MS = 8_000;

  /** A lag counts once it has lasted for so long. */
  static final long LASTING_MS = 3_000;

  /**
   * Starts that are not on record take their teams' limits: where they are so large a part of all
   * attempts, for so long, records and not machines are what work waits for.
   */
  static final double RECORDING_SHARE = 0.25;

  static final int RECORDING_LEAST = 20;

  static final long RECORDING_MS = 10_000;

  private long sinceMs = -1;
  private long recordingSinceMs = -1;
  private long servedSinceMs = -1;
  private boolean overloaded;

  /**
   * Call about once a second.
   *
   * @param served whether the state service serves this leader: what waited in an outage waited for
   *     its end, and counts from then
   */
  public void look(SchedulerState schedulerState, boolean served, long now) {
    if (!served || servedSinceMs < 0) {
      servedSinceMs = now;
      recordingSinceMs = -1;
    }
    long waited = now - servedSinceMs;
    boolean lags =
        Math.min(waited, startsMs(schedulerState, now)) > STARTS_MS
            || Math.min(waited, endsMs(schedulerState, now)) > ENDS_MS;
    sinceMs = !lags ? -1 : sinceMs < 0 ? now : sinceMs;
    boolean recording = mostlyRecording(schedulerState);
    recordingSinceMs = !recording ? -1 : recordingSinceMs < 0 ? now : recordingSinceMs;
    overloaded =
        (lags && now - sinceMs >= LASTING_MS)
            || (recording && now - recordingSinceMs >= RECORDING_MS);
  }

  /** True while there is more to record than the state service takes. */
  public boolean overloaded() {
    return overloaded;
  }

  private static boolean mostlyRecording(SchedulerState schedulerState) {
    int recording = 0;
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      recording += c.job.spec.priority() < JobSpec.IDLE ? c.uncommittedStarts() : 0;
    }
    if (recording < RECORDING_LEAST) {
      return false;
    }
    int live = 0;
    for (Job j : schedulerState.jobs()) {
      live += j.liveAttemptCount();
    }
    return recording > RECORDING_SHARE * live;
  }

  /** How long the oldest start waits that is to be recorded. */
  static long startsMs(SchedulerState schedulerState, long now) {
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      if (c.job.spec.priority() >= JobSpec.IDLE) {
        continue;
      }
      // They stand in the order in which they were placed.
      long oldest = now;
      for (int t = c.firstTask(); t < c.endTask(); t++) {
        Attempt a = c.job.liveAttempt(t);
        if (a != null && a.phase == Attempt.Phase.RECORDING) {
          oldest = Math.min(oldest, a.createdMs);
        }
      }
      return now - oldest;
    }
    return 0;
  }

  /** How long the oldest end waits that is to be recorded. */
  static long endsMs(SchedulerState schedulerState, long now) {
    long longest = 0;
    for (Job j : schedulerState.jobsToComplete()) {
      if (j.spec.priority() < JobSpec.IDLE) {
        longest = Math.max(longest, now - j.allDoneMs());
      }
    }
    return longest;
  }
}
