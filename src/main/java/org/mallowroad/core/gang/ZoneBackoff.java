package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;

/**
 * The exponential backoff of one gang after failed reservations. Each zone has its own deadline;
 * the whole fleet counts as the zone {@link GangReservation#ANY_ZONE}.
 */
final class ZoneBackoff {
  /** Backoff after the gang's first failed reservation; doubled with each further failure. */
  static final long INITIAL_MS = 30_000;

  /** Longest backoff. */
  static final long MAX_MS = 480_000;

  /** Bounds the exponent so that the shift cannot overflow. */
  private static final int MAX_DOUBLINGS = 8;

  private final Long2LongOpenHashMap untilMs = new Long2LongOpenHashMap();
  private int failures;

  /** The zone of the latest reservation, or {@link GangReservation#ANY_ZONE}. */
  int latestZone = GangReservation.ANY_ZONE;

  /** True when any reservation of the gang has failed. */
  boolean hasFailures() {
    return failures > 0;
  }

  /** The time until which the gang avoids the zone; 0 when no reservation failed there. */
  long untilMs(int zone) {
    return untilMs.get(zone);
  }

  /** Starts the backoff of a zone after a failed reservation there. */
  void recordFailure(int zone, long now) {
    latestZone = zone;
    int doublings = Math.min(MAX_DOUBLINGS, failures);
    failures++;
    untilMs.put(zone, now + Math.min(MAX_MS, INITIAL_MS << doublings));
  }
}
