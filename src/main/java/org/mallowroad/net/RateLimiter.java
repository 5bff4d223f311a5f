package org.mallowroad.net;

/** A token bucket that keeps requests below an outside party's limit. */
public final class RateLimiter {
  private double perMs;
  private final double burst;
  private double tokens;
  private long lastMs;

  /** A full bucket. */
  public RateLimiter(double perSecond, double burst, long now) {
    this.perMs = perSecond / 1000;
    this.burst = burst;
    this.tokens = burst;
    this.lastMs = now;
  }

  private void refill(long now) {
    tokens = Math.min(burst, tokens + (now - lastMs) * perMs);
    lastMs = now;
  }

  /** Tokens that come a second. */
  public double permitsPerSecond() {
    return perMs * 1000;
  }

  /** From now on so many come a second. */
  public void setRate(double perSecond, long now) {
    refill(now);
    perMs = perSecond / 1000;
  }

  /** Takes {@code n} tokens if they are there. */
  public boolean tryAcquire(double n, long now) {
    refill(now);
    if (tokens < n) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Tokens that are there now; below 0 in debt. */
  public double availablePermits(long now) {
    refill(now);
    return tokens;
  }

  /** Takes {@code n} tokens even if that leaves a debt, for what must not wait. */
  public void forceAcquire(double n, long now) {
    refill(now);
    tokens -= n;
  }

  /** Milliseconds until {@code n} tokens are there. */
  public long millisUntilAvailable(double n, long now) {
    refill(now);
    // More than a full bucket is never there: a full one must do, or the caller waits for ever.
    double need = Math.min(n, burst);
    return tokens >= need ? 0 : (long) Math.ceil((need - tokens) / perMs);
  }
}
