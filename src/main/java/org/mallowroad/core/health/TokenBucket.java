package org.mallowroad.core.health;

/**
 * How many machines may be returned for their silence. A machine that is given up too early must be
 * rented again and boots for as long as a task runs; one too many does not matter, half a fleet
 * does. So a share of the fleet goes at once and the rest at an even pace: what hung only for a
 * moment is back by then. Large schedulers bound their evictions in the same way when most of a
 * zone is silent.
 */
public final class TokenBucket {
  private final double share;
  private final double least;
  private final double refillMs;
  private double used;
  private long atMs;

  /** A share of the fleet, and {@code least} machines in any case, in each {@code refillMs}. */
  public TokenBucket(double share, int least, double refillMs, long now) {
    this.share = share;
    this.least = least;
    this.refillMs = refillMs;
    this.atMs = now;
  }

  /** Takes one return out of what a fleet of this size allows now; false when it has to wait. */
  public boolean take(int fleet, long now) {
    double most = Math.max(least, share * fleet);
    used = Math.max(0, used - most * (now - atMs) / refillMs);
    atMs = now;
    if (used + 1 > most) {
      return false;
    }
    used++;
    return true;
  }
}
