package org.mallowroad.core.autoscaling;

/**
 * The autoscaler's thresholds and intervals, which operators may set.
 *
 * @param bookedLimit a machine is saturated when this share of its scarcest resource is booked
 * @param waitingLimit all machines are saturated when this many tasks wait per machine
 * @param bookedSpare scale out when the average of {@code bookedLimit} less the booked share, over
 *     the unsaturated machines, falls below this
 * @param waitingSpare scale out when {@code waitingLimit} less the waiting tasks per machine falls
 *     below this
 * @param cycleMs time between two scaling cycles in milliseconds
 * @param maxScaleOutPerType most machines of one type that are requested in a cycle
 * @param idleMs how long a machine must be empty before it may be returned, in milliseconds
 */
public record AutoscalerPolicy(
    double bookedLimit,
    double waitingLimit,
    double bookedSpare,
    double waitingSpare,
    long cycleMs,
    int maxScaleOutPerType,
    long idleMs) {

  /** The defaults; docs/design.md lists where they differ from the original design. */
  public static AutoscalerPolicy defaults() {
    return new AutoscalerPolicy(0.80, 5, 0.10, 3, 2_000, 400, 30_000);
  }
}
