package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * Builds a compare-and-swap of several keys: conditions on key versions, and writes that are
 * applied atomically if all conditions hold. A transaction without writes only checks its
 * conditions.
 */
public final class Transaction {
  private final ObjectNode request = Json.object();
  private final ArrayNode conditionArray = request.putArray(Fields.CONDITIONS);
  private final ArrayNode writeArray = request.putArray(Fields.WRITES);

  /**
   * Adds the condition that the key has this version when the transaction is executed.
   *
   * @param version the required version; 0 requires that the key does not exist
   */
  public Transaction requireVersion(String key, long version) {
    ObjectNode condition = conditionArray.addObject();
    condition.put(Fields.KEY, key);
    condition.put(Fields.VERSION, version);
    return this;
  }

  /** Adds a write of a key. */
  public Transaction put(String key, JsonNode value) {
    return put(key, value, 0);
  }

  /**
   * Adds a write of a key that the service deletes when a lease ends.
   *
   * @param lease the lease; 0 for a key without a lease
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

  /** Adds the deletion of a key. */
  public Transaction delete(String key) {
    writeArray.addObject().put(Fields.DELETE, key);
    return this;
  }

  /** Returns the number of puts and deletes. */
  public int writeCount() {
    return writeArray.size();
  }

  /** Returns the number of conditions. */
  public int conditionCount() {
    return conditionArray.size();
  }

  /** Returns the request body. */
  ObjectNode requestBody() {
    return request;
  }
}
