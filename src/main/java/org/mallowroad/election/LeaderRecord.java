package org.mallowroad.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Json;

/**
 * The value of the key {@link LeaderElection#LEADER_KEY}.
 *
 * @param node the leader's name
 * @param term the first fencing token of its term
 * @param lease the lease attached to the key, which distinguishes this process from an earlier one
 *     of the same name; 0 in records of older versions, which did not store it
 */
record LeaderRecord(String node, long term, long lease) {
  private static final String NODE = "node";
  private static final String TERM = "term";
  private static final String LEASE = "lease";
  private static final String HIGHEST_TOKEN = "n";

  /**
   * Decodes a value. If the key does not exist, the result has an empty node name, which matches no
   * node.
   */
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

  /**
   * Decodes the highest fencing token from the value of the key {@link LeaderElection#TERM_KEY}; 0
   * if the key does not exist.
   */
  static long decodeTerm(JsonNode value) {
    return value == null ? 0 : value.path(HIGHEST_TOKEN).asLong();
  }

  /** Encodes the value of the key {@link LeaderElection#TERM_KEY}. */
  static ObjectNode encodeTerm(long highestToken) {
    return Json.object().put(HIGHEST_TOKEN, highestToken);
  }
}
