package org.mallowroad.net;

/**
 * A token bucket that keeps calls below an external service's rate limit. Times are milliseconds of
 * the event loop's steady clock. Confined to the event loop.
 */
public final class RateLimiter {
  private static final double MS_PER_SECOND = 1000;

  private double permitsPerMs;
  private final double burst;

  /** Permits that are available; negative while in debt. */
  private double permits;

  private long refilledMs;

  /** A full bucket of {@code burst} permits. */
  public RateLimiter(double permitsPerSecond, double burst, long now) {
    this.permitsPerMs = permitsPerSecond / MS_PER_SECOND;
    this.burst = burst;
    this.permits = burst;
    this.refilledMs = now;
  }

  private void refill(long now) {
    permits = Math.min(burst, permits + (now - refilledMs) * permitsPerMs);
    refilledMs = now;
  }

  /** The refill rate in permits per second. */
  public double permitsPerSecond() {
    return permitsPerMs * MS_PER_SECOND;
  }

  /** Changes the refill rate from now on. */
  public void setRate(double permitsPerSecond, long now) {
    refill(now);
    permitsPerMs = permitsPerSecond / MS_PER_SECOND;
  }

  /** Takes {@code n} permits if they are available, else none. */
  public boolean tryAcquire(double n, long now) {
    refill(now);
    if (permits < n) {
      return false;
    }
    permits -= n;
    return true;
  }

  /** The permits that are available now; negative while in debt. */
  public double availablePermits(long now) {
    refill(now);
    return permits;
  }

  /**
   * Takes {@code n} permits even if that leaves a debt, for calls that must not wait; a negative
   * {@code n} returns permits that were not used.
   */
  public void forceAcquire(double n, long now) {
    refill(now);
    permits -= n;
  }

  /** Milliseconds until {@code n} permits are available, or a full bucket where n is more. */
  public long millisUntilAvailable(double n, long now) {
    refill(now);
    // The bucket never holds more than its burst: without the bound the caller would wait forever.
    double needed = Math.min(n, burst);
    return permits >= needed ? 0 : (long) Math.ceil((needed - permits) / permitsPerMs);
  }
}
