package org.mallowroad.core;

/**
 * The timeouts that a term applies to its workers.
 *
 * @param term the first fencing token of the term, which identifies it
 * @param heartbeatOverdueMs a worker whose latest heartbeat is older gets no new work
 * @param leaseMs time on the leader's clock without a leader's response after which a worker's
 *     lease has certainly expired
 */
record TermTiming(long term, long heartbeatOverdueMs, long leaseMs) {
  /** A heartbeat is overdue after 1.25 intervals plus {@link #OVERDUE_MARGIN_MS}. */
  private static final double OVERDUE_MS_PER_HEARTBEAT_S = 1250;

  private static final long OVERDUE_MARGIN_MS = 1_500;

  /** The clocks of two machines drift apart by up to 0.05%; twice that is allowed for. */
  private static final double CLOCK_DRIFT_FACTOR = 1.001;

  /** Margin for timers that fire late. */
  private static final long TIMER_MARGIN_MS = 500;

  /** Derives the timeouts from the platform's settings, which are in seconds. */
  static TermTiming of(long term, double leaseS, double heartbeatIntervalS) {
    return new TermTiming(
        term,
        (long) (heartbeatIntervalS * OVERDUE_MS_PER_HEARTBEAT_S) + OVERDUE_MARGIN_MS,
        (long) (leaseS * 1000 * CLOCK_DRIFT_FACTOR) + TIMER_MARGIN_MS);
  }
}
