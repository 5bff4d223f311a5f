package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import org.mallowroad.state.LeagueRecordCodec;

/**
 * The dependency record of a league.
 *
 * @param highestRequiredGame the highest game on which any job depends, or -1
 * @param changeCount how often a game up to that one was claimed, or -1
 * @param version the version of the record; 0 if there is no record
 */
record LeagueRecord(long highestRequiredGame, long changeCount, long version) {
  static LeagueRecord decode(JsonNode value, long version) {
    return new LeagueRecord(
        longField(value, LeagueRecordCodec.HIGHEST_GAME),
        longField(value, LeagueRecordCodec.CHANGE_COUNT),
        version);
  }

  private static long longField(JsonNode value, String name) {
    return value == null ? -1 : value.path(name).asLong(-1);
  }
}
