package org.mallowroad.core.health;

/**
 * Token bucket that limits how many silent machines are deleted.
 *
 * <p>A machine that is deleted too early has to be rented again, and its boot takes as long as a
 * task runs. That is acceptable for one machine, but not for half a fleet. So a share of the fleet
 * may be deleted at once and the rest at a constant rate, which gives machines that hung only for a
 * moment the time to report again. Other large schedulers limit evictions in the same way while
 * most of a zone is silent.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class TokenBucket {
  private final double capacityShare;
  private final double minCapacity;
  private final double refillMs;
  private double usedTokens;
  private long lastRefillMs;

  /**
   * Creates a full bucket.
   *
   * @param capacityShare capacity as a share of the fleet
   * @param minCapacity minimum capacity, in machines
   * @param refillMs time in which an empty bucket refills completely, in ms
   */
  public TokenBucket(double capacityShare, int minCapacity, double refillMs, long now) {
    this.capacityShare = capacityShare;
    this.minCapacity = minCapacity;
    this.refillMs = refillMs;
    this.lastRefillMs = now;
  }

  /** Takes the token for one deletion in a fleet of this size; false when no token is left. */
  public boolean tryTake(int fleetSize, long now) {
    double capacity = Math.max(minCapacity, capacityShare * fleetSize);
    usedTokens = Math.max(0, usedTokens - capacity * (now - lastRefillMs) / refillMs);
    lastRefillMs = now;
    if (usedTokens + 1 > capacity) {
      return false;
    }
    usedTokens++;
    return true;
  }
}
