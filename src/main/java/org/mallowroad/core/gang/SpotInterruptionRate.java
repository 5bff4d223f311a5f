package org.mallowroad.core.gang;

import java.util.Collection;
import org.mallowroad.core.Machine;

/**
 * Estimates how often the cloud interrupts a spot machine: interruption notices in this term over
 * machine hours. The tasks of a gang run only together, so the loss of one machine restarts all.
 */
final class SpotInterruptionRate {
  /** The prior: one interruption in this many machine hours, before anything is observed. */
  private static final double PRIOR_HOURS = 1;

  /** The shortest time between two observations. */
  private static final long MIN_INTERVAL_MS = 1_000;

  /** Upper bound of {@link #expectedRuns}, since the rate is a rough estimate. */
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
        // A notice counts once, in the observation that first sees it.
        interruptions +=
            machine.interruptionNoticeMs > lastObservedMs && machine.interruptionNoticeMs <= now
                ? 1
                : 0;
      }
    }
    lastObservedMs = now;
  }

  /** Interruptions of one machine an hour. */
  double perHour() {
    return (interruptions + 1) / (machineHours + PRIOR_HOURS);
  }

  /** How many times a run on this many spot machines starts, on average, until one completes. */
  double expectedRuns(int machines, double runS) {
    return Math.min(MAX_RUNS, Math.exp(machines * perHour() * runS / 3_600));
  }
}
