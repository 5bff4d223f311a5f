package org.mallowroad.core.autoscaling;

/**
 * Which machines of partitioned zones are replaced: the stated share, spread evenly. The others are
 * expected back, so work that waits for them rents nothing; otherwise a fleet that is unreachable
 * for a moment would be rented twice.
 */
final class ReplacementQuota {
  private final double share;
  private double due;

  ReplacementQuota(double share) {
    this.share = share;
  }

  /** True when the next unreachable machine is one that is replaced. */
  boolean isReplaced() {
    due += share;
    if (due < 1) {
      return false;
    }
    due--;
    return true;
  }
}
