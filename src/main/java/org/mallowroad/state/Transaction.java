package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * A compare-and-swap of several keys under construction: conditions on versions, and writes that
 * are all applied if every condition holds and not at all otherwise. One without writes compares
 * only.
 */
public final class Transaction {
  private final ObjectNode request = Json.object();
  private final ArrayNode conditionArray = request.putArray(Fields.CONDITIONS);
  private final ArrayNode writeArray = request.putArray(Fields.WRITES);

  /**
   * Adds a condition: the key has this version when the transaction is executed.
   *
   * @param version 0: the key does not exist
   */
  public Transaction requireVersion(String key, long version) {
    ObjectNode condition = conditionArray.addObject();
    condition.put(Fields.KEY, key);
    condition.put(Fields.VERSION, version);
    return this;
  }

  /** Writes a key. */
  public Transaction put(String key, JsonNode value) {
    return put(key, value, 0);
  }

  /**
   * Writes a key that is deleted when a lease ends.
   *
   * @param lease 0: none
   */
  public Transaction put(String key, JsonNode value, long lease) {
    ObjectNode write = writeArray.addObject();
    write.put(Fields.PUT, key);
    write.set(Fields.VALUE, value);
    if (lease > 0) {
      write.put(Fields.LEASE, lease);
    }
    return this;
  }

  /** Deletes a key. */
  public Transaction delete(String key) {
    writeArray.addObject().put(Fields.DELETE, key);
    return this;
  }

  /** Number of puts and deletes. */
  public int writeCount() {
    return writeArray.size();
  }

  /** Number of conditions. */
  public int conditionCount() {
    return conditionArray.size();
  }

  /** The request body. */
  ObjectNode requestBody() {
    return request;
  }
}
