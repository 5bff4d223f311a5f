package org.mallowroad.controller.persistence;

import org.mallowroad.net.RateLimiter;

/**
 * The leader's part of the state service's writes. Users' submissions and cancellations come first:
 * one that is refused comes back a second later at the earliest, and what the leader writes can
 * wait for a moment. So the leader keeps to what those of the last seconds leave, at least half and
 * at most three quarters, and loses no more than that to a burst it could not see coming.
 */
public final class WriteRateLimiter {
  private static final double MOST = 0.75;
  private static final double LEAST = 0.5;

  /** What is left free of the whole: two parties count by clocks of their own. */
  private static final double FREE = 0.08;

  /** Part of the newest second in the average. */
  private static final double NEWEST = 0.3;

  private static final long EVERY_MS = 1_000;

  /** Writes of a submission, and of a cancellation: the end record and the open record. */
  private static final int ACCEPT_WRITES = 1;

  private static final int CANCEL_WRITES = 2;

  private final double rps;
  private final RateLimiter writes;
  private int others;
  private double perSecond;
  private long sinceMs;

  /**
   * The leader's share of the service's writes.
   *
   * @param rps writes a second that the service takes
   * @param writes the leader's bucket, whose rate is set
   */
  public WriteRateLimiter(double rps, RateLimiter writes, long now) {
    this.rps = rps;
    this.writes = writes;
    this.sinceMs = now;
  }

  /** A job was accepted by some node. */
  public void accepted() {
    others += ACCEPT_WRITES;
  }

  /** A job was cancelled by some node. */
  public void cancelled() {
    others += CANCEL_WRITES;
  }

  /** Call often. */
  public void turn(long now) {
    long ms = now - sinceMs;
    if (ms < EVERY_MS) {
      return;
    }
    perSecond += NEWEST * (others * 1000.0 / ms - perSecond);
    others = 0;
    sinceMs = now;
    double left = rps * (1 - FREE) - perSecond;
    writes.setRate(Math.max(rps * LEAST, Math.min(rps * MOST, left)), now);
  }
}
