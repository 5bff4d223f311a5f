package org.mallowroad.core.explain;

import org.mallowroad.core.Job;

/**
 * Why tasks of one job wait.
 *
 * @param cause the obstacle
 * @param sinceMs since when it stands in the way, on the event loop's clock
 * @param expectedEndMs when it ends at the latest, or is expected to; -1 when that is unknown
 * @param zone index of the zone that is the cause, or -1
 * @param detail the evidence in words, with names and figures
 */
public record PendingReason(
    PendingCause cause, long sinceMs, long expectedEndMs, int zone, String detail) {

  /** A reason that has held since the job began to wait, without a zone or an expected end. */
  static PendingReason of(Job job, PendingCause cause, String detail) {
    return new PendingReason(cause, job.waitingSinceMs(), -1, -1, detail);
  }
}
