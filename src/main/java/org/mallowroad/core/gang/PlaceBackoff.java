package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;

/** The exponential back-off of one gang after failed reservations, for each zone. */
final class PlaceBackoff {
  /** How long a gang avoids a place after the first failed reservation; doubled each time. */
  static final long INITIAL_MS = 30_000;

  /** The longest back-off. */
  static final long MAX_MS = 480_000;

  /** Bounds the exponent, so that the shift cannot overflow. */
  private static final int MAX_DOUBLINGS = 8;

  private final Long2LongOpenHashMap untilMs = new Long2LongOpenHashMap();
  private int failures;

  /** The zone of the latest reservation, or {@link GangReservation#ANY_ZONE}. */
  int latestZone = GangReservation.ANY_ZONE;

  /** True when a reservation of the gang has failed in any place. */
  boolean hasFailures() {
    return failures > 0;
  }

  /** Until when the gang avoids the zone; 0 when no reservation failed there. */
  long untilMs(int zone) {
    return untilMs.get(zone);
  }

  /** Starts the back-off of a zone whose reservation failed. */
  void recordFailure(int zone, long now) {
    latestZone = zone;
    int doublings = Math.min(MAX_DOUBLINGS, failures);
    failures++;
    untilMs.put(zone, now + Math.min(MAX_MS, INITIAL_MS << doublings));
  }
}
