package org.mallowroad.controller.persistence;

import org.mallowroad.net.RateLimiter;

/**
 * Adjusts the leader's share of the state service's write rate. Users' submissions and
 * cancellations take precedence: a refused one is retried after a second at the earliest, whereas
 * the leader's writes can wait briefly. The leader therefore uses the rate that user writes of the
 * last seconds leave, but at least half and at most three quarters of the total. The upper bound
 * leaves room for an unexpected burst of user writes.
 *
 * <p>Confined to the event loop.
 */
public final class LeaderWriteRateAdjuster {
  private static final double MAX_SHARE = 0.75;
  private static final double MIN_SHARE = 0.5;

  /**
   * Share of the rate that remains unused, because the service and this node measure rates by
   * different clocks.
   */
  private static final double UNUSED_SHARE = 0.08;

  /** Weight of the latest measurement in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.3;

  private static final long UPDATE_INTERVAL_MS = 1_000;
  private static final double MS_PER_SECOND = 1000;

  /** Number of writes of a submission: the open record. */
  private static final int SUBMISSION_WRITES = 1;

  /** Number of writes of a cancellation: the end record and the open record. */
  private static final int CANCELLATION_WRITES = 2;

  private final double writesPerSecond;
  private final RateLimiter leaderRateLimiter;
  private int userWrites;
  private double userWritesPerSecond;
  private long updatedMs;

  /**
   * Creates an adjuster for the leader's rate limiter.
   *
   * @param writesPerSecond the write rate limit of the service
   * @param leaderRateLimiter the rate limiter of the leader's writes, which this class adjusts
   */
  public LeaderWriteRateAdjuster(double writesPerSecond, RateLimiter leaderRateLimiter, long now) {
    this.writesPerSecond = writesPerSecond;
    this.leaderRateLimiter = leaderRateLimiter;
    this.updatedMs = now;
  }

  /** Counts the writes of a job that any node accepted. */
  public void jobAccepted() {
    userWrites += SUBMISSION_WRITES;
  }

  /** Counts the writes of a job that any node cancelled. */
  public void jobCancelled() {
    userWrites += CANCELLATION_WRITES;
  }

  /**
   * Updates the leader's rate if at least one second has passed since the last update. Must be
   * called more often than once a second.
   */
  public void update(long now) {
    long elapsedMs = now - updatedMs;
    if (elapsedMs < UPDATE_INTERVAL_MS) {
      return;
    }
    userWritesPerSecond +=
        SMOOTHING_FACTOR * (userWrites * MS_PER_SECOND / elapsedMs - userWritesPerSecond);
    userWrites = 0;
    updatedMs = now;
    double remainingWritesPerSecond = writesPerSecond * (1 - UNUSED_SHARE) - userWritesPerSecond;
    leaderRateLimiter.setRate(
        Math.max(
            writesPerSecond * MIN_SHARE,
            Math.min(writesPerSecond * MAX_SHARE, remainingWritesPerSecond)),
        now);
  }
}
