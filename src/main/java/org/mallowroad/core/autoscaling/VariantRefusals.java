package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongOpenHashSet;

/** Variants of which the cloud had fewer machines than were requested. */
final class VariantRefusals {
  /** A refused variant is not requested again for this long. */
  private static final long BACKOFF_MS = 15_000;

  private final Long2LongOpenHashMap backoffUntilMs = new Long2LongOpenHashMap();
  private final Long2LongOpenHashMap sinceMs = new Long2LongOpenHashMap();

  /** Variants that were refused and not granted in full since. */
  private final LongOpenHashSet limited = new LongOpenHashSet();

  /** The cloud had none, or fewer than requested. */
  void recordRefusal(MachineVariant v, long now) {
    backoffUntilMs.put(v.key(), now + BACKOFF_MS);
    if (limited.add(v.key())) {
      sinceMs.put(v.key(), now);
    }
  }

  /** The cloud gave all that was requested. */
  void recordGrant(MachineVariant v) {
    limited.remove(v.key());
    sinceMs.remove(v.key());
  }

  /** Since when the variant has been refused; -1 while it is not. */
  long sinceMs(MachineVariant v) {
    return limited.contains(v.key()) ? sinceMs.get(v.key()) : -1;
  }

  /** True while the variant is not requested again after a refusal. */
  boolean isActive(MachineVariant v, long now) {
    return backoffUntilMs.get(v.key()) > now;
  }

  /**
   * True when no more machines of the variant may be requested in this cycle. After a refusal one
   * call shows whether there are machines again.
   *
   * @param requested machines already requested in this cycle
   */
  boolean isUnavailable(MachineVariant v, int requested, long now) {
    return isActive(v, now)
        || (requested >= ScaleOutRequest.MAX_MACHINES && limited.contains(v.key()));
  }
}
