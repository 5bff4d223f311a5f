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

/** Builds the paths of requests to the state service and decodes its responses. */
final class StateServiceCodec {
  /** Maximum length of a key in a response, in characters. */
  private static final int MAX_KEY_CHARS = 400;

  /** Field of a 409 response that lists the keys whose conditions did not hold. */
  private static final String FAILED_KEYS = "failed";

  private StateServiceCodec() {}

  /** Returns the path for reading a key; slashes in the key are not escaped. */
  static String keyPath(String key) {
    return "/kv/" + key;
  }

  /**
   * Returns the path for listing a page of keys in order.
   *
   * @param after the last key of the previous page, or null for the first page
   */
  static String listPath(String prefix, String after, int limit) {
    String fromParameter = after == null ? "" : "&from=" + encode(after);
    return "/kv?under=" + encode(prefix) + fromParameter + "&limit=" + limit;
  }

  /** Returns the path for watching the changes after a revision. */
  static String watchPath(String prefix, long afterRevision, long waitMs) {
    return "/follow?under=" + encode(prefix) + "&from=" + afterRevision + "&block_ms=" + waitMs;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  /** Decodes an item: the response to a read, or an element of a list. */
  static VersionedValue item(JsonNode node) throws InvalidMessageException {
    return new VersionedValue(
        Json.requiredString(node, Fields.KEY, MAX_KEY_CHARS),
        node.get(Fields.VALUE),
        version(node));
  }

  /** Decodes the items of a list response. */
  static List<VersionedValue> items(ObjectNode body) throws InvalidMessageException {
    List<VersionedValue> items = new ArrayList<>();
    for (JsonNode node : Json.requiredArray(body, Fields.ITEMS)) {
      items.add(item(node));
    }
    return items;
  }

  /** Returns whether more items follow this page of a list. */
  static boolean isTruncated(ObjectNode body) {
    JsonNode truncated = body.get(Fields.TRUNCATED);
    return truncated != null && truncated.asBoolean();
  }

  /** Decodes the events of a watch response; an event that deleted a key has no value. */
  static List<VersionedValue> events(ObjectNode body) throws InvalidMessageException {
    List<VersionedValue> events = new ArrayList<>();
    for (JsonNode event : Json.requiredArray(body, Fields.EVENTS)) {
      JsonNode deleted = event.get(Fields.DELETE);
      String key =
          deleted != null
              ? deleted.asText()
              : Json.requiredString(event, Fields.PUT, MAX_KEY_CHARS);
      JsonNode value = deleted != null ? null : event.get(Fields.VALUE);
      events.add(new VersionedValue(key, value, version(event)));
    }
    return events;
  }

  private static long version(JsonNode node) throws InvalidMessageException {
    return Json.requiredInteger(node, Fields.VERSION, 0, Long.MAX_VALUE);
  }

  /** Returns the service's revision at the time of the response. */
  static long revision(ObjectNode body) throws InvalidMessageException {
    return Json.requiredInteger(body, Fields.REVISION, 0, Long.MAX_VALUE);
  }

  /** Returns the keys whose conditions did not hold; the service may name only the first one. */
  static List<String> failedKeys(ObjectNode body) {
    List<String> failedKeys = new ArrayList<>();
    for (JsonNode node : body.path(FAILED_KEYS)) {
      failedKeys.add(node.asText());
    }
    return failedKeys;
  }

  /** Returns the lease in the response to a lease call. */
  static long lease(ObjectNode body) {
    return body.path(Fields.LEASE).asLong();
  }

  /** Returns the body of a request that grants a lease. */
  static byte[] grantLeaseBody(long durationMs) {
    return Json.toBytes(Json.object().put(Fields.LEASE_DURATION_MS, durationMs));
  }
}
