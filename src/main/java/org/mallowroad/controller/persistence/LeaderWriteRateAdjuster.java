package org.mallowroad.controller.persistence;

import org.mallowroad.net.RateLimiter;

/**
 * Sets the leader's share of the state service's write rate. Users' submissions and cancellations
 * come first: one that is refused comes back a second later at the earliest, and what the leader
 * writes can wait for a moment. So the leader keeps to what those of the last seconds leave, at
 * least half and at most three quarters, and loses no more than that to a burst it could not
 * foresee.
 *
 * <p>Confined to the event loop.
 */
public final class LeaderWriteRateAdjuster {
  private static final double MAX_SHARE = 0.75;
  private static final double MIN_SHARE = 0.5;

  /** Part of the rate that is left free: the service and this node count by their own clocks. */
  private static final double MARGIN = 0.08;

  /** Weight of the newest second in the average. */
  private static final double GAIN = 0.3;

  private static final long UPDATE_INTERVAL_MS = 1_000;
  private static final double MS_PER_SECOND = 1000;

  /** Writes of a submission: the open record. */
  private static final int SUBMISSION_WRITES = 1;

  /** Writes of a cancellation: the end record and the open record. */
  private static final int CANCELLATION_WRITES = 2;

  private final double writesPerSecond;
  private final RateLimiter leaderWrites;
  private int userWrites;
  private double userWritesPerSecond;
  private long updatedMs;

  /**
   * Prepares the sharing.
   *
   * @param writesPerSecond writes that the service takes
   * @param leaderWrites the leader's limiter, whose rate is set
   */
  public LeaderWriteRateAdjuster(double writesPerSecond, RateLimiter leaderWrites, long now) {
    this.writesPerSecond = writesPerSecond;
    this.leaderWrites = leaderWrites;
    this.updatedMs = now;
  }

  /** A job was accepted by any node. */
  public void jobAccepted() {
    userWrites += SUBMISSION_WRITES;
  }

  /** A job was cancelled by any node. */
  public void jobCancelled() {
    userWrites += CANCELLATION_WRITES;
  }

  /** Sets the leader's rate once a second; to be called more often than that. */
  public void update(long now) {
    long ms = now - updatedMs;
    if (ms < UPDATE_INTERVAL_MS) {
      return;
    }
    userWritesPerSecond += GAIN * (userWrites * MS_PER_SECOND / ms - userWritesPerSecond);
    userWrites = 0;
    updatedMs = now;
    double left = writesPerSecond * (1 - MARGIN) - userWritesPerSecond;
    leaderWrites.setRate(
        Math.max(writesPerSecond * MIN_SHARE, Math.min(writesPerSecond * MAX_SHARE, left)), now);
  }
}
