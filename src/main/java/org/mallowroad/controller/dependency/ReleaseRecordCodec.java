package org.mallowroad.controller.dependency;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Map;
import org.mallowroad.core.dependency.GateRelease;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.wire.Json;

/**
 * Encodes and decodes the JSON form of release records; docs/holds.md describes the transactions
 * that write them.
 */
final class ReleaseRecordCodec {
  private static final String LEAGUE_VERSIONS = "leagues";
  private static final String LEAGUE_CHANGES = "changes";
  private static final String STARTED = "printed";
  private static final String SUPERSEDED = "superseded";

  private ReleaseRecordCodec() {}

  static ObjectNode encode(GateRelease release) {
    ObjectNode record = Json.object();
    ObjectNode versions = record.putObject(LEAGUE_VERSIONS);
    release.leagueVersions().forEach(versions::put);
    ObjectNode changes = record.putObject(LEAGUE_CHANGES);
    release.leagueClaimCounts().forEach(changes::put);
    if (release.started()) {
      record.put(STARTED, true);
    }
    if (release.superseded()) {
      record.put(SUPERSEDED, true);
    }
    return record;
  }

  static GateRelease decode(JsonNode record) {
    return new GateRelease(
        decodeNumbers(record.path(LEAGUE_VERSIONS)),
        decodeNumbers(record.path(LEAGUE_CHANGES)),
        record.path(STARTED).asBoolean(),
        record.path(SUPERSEDED).asBoolean());
  }

  /**
   * Number of claims of required games in a league, from the league's record; 0 if there is no
   * record.
   */
  static long leagueChanges(JsonNode leagueRecord) {
    return leagueRecord == null ? 0 : leagueRecord.path(LeagueRecordCodec.CHANGE_COUNT).asLong();
  }

  private static Map<String, Long> decodeNumbers(JsonNode object) {
    Map<String, Long> numbers = new Object2ObjectLinkedOpenHashMap<>();
    object.properties().forEach(field -> numbers.put(field.getKey(), field.getValue().asLong()));
    return numbers;
  }
}
