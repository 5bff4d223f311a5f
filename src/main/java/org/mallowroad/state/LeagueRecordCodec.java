package org.mallowroad.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Json;

/** The record of a league on whose games dependencies are declared. */
public final class LeagueRecordCodec {
  /** Field: the highest game that a dependency names. */
  public static final String HIGHEST_GAME = "up_to";

  /** Field: how often games up to that one were claimed since. */
  public static final String CHANGE_COUNT = "changes";

  private LeagueRecordCodec() {}

  /** Encodes a league's record. */
  public static ObjectNode encode(long upTo, long changes) {
    return Json.object().put(HIGHEST_GAME, upTo).put(CHANGE_COUNT, changes);
  }
}
