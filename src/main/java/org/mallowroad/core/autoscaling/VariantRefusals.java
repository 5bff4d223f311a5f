package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongOpenHashSet;

/** Records the machine variants of which the cloud provided fewer machines than requested. */
final class VariantRefusals {
  /** A refused variant is not requested again for this long. */
  private static final long BACKOFF_MS = 15_000;

  private final Long2LongOpenHashMap backoffUntilMs = new Long2LongOpenHashMap();
  private final Long2LongOpenHashMap refusedSinceMs = new Long2LongOpenHashMap();

  /** Variants that were refused, and not granted in full since then. */
  private final LongOpenHashSet limitedVariants = new LongOpenHashSet();

  /** Records that the cloud provided no machines, or fewer than requested. */
  void recordRefusal(MachineVariant variant, long now) {
    backoffUntilMs.put(variant.key(), now + BACKOFF_MS);
    if (limitedVariants.add(variant.key())) {
      refusedSinceMs.put(variant.key(), now);
    }
  }

  /** Records that the cloud provided all requested machines. */
  void recordGrant(MachineVariant variant) {
    limitedVariants.remove(variant.key());
    refusedSinceMs.remove(variant.key());
  }

  /** The time of the first refusal since the last full grant; -1 if there is none. */
  long refusedSinceMs(MachineVariant variant) {
    return limitedVariants.contains(variant.key()) ? refusedSinceMs.get(variant.key()) : -1;
  }

  /** True during the backoff after a refusal, in which the variant is not requested. */
  boolean isBackingOff(MachineVariant variant, long now) {
    return backoffUntilMs.get(variant.key()) > now;
  }

  /**
   * True when no more machines of the variant may be requested in this cycle. After a refused
   * variant's backoff, one call to the cloud, of at most {@link ScaleOutRequest#MAX_MACHINES}
   * machines, tests whether it is available again.
   *
   * @param requested number of machines of the variant already requested in this cycle
   */
  boolean isUnavailable(MachineVariant variant, int requested, long now) {
    return isBackingOff(variant, now)
        || (requested >= ScaleOutRequest.MAX_MACHINES && limitedVariants.contains(variant.key()));
  }
}
