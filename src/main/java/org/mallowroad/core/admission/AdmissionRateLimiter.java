package org.mallowroad.core.admission;

/**
 * Rate limit of one node on new jobs while the leader's commits lag: a multiplicative decrease
 * while they do, and an increase once they do not. Without an overload every job is admitted.
 *
 * <p>Each accepted job causes several writes later, and the rate limit of the state service is
 * shared by all nodes. Beyond it each further job delays all others. So new jobs are refused at
 * once, with the time after which to retry, while accepted jobs are still answered, committed and
 * run.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class AdmissionRateLimiter {
  /** Least time between two decreases, since the effect of one takes as long to show. */
  static final long DECREASE_INTERVAL_MS = 3_000;

  /** The rate increases again after this time without an overload. */
  static final long INCREASE_DELAY_MS = 3_000;

  /** Factor of a decrease. */
  private static final double DECREASE_FACTOR = 0.7;

  /** Least increase of the rate, in jobs a second, each second. */
  private static final double MIN_INCREASE_PER_S = 0.1;

  /** Increase of the rate each second as a share of itself, where that is more. */
  private static final double INCREASE_SHARE = 0.25;

  /** Least rate, in jobs a second. */
  private static final double MIN_PER_S = 0.1;

  /** The limit ends at this many times the offered rate. */
  private static final double UNLIMITED_FACTOR = 2;

  /** Weight of the newest second in the moving average of the offered rate. */
  private static final double NEWEST_SECOND_WEIGHT = 0.3;

  private static final long SECOND_MS = 1_000;

  /**
   * Seconds with refusals by the state service, less those without, that are an overload: a burst
   * has a few of them.
   */
  static final int LASTING_REFUSAL_SECONDS = 8;

  private int refusedSeconds;
  private boolean limited;

  /** The rate while limited, in jobs a second. */
  private double perSecond;

  /** Jobs that may be accepted at once while limited. */
  private double tokens;

  private double offeredPerSecond;
  private int offeredThisSecond;
  private long secondMs;
  private long tokensMs;
  private long overloadedMs = Long.MIN_VALUE / 2;
  private long decreasedMs = Long.MIN_VALUE / 2;
  private long refused;

  /** Creates the limit of a node; no job is limited at first. */
  public AdmissionRateLimiter(long now) {
    this.secondMs = now;
    this.tokensMs = now;
  }

  /** Counts an offered job that is not known yet; true when it may be accepted now. */
  public boolean tryAdmit(long now) {
    update(now);
    offeredThisSecond++;
    if (!limited) {
      return true;
    }
    if (tokens < 1) {
      refused++;
      return false;
    }
    tokens--;
    return true;
  }

  /** Records that the leader's commits lag, which lowers the rate. */
  public void recordOverload(long now) {
    update(now);
    overloadedMs = now;
    if (now - decreasedMs < DECREASE_INTERVAL_MS) {
      return;
    }
    decreasedMs = now;
    perSecond = DECREASE_FACTOR * (limited ? perSecond : offeredPerSecond);
    perSecond = Math.max(MIN_PER_S, perSecond);
    limited = true;
  }

  /**
   * Records whether the state service refused calls; called once a second.
   *
   * @param refused true when it refused a call for its rate limits in that second
   */
  public void recordStateServiceRefusals(boolean refused, long now) {
    refusedSeconds = refused ? refusedSeconds + 1 : Math.max(0, refusedSeconds - 1);
    if (refusedSeconds >= LASTING_REFUSAL_SECONDS) {
      refusedSeconds = LASTING_REFUSAL_SECONDS;
      recordOverload(now);
    }
  }

  /** Refills the tokens and, each second, updates the offered rate and the limit. */
  private void update(long now) {
    if (limited) {
      // One second's worth and one more, so that jobs that come together are admitted together.
      tokens = Math.min(perSecond + 1, tokens + perSecond * (now - tokensMs) / SECOND_MS);
    }
    tokensMs = now;
    while (now - secondMs >= SECOND_MS) {
      secondMs += SECOND_MS;
      offeredPerSecond += NEWEST_SECOND_WEIGHT * (offeredThisSecond - offeredPerSecond);
      offeredThisSecond = 0;
      if (limited && secondMs - overloadedMs > INCREASE_DELAY_MS) {
        perSecond += Math.max(MIN_INCREASE_PER_S, INCREASE_SHARE * perSecond);
        limited = perSecond < UNLIMITED_FACTOR * offeredPerSecond + MIN_PER_S;
      }
    }
  }

  /** True while new jobs are limited. */
  public boolean isLimited() {
    return limited;
  }

  /** Number of jobs refused so far. */
  public long refusedCount() {
    return refused;
  }
}
