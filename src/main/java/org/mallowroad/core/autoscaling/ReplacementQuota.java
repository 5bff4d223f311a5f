package org.mallowroad.core.autoscaling;

/**
 * Selects which unreachable machines of partitioned zones are replaced: a fixed share of them,
 * spread evenly. The others are expected to return, so no machines are requested for the tasks that
 * wait for them. Otherwise a short partition would double the fleet.
 */
final class ReplacementQuota {
  private final double share;
  private double accumulatedShare;

  ReplacementQuota(double share) {
    this.share = share;
  }

  /** Counts one more unreachable machine; true when it is to be replaced. */
  boolean shouldReplaceNext() {
    accumulatedShare += share;
    if (accumulatedShare < 1) {
      return false;
    }
    accumulatedShare--;
    return true;
  }
}
