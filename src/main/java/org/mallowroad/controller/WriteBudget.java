package org.mallowroad.controller;

import org.mallowroad.config.Settings;
import org.mallowroad.controller.persistence.LeaderWriteRateAdjuster;
import org.mallowroad.net.RateLimiter;

/**
 * The leader's share of the state service's write rate during one term.
 *
 * @param limiter enforces the share; all writes of the leader acquire permits from it
 * @param rateAdjuster adjusts the rate of {@code limiter} to the writes that user requests leave
 * @param maxTransactionWrites maximum number of writes in one transaction
 */
record WriteBudget(
    RateLimiter limiter, LeaderWriteRateAdjuster rateAdjuster, int maxTransactionWrites) {
  /** Initial share of the write rate per second. */
  private static final double INITIAL_SHARE = 0.75;

  /** Burst of the leader's writes, as a share of the write rate per second. */
  private static final double BURST_SHARE = 0.7;

  /** Maximum number of writes in one transaction, as a share of the write rate per second. */
  private static final double MAX_TRANSACTION_SHARE = 0.8;

  private static final int MIN_TRANSACTION_WRITES = 4;

  /** Creates the budget at the beginning of a term. */
  static WriteBudget create(Settings settings, long now) {
    double writeRps = settings.stateWriteRps();
    // A transaction with more writes than the limiter's burst would wait forever, so the burst is
    // at least as large as the largest transaction.
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
