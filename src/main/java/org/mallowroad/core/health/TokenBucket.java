package org.mallowroad.core.health;

/**
 * Limits how many machines are deleted for their silence.
 *
 * <p>A machine that is given up too early has to be rented again, and boots for as long as a task
 * runs; that is acceptable for one machine, but not for half a fleet. So a share of the fleet may
 * go at once and the rest at an even rate, by which time machines that hung only for a moment are
 * back. Large schedulers limit evictions in the same way while most of a zone is silent.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class TokenBucket {
  private final double share;
  private final double minCapacity;
  private final double refillMs;
  private double used;
  private long updatedMs;

  /**
   * Creates a full bucket.
   *
   * @param share capacity as a share of the fleet
   * @param minCapacity least capacity, in machines
   * @param refillMs time in which an empty bucket refills, in ms
   */
  public TokenBucket(double share, int minCapacity, double refillMs, long now) {
    this.share = share;
    this.minCapacity = minCapacity;
    this.refillMs = refillMs;
    this.updatedMs = now;
  }

  /** Takes a token for one machine of a fleet of this size; false when none is left now. */
  public boolean tryTake(int fleetSize, long now) {
    double capacity = Math.max(minCapacity, share * fleetSize);
    used = Math.max(0, used - capacity * (now - updatedMs) / refillMs);
    updatedMs = now;
    if (used + 1 > capacity) {
      return false;
    }
    used++;
    return true;
  }
}
