package org.mallowroad.api.claim;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;

/**
 * The league records that were read last. An outdated one does no harm: its version is a condition
 * of each transaction, which then fails and is made again from a fresh read.
 */
final class LeagueCache {
  private static final int MAX_CACHED_LEAGUES = 256;

  private final Object2ObjectLinkedOpenHashMap<String, LeagueRecord> records =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The record as it was read last, or null. */
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
