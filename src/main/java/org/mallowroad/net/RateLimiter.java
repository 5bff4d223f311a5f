package org.mallowroad.net;

/**
 * A token bucket that keeps calls below an external service's rate limit. Times are milliseconds of
 * the event loop's steady clock. Confined to the event loop.
 */
public final class RateLimiter {
  private static final double MS_PER_SECOND = 1000;

  private double permitsPerMs;
  private final double burst;

  /** The available permits; negative while permits are owed. */
  private double permits;

  private long lastRefillMs;

  /** Creates a bucket that is full, with {@code burst} permits. */
  public RateLimiter(double permitsPerSecond, double burst, long nowMs) {
    this.permitsPerMs = permitsPerSecond / MS_PER_SECOND;
    this.burst = burst;
    this.permits = burst;
    this.lastRefillMs = nowMs;
  }

  private void refill(long nowMs) {
    permits = Math.min(burst, permits + (nowMs - lastRefillMs) * permitsPerMs);
    lastRefillMs = nowMs;
  }

  /** The refill rate in permits per second. */
  public double permitsPerSecond() {
    return permitsPerMs * MS_PER_SECOND;
  }

  /** Changes the refill rate, effective from {@code nowMs}. */
  public void setRate(double permitsPerSecond, long nowMs) {
    refill(nowMs);
    permitsPerMs = permitsPerSecond / MS_PER_SECOND;
  }

  /** Takes {@code requested} permits if they are available, otherwise none. */
  public boolean tryAcquire(double requested, long nowMs) {
    refill(nowMs);
    if (permits < requested) {
      return false;
    }
    permits -= requested;
    return true;
  }

  /** The permits that are available now; negative while permits are owed. */
  public double availablePermits(long nowMs) {
    refill(nowMs);
    return permits;
  }

  /**
   * Takes {@code requested} permits even if the balance becomes negative, for calls that must not
   * wait; a negative number returns unused permits.
   */
  public void forceAcquire(double requested, long nowMs) {
    refill(nowMs);
    permits -= requested;
  }

  /**
   * Milliseconds until {@code requested} permits are available, or until the bucket is full if it
   * cannot hold that many.
   */
  public long millisUntilAvailable(double requested, long nowMs) {
    refill(nowMs);
    // The bucket never holds more than its burst; without this limit a caller that requests more
    // would wait forever.
    double attainable = Math.min(requested, burst);
    return permits >= attainable ? 0 : (long) Math.ceil((attainable - permits) / permitsPerMs);
  }
}
