package org.mallowroad.core.explain;

import org.mallowroad.core.Job;

/**
 * Why tasks of one job are pending or do not run yet.
 *
 * @param cause the obstacle
 * @param sinceMs time in ms since which the obstacle has existed, on the event loop's clock
 * @param expectedEndMs latest or expected time in ms at which the obstacle ends, on the same clock;
 *     -1 when that is unknown
 * @param zone index of the zone that is the cause, or -1
 * @param detail the evidence as text, with names and numbers
 */
public record PendingReason(
    PendingCause cause, long sinceMs, long expectedEndMs, int zone, String detail) {

  /** Creates a reason that has existed since the job became pending, without zone or end time. */
  static PendingReason of(Job job, PendingCause cause, String detail) {
    return new PendingReason(cause, job.waitingSinceMs(), -1, -1, detail);
  }
}
