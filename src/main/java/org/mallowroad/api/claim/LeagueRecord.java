package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import org.mallowroad.state.LeagueRecordCodec;

/**
 * A league's record.
 *
 * @param upTo the highest game on which any job depends, or -1
 * @param changes how often a game up to that one was claimed, or -1
 * @param version the key's version; 0 when there is no record
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
