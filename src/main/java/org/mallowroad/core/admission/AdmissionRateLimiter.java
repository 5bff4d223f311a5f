package org.mallowroad.core.admission;

/**
 * Limits the rate at which one node accepts new jobs while the leader's commits lag. The rate is
 * decreased by a factor while they lag, and increased again once they do not. Without an overload
 * every job is admitted.
 *
 * <p>Each accepted job causes several writes later, and all nodes share the rate limit of the state
 * service. Beyond that limit each further job delays all others. So new jobs are refused
 * immediately, with the time after which to retry, while jobs that were accepted are still
 * answered, committed and run.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class AdmissionRateLimiter {
  /** Shortest time between two decreases: a decrease takes this long to have an effect. */
  static final long DECREASE_INTERVAL_MS = 3_000;

  /** The rate is increased again after this time without an overload. */
  static final long INCREASE_DELAY_MS = 3_000;

  /** The rate is multiplied by this factor in each decrease. */
  private static final double DECREASE_FACTOR = 0.7;

  /** Smallest increase of the rate per second, in jobs/s. */
  private static final double MIN_INCREASE_PER_S = 0.1;

  /** Increase per second as a share of the rate, where that exceeds the smallest increase. */
  private static final double INCREASE_SHARE = 0.25;

  /** Lowest rate, in jobs/s. */
  private static final double MIN_RATE_PER_S = 0.1;

  /** The limit is removed when the rate reaches about this multiple of the offered rate. */
  private static final double UNLIMITED_FACTOR = 2;

  /** Weight of the newest second in the exponential moving average of the offered rate. */
  private static final double OFFERED_RATE_SMOOTHING = 0.3;

  private static final long SECOND_MS = 1_000;

  /**
   * The state service is overloaded when the seconds in which it refused calls exceed those in
   * which it did not by this number. A burst causes only a few such seconds.
   */
  static final int LASTING_REFUSAL_SECONDS = 8;

  private int refusalSeconds;
  private boolean limited;

  /** The highest rate of accepted jobs while limited, in jobs/s. */
  private double limitPerSecond;

  /** Tokens of the token bucket: jobs that may be accepted now while limited. */
  private double tokens;

  private double offeredPerSecond;
  private int offeredThisSecond;
  private long currentSecondMs;
  private long tokensUpdatedMs;
  private long lastOverloadMs = Long.MIN_VALUE / 2;
  private long lastDecreaseMs = Long.MIN_VALUE / 2;
  private long refusedJobs;

  /** Creates a rate limiter that admits every job until an overload is recorded. */
  public AdmissionRateLimiter(long now) {
    this.currentSecondMs = now;
    this.tokensUpdatedMs = now;
  }

  /** Counts a new job that was offered to this node; true when it may be accepted now. */
  public boolean tryAdmit(long now) {
    update(now);
    offeredThisSecond++;
    if (!limited) {
      return true;
    }
    if (tokens < 1) {
      refusedJobs++;
      return false;
    }
    tokens--;
    return true;
  }

  /** Records that the leader's commits lag, and decreases the rate. */
  public void recordOverload(long now) {
    update(now);
    lastOverloadMs = now;
    if (now - lastDecreaseMs < DECREASE_INTERVAL_MS) {
      return;
    }
    lastDecreaseMs = now;
    limitPerSecond = DECREASE_FACTOR * (limited ? limitPerSecond : offeredPerSecond);
    limitPerSecond = Math.max(MIN_RATE_PER_S, limitPerSecond);
    limited = true;
  }

  /**
   * Records whether the state service refused calls in the last second; called once a second.
   *
   * @param hadRefusals true when it refused at least one call because of its rate limits
   */
  public void recordStateServiceRefusals(boolean hadRefusals, long now) {
    refusalSeconds = hadRefusals ? refusalSeconds + 1 : Math.max(0, refusalSeconds - 1);
    if (refusalSeconds >= LASTING_REFUSAL_SECONDS) {
      refusalSeconds = LASTING_REFUSAL_SECONDS;
      recordOverload(now);
    }
  }

  /** Refills the tokens and, once for each past second, updates the offered rate and the limit. */
  private void update(long now) {
    if (limited) {
      // The bucket holds the tokens of one second and one more, to admit jobs that arrive together.
      tokens =
          Math.min(
              limitPerSecond + 1, tokens + limitPerSecond * (now - tokensUpdatedMs) / SECOND_MS);
    }
    tokensUpdatedMs = now;
    while (now - currentSecondMs >= SECOND_MS) {
      currentSecondMs += SECOND_MS;
      offeredPerSecond += OFFERED_RATE_SMOOTHING * (offeredThisSecond - offeredPerSecond);
      offeredThisSecond = 0;
      if (limited && currentSecondMs - lastOverloadMs > INCREASE_DELAY_MS) {
        limitPerSecond += Math.max(MIN_INCREASE_PER_S, INCREASE_SHARE * limitPerSecond);
        limited = limitPerSecond < UNLIMITED_FACTOR * offeredPerSecond + MIN_RATE_PER_S;
      }
    }
  }

  /** True while the rate of new jobs is limited. */
  public boolean isLimited() {
    return limited;
  }

  /** Number of new jobs refused so far. */
  public long refusedCount() {
    return refusedJobs;
  }
}
