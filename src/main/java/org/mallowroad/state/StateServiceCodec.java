package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** Paths of the state service's requests, and the contents of its responses. */
final class StateServiceCodec {
  /** Longest key that is accepted in a response, in characters. */
  private static final int MAX_KEY_CHARS = 400;

  /** Field of a 409 response: the keys whose conditions did not hold. */
  private static final String FAILED_KEYS = "failed";

  private StateServiceCodec() {}

  /** Path of a read of one key; slashes in keys stay unescaped. */
  static String keyPath(String key) {
    return "/kv/" + key;
  }

  /**
   * Path of a read of keys in order.
   *
   * @param after the key before the first one, or null for the beginning
   */
  static String listPath(String prefix, String after, int limit) {
    String from = after == null ? "" : "&from=" + encode(after);
    return "/kv?under=" + encode(prefix) + from + "&limit=" + limit;
  }

  /** Path of a watch of the changes after a revision. */
  static String watchPath(String prefix, long afterRevision, long waitMs) {
    return "/follow?under=" + encode(prefix) + "&from=" + afterRevision + "&block_ms=" + waitMs;
  }

  private static String encode(String s) {
    return URLEncoder.encode(s, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  /** One item: the response to a read, or an element of a list. */
  static VersionedValue item(JsonNode o) throws InvalidMessageException {
    return new VersionedValue(
        Json.requiredString(o, Fields.KEY, MAX_KEY_CHARS), o.get(Fields.VALUE), version(o));
  }

  /** The items of a list. */
  static List<VersionedValue> items(ObjectNode body) throws InvalidMessageException {
    List<VersionedValue> items = new ArrayList<>();
    for (JsonNode n : Json.requiredArray(body, Fields.ITEMS)) {
      items.add(item(n));
    }
    return items;
  }

  /** True when a list goes on after its last item. */
  static boolean isTruncated(ObjectNode body) {
    JsonNode truncated = body.get(Fields.TRUNCATED);
    return truncated != null && truncated.asBoolean();
  }

  /** The changes of a watch; those that deleted a key have no value. */
  static List<VersionedValue> events(ObjectNode body) throws InvalidMessageException {
    List<VersionedValue> events = new ArrayList<>();
    for (JsonNode e : Json.requiredArray(body, Fields.EVENTS)) {
      JsonNode deleted = e.get(Fields.DELETE);
      String key =
          deleted != null ? deleted.asText() : Json.requiredString(e, Fields.PUT, MAX_KEY_CHARS);
      JsonNode value = deleted != null ? null : e.get(Fields.VALUE);
      events.add(new VersionedValue(key, value, version(e)));
    }
    return events;
  }

  private static long version(JsonNode o) throws InvalidMessageException {
    return Json.requiredInteger(o, Fields.VERSION, 0, Long.MAX_VALUE);
  }

  /** The service's revision when it answered. */
  static long revision(ObjectNode body) throws InvalidMessageException {
    return Json.requiredInteger(body, Fields.REVISION, 0, Long.MAX_VALUE);
  }

  /** The keys whose conditions did not hold; the service may name the first alone. */
  static List<String> failedKeys(ObjectNode body) {
    List<String> failedKeys = new ArrayList<>();
    for (JsonNode n : body.path(FAILED_KEYS)) {
      failedKeys.add(n.asText());
    }
    return failedKeys;
  }

  /** The lease of a response to a lease call. */
  static long lease(ObjectNode body) {
    return body.path(Fields.LEASE).asLong();
  }

  /** Body of a request for a lease. */
  static byte[] grantLease(long durationMs) {
    return Json.toBytes(Json.object().put(Fields.LEASE_DURATION_MS, durationMs));
  }
}
