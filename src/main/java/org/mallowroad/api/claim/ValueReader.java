package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads keys for one claim; when the state service does not answer, the claim ends. */
@FunctionalInterface
interface ValueReader {
  /** Takes a value that was read. */
  @FunctionalInterface
  interface Listener {
    /** The value, or null with version 0 when the key does not exist. */
    void onValue(JsonNode value, long version);
  }

  /** Reads a key; the listener is called once, or never when the claim has ended. */
  void read(String key, Listener listener);
}
