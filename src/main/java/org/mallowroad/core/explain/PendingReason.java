package org.mallowroad.core.explain;

/**
 * Why tasks of one job wait.
 *
 * @param reason the obstacle
 * @param sinceMs since when it stands in the way, on the loop's clock
 * @param dueMs when it ends at the latest, or is expected to; -1 when nobody knows
 * @param zone index of the zone that is the cause, or -1
 * @param detail the evidence in words, with names and figures
 */
public record PendingReason(
    PendingCause reason, long sinceMs, long dueMs, int zone, String detail) {}
