package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads keys for one acceptance, which ends as unavailable if the state service does not answer.
 */
@FunctionalInterface
interface ValueReader {
  /** Receives a value that was read. */
  @FunctionalInterface
  interface Listener {
    /** Called with the value and its version, or with null and 0 if the key does not exist. */
    void onValue(JsonNode value, long version);
  }

  /** Reads a key; the listener is called once, or never if the acceptance ends instead. */
  void read(String key, Listener listener);
}
