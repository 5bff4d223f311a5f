package org.mallowroad.core;

/**
 * The time-outs by which one term judges its workers.
 *
 * @param term the first fencing token of the term, which names it
 * @param heartbeatOverdueMs a worker whose newest heartbeat is older gets no new work
 * @param leaseMs after this time without an answer from the leader a worker's lease has expired for
 *     certain, by the leader's clock
 */
record TermTiming(long term, long heartbeatOverdueMs, long leaseMs) {
  /** A heartbeat is overdue after one and a quarter of its interval, and the margin. */
  private static final double OVERDUE_MS_PER_INTERVAL_S = 1250;

  private static final long OVERDUE_MARGIN_MS = 1_500;

  /** Clocks of two machines drift apart by up to 0.05%; twice that is allowed for. */
  private static final double LEASE_DRIFT = 1.001;

  /** Covers timers that fire late. */
  private static final long LEASE_MARGIN_MS = 500;

  /** The time-outs that follow from the platform's settings, which are in seconds. */
  static TermTiming of(long term, double leaseS, double heartbeatIntervalS) {
    return new TermTiming(
        term,
        (long) (heartbeatIntervalS * OVERDUE_MS_PER_INTERVAL_S) + OVERDUE_MARGIN_MS,
        (long) (leaseS * 1000 * LEASE_DRIFT) + LEASE_MARGIN_MS);
  }
}
