package org.mallowroad.core.gang;

import java.util.Collection;
import org.mallowroad.core.Machine;

/**
 * Estimates how often the cloud interrupts a spot machine: the number of interruption notices in
 * this leader term divided by the spot machine hours. The tasks of a gang run only together, so the
 * loss of one machine restarts all of them.
 */
final class SpotInterruptionRate {
  /** The prior of the estimate: one interruption in this many machine hours. */
  private static final double PRIOR_HOURS = 1;

  /** Shortest time between two observations. */
  private static final long MIN_INTERVAL_MS = 1_000;

  /** Upper bound of {@link #expectedRuns}, since the estimated rate is rough. */
  private static final double MAX_RUNS = 20;

  private double machineHours;
  private long interruptions;
  private long lastObservedMs = Long.MIN_VALUE;

  /** Adds the machine hours and the interruption notices since the last observation. */
  void observe(Collection<Machine> machines, long now) {
    if (lastObservedMs != Long.MIN_VALUE && now - lastObservedMs < MIN_INTERVAL_MS) {
      return;
    }
    double elapsedHours =
        lastObservedMs == Long.MIN_VALUE ? 0 : (now - lastObservedMs) / 3_600_000.0;
    for (Machine machine : machines) {
      if (machine.spot && !machine.failed) {
        machineHours += elapsedHours;
        // A notice is counted only once, by the first observation after it arrived.
        interruptions +=
            machine.interruptionNoticeMs > lastObservedMs && machine.interruptionNoticeMs <= now
                ? 1
                : 0;
      }
    }
    lastObservedMs = now;
  }

  /** Estimated interruptions of one machine per hour. */
  double perHour() {
    return (interruptions + 1) / (machineHours + PRIOR_HOURS);
  }

  /**
   * Expected number of times that a gang on this many spot machines is started until one run
   * completes.
   *
   * @param runS the duration of an uninterrupted run, in seconds
   */
  double expectedRuns(int machines, double runS) {
    return Math.min(MAX_RUNS, Math.exp(machines * perHour() * runS / 3_600));
  }
}
