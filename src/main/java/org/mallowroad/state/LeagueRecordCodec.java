package org.mallowroad.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Json;

/** Encodes the record of a league whose games are named by job dependencies. */
public final class LeagueRecordCodec {
  /** Field with the highest game number that a dependency names. */
  public static final String HIGHEST_GAME = "up_to";

  /** Field that counts the claims of games up to that number since a dependency first named one. */
  public static final String CHANGE_COUNT = "changes";

  private LeagueRecordCodec() {}

  /** Encodes a league's record. */
  public static ObjectNode encode(long upTo, long changes) {
    return Json.object().put(HIGHEST_GAME, upTo).put(CHANGE_COUNT, changes);
  }
}
