package org.mallowroad.core.autoscaling;

/**
 * The design's open settings.
 *
 * @param bookedLimit a machine is saturated at this booked share of its scarcest resource
 * @param waitingLimit or at this many waiting tasks
 * @param bookedSpare rent when the averaged booked spare falls below this
 * @param waitingSpare or the averaged waiting spare below this
 * @param cycleMs time between two decisions
 * @param step most machines rented of one type in a cycle
 * @param idleMs how long a machine is empty before it may go back
 */
public record AutoscalerPolicy(
    double bookedLimit,
    double waitingLimit,
    double bookedSpare,
    double waitingSpare,
    long cycleMs,
    int step,
    long idleMs) {

  /** Starting values; see docs/design.md for what changed against the document. */
  public static AutoscalerPolicy defaults() {
    return new AutoscalerPolicy(0.80, 5, 0.10, 3, 2_000, 400, 30_000);
  }
}
