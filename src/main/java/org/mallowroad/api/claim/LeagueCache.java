package org.mallowroad.api.claim;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;

/**
 * Caches the league records that were read most recently. An outdated record does no harm: its
 * version is a condition of every transaction that uses it, so the transaction fails and is built
 * again from a fresh read.
 */
final class LeagueCache {
  private static final int MAX_CACHED_LEAGUES = 256;

  private final Object2ObjectLinkedOpenHashMap<String, LeagueRecord> records =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The record as it was last read, or null if it is not cached. */
  LeagueRecord get(String league) {
    return records.get(league);
  }

  void put(String league, LeagueRecord record) {
    records.putAndMoveToLast(league, record);
    if (records.size() > MAX_CACHED_LEAGUES) {
      records.removeFirst();
    }
  }

  void remove(String league) {
    records.remove(league);
  }
}
