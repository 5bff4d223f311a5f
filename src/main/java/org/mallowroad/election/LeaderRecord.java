package org.mallowroad.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Json;

/**
 * The value of the key {@link LeaderElection#LEADER_KEY}.
 *
 * @param node the leader's name
 * @param term the first fencing token of its term
 * @param lease the lease that the key lives on, which tells this process from an earlier one of the
 *     same name; 0 in records of builds that did not write it
 */
record LeaderRecord(String node, long term, long lease) {
  private static final String NODE = "node";
  private static final String TERM = "term";
  private static final String LEASE = "lease";
  private static final String HIGHEST_TOKEN = "n";

  /** Decodes a value; a key that does not exist names the empty node, which no node is. */
  static LeaderRecord decode(JsonNode value) {
    if (value == null) {
      return new LeaderRecord("", 0, 0);
    }
    return new LeaderRecord(
        value.path(NODE).asText(), value.path(TERM).asLong(), value.path(LEASE).asLong());
  }

  ObjectNode encode() {
    return Json.object().put(NODE, node).put(TERM, term).put(LEASE, lease);
  }

  /** The highest fencing token of the key {@link LeaderElection#TERM_KEY}; 0 when there is none. */
  static long decodeTerm(JsonNode value) {
    return value == null ? 0 : value.path(HIGHEST_TOKEN).asLong();
  }

  /** The value of the key {@link LeaderElection#TERM_KEY}. */
  static ObjectNode encodeTerm(long highestToken) {
    return Json.object().put(HIGHEST_TOKEN, highestToken);
  }
}
