package org.mallowroad.core.gang;

import java.util.Collection;
import org.mallowroad.core.Machine;

/**
 * How often the cloud takes spot machines, by what was seen in this term: notices against the hours
 * that such machines were there. A gang's tasks run only together, so the loss of one repeats all.
 */
final class SpotInterruptionRate {
  /** Before anything is seen: one loss in so many hours of a machine. */
  private static final double PRIOR_HOURS = 1;

  /** Machines are counted no more often than this. */
  private static final long EVERY_MS = 1_000;

  /** No estimate of repeats goes beyond this: it is a guess, and capacity has its say. */
  private static final double MOST = 20;

  private double hours;
  private long taken;
  private long lastMs = Long.MIN_VALUE;

  /** Counts what is there now, and the notices that came since the last time. */
  void watch(Collection<Machine> machines, long now) {
    if (lastMs != Long.MIN_VALUE && now - lastMs < EVERY_MS) {
      return;
    }
    double h = lastMs == Long.MIN_VALUE ? 0 : (now - lastMs) / 3_600_000.0;
    for (Machine m : machines) {
      if (m.spot && !m.failed) {
        hours += h;
        // A notice counts once: in the turn in which it is first seen.
        taken += m.interruptionNoticeMs > lastMs && m.interruptionNoticeMs <= now ? 1 : 0;
      }
    }
    lastMs = now;
  }

  /** Losses of one machine in an hour. */
  double perHour() {
    return (taken + 1) / (hours + PRIOR_HOURS);
  }

  /** How often a run on so many spot machines is begun, on average, until one is whole. */
  double repeats(int machines, double runS) {
    return Math.min(MOST, Math.exp(machines * perHour() * runS / 3_600));
  }
}
