package org.mallowroad.controller;

import org.mallowroad.config.Settings;
import org.mallowroad.controller.persistence.LeaderWriteRateAdjuster;
import org.mallowroad.net.RateLimiter;

/**
 * The leader's share of the state service's writes, for one term.
 *
 * @param limiter spends the share; all writes of the leader go by it
 * @param share adapts the rate of {@code limiter} to what users' requests leave
 * @param maxTransactionWrites writes of the largest transaction
 */
record WriteBudget(RateLimiter limiter, LeaderWriteRateAdjuster share, int maxTransactionWrites) {
  /** The share of the writes per second that the leader begins with. */
  private static final double INITIAL_SHARE = 0.75;

  /** What the leader may write at once, as a share of the writes per second. */
  private static final double BURST_SHARE = 0.7;

  /** The largest transaction, as a share of the writes per second. */
  private static final double MAX_TRANSACTION_SHARE = 0.8;

  private static final int MIN_TRANSACTION_WRITES = 4;

  /** The budget at the beginning of a term. */
  static WriteBudget begin(Settings settings, long now) {
    double writeRps = settings.stateWriteRps();
    // A transaction larger than the bucket would wait for ever, so the one bounds the other.
    int maxTransactionWrites =
        (int)
            Math.max(
                MIN_TRANSACTION_WRITES,
                Math.min(settings.txnOps(), writeRps * MAX_TRANSACTION_SHARE));
    RateLimiter limiter =
        new RateLimiter(
            writeRps * INITIAL_SHARE, Math.max(maxTransactionWrites, writeRps * BURST_SHARE), now);
    return new WriteBudget(
        limiter, new LeaderWriteRateAdjuster(writeRps, limiter, now), maxTransactionWrites);
  }
}
