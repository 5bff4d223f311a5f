package org.mallowroad.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * The data and request handling of a state service without sockets, threads or a clock: versioned
 * keys, leases and the most recent changes. Callers pass the current time. Not thread-safe.
 */
public final class InMemoryKeyValueStore {
  /** The number of recent changes that watches can still read, as the protocol specifies. */
  private static final int MAX_RETAINED_CHANGES = 10_000;

  private record Value(JsonNode value, long version, long leaseId) {}

  private record Change(long revision, String key, JsonNode value) {}

  /** A response to a request; null in its place means that a watch has to keep waiting. */
  public record Response(int status, ObjectNode body) {}

  private final TreeMap<String, Value> valuesByKey = new TreeMap<>();
  private final ArrayDeque<Change> retainedChanges = new ArrayDeque<>();

  /** The TTL and the expiry time of each lease, by lease ID. */
  private final Map<Long, long[]> leaseTimesMs = new HashMap<>();

  private long newestDroppedRevision;
  private long revision = 1;
  private long nextLeaseId = 1;

  /** The store revision, which increases with every change. */
  public long revision() {
    return revision;
  }

  /** The value of a key; null if the key does not exist. */
  public JsonNode value(String key) {
    Value stored = valuesByKey.get(key);
    return stored == null ? null : stored.value;
  }

  /** The revision at which a key was last written; 0 if the key does not exist. */
  public long version(String key) {
    Value stored = valuesByKey.get(key);
    return stored == null ? 0 : stored.version;
  }

  /** The keys that start with a prefix, in ascending order. */
  public List<String> keys(String prefix) {
    return valuesByKey.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /** Expires all leases as if none of them had been renewed. */
  public void expireAllLeases(long nowMs) {
    leaseTimesMs.clear();
    removeExpiredKeys(nowMs);
  }

  /** Gives all leases their full TTL again, as at the end of an outage. */
  public void renewAllLeases(long nowMs) {
    leaseTimesMs.values().forEach(times -> times[1] = nowMs + times[0]);
  }

  /** Drops expired leases and deletes the keys attached to leases that no longer exist. */
  public void removeExpiredKeys(long nowMs) {
    leaseTimesMs.values().removeIf(times -> times[1] < nowMs);
    List<String> expiredKeys = new ArrayList<>();
    valuesByKey.forEach(
        (key, stored) -> {
          if (stored.leaseId > 0 && !leaseTimesMs.containsKey(stored.leaseId)) {
            expiredKeys.add(key);
          }
        });
    for (String key : expiredKeys) {
      revision++;
      valuesByKey.remove(key);
      retainChange(key, null);
    }
  }

  /** The decoded query parameters of a request target. */
  static Map<String, String> queryParameters(String target) {
    Map<String, String> parameters = new HashMap<>();
    int queryStart = target.indexOf('?');
    for (String parameter :
        queryStart < 0 ? new String[0] : target.substring(queryStart + 1).split("&")) {
      int equalsSign = parameter.indexOf('=');
      parameters.put(
          parameter.substring(0, equalsSign),
          URLDecoder.decode(parameter.substring(equalsSign + 1), StandardCharsets.UTF_8));
    }
    return parameters;
  }

  /** The time in ms for which a watch may wait for a change. */
  public static long watchTimeoutMs(String target) {
    return Long.parseLong(queryParameters(target).getOrDefault("block_ms", "0"));
  }

  /** Handles one request; returns null for a watch that has no change to report yet. */
  public Response serve(String method, String target, byte[] body, long nowMs)
      throws InvalidMessageException {
    removeExpiredKeys(nowMs);
    String path = target.indexOf('?') < 0 ? target : target.substring(0, target.indexOf('?'));
    if (path.equals("/multi")) {
      return handleTransaction(Json.parseObject(body));
    } else if (path.startsWith("/leases")) {
      return handleLease(method, path, body, nowMs);
    } else if (path.equals("/follow")) {
      return handleWatch(queryParameters(target));
    } else if (path.equals("/kv")) {
      return handleList(queryParameters(target));
    }
    return handleGet(path.substring("/kv/".length()));
  }

  private Response handleGet(String key) {
    ObjectNode responseBody = Json.object();
    Value stored = valuesByKey.get(key);
    if (stored != null) {
      responseBody.put("key", key).put("mark", stored.version).set("v", stored.value);
    }
    responseBody.put("epoch", revision);
    return new Response(stored == null ? 404 : 200, responseBody);
  }

  private Response handleList(Map<String, String> parameters) {
    ObjectNode responseBody = Json.object();
    String prefix = parameters.get("under");
    String startAfter = parameters.get("from");
    int limit = Integer.parseInt(parameters.getOrDefault("limit", "1000"));
    boolean isTruncated = false;
    ArrayNode pairs = responseBody.putArray("pairs");
    for (Map.Entry<String, Value> entry :
        (startAfter == null ? valuesByKey.tailMap(prefix) : valuesByKey.tailMap(startAfter, false))
            .entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (pairs.size() >= limit) {
        isTruncated = true;
        break;
      }
      pairs
          .addObject()
          .put("key", entry.getKey())
          .put("mark", entry.getValue().version)
          .set("v", entry.getValue().value);
    }
    responseBody.put("epoch", revision).put("truncated", isTruncated);
    return new Response(200, responseBody);
  }

  private Response handleTransaction(ObjectNode transaction) {
    ObjectNode responseBody = Json.object();
    ArrayNode failedKeys = Json.array();
    for (JsonNode condition : transaction.path("if")) {
      Value stored = valuesByKey.get(condition.path("key").asText());
      if ((stored == null ? 0 : stored.version) != condition.path("mark").asLong()) {
        failedKeys.add(condition.path("key").asText());
      }
    }
    for (JsonNode write : transaction.path("writes")) {
      if (write.has("tenure") && !leaseTimesMs.containsKey(write.path("tenure").asLong())) {
        return new Response(400, responseBody.put("error", "no such lease"));
      }
    }
    if (!failedKeys.isEmpty()) {
      responseBody.set("failed", failedKeys);
      responseBody.put("epoch", revision);
      return new Response(409, responseBody);
    }
    if (!transaction.path("writes").isEmpty()) {
      revision++;
    }
    for (JsonNode write : transaction.path("writes")) {
      if (write.has("put")) {
        String key = write.get("put").asText();
        valuesByKey.put(key, new Value(write.get("v"), revision, write.path("tenure").asLong(0)));
        retainChange(key, write.get("v"));
      } else if (valuesByKey.remove(write.get("delete").asText()) != null) {
        retainChange(write.get("delete").asText(), null);
      }
    }
    return new Response(200, responseBody.put("epoch", revision));
  }

  private Response handleLease(String method, String path, byte[] body, long nowMs)
      throws InvalidMessageException {
    ObjectNode responseBody = Json.object();
    if (path.equals("/leases")) {
      long ttlMs = Json.parseObject(body).path("life_ms").asLong();
      leaseTimesMs.put(nextLeaseId, new long[] {ttlMs, nowMs + ttlMs});
      return new Response(200, responseBody.put("tenure", nextLeaseId++));
    }
    long leaseId = Long.parseLong(path.split("/")[2]);
    long[] times = leaseTimesMs.get(leaseId);
    if (times == null) {
      return new Response(404, responseBody);
    }
    if (method.equals("DELETE")) {
      leaseTimesMs.remove(leaseId);
      removeExpiredKeys(nowMs);
    } else {
      times[1] = nowMs + times[0];
      responseBody.put("tenure", leaseId);
    }
    return new Response(200, responseBody);
  }

  private Response handleWatch(Map<String, String> parameters) {
    long afterRevision = Long.parseLong(parameters.get("from"));
    String prefix = parameters.get("under");
    ObjectNode responseBody = Json.object();
    ArrayNode events = responseBody.putArray("events");
    responseBody.put("epoch", revision);
    if (afterRevision < newestDroppedRevision) {
      return new Response(410, responseBody);
    }
    for (Change change : retainedChanges) {
      if (change.revision > afterRevision && change.key.startsWith(prefix)) {
        ObjectNode event = events.addObject().put("mark", change.revision);
        if (change.value == null) {
          event.put("delete", change.key);
        } else {
          event.put("put", change.key).set("v", change.value);
        }
      }
    }
    return events.isEmpty() ? null : new Response(200, responseBody);
  }

  /** The response to a watch that timed out without a change. */
  public Response emptyWatchResponse() {
    ObjectNode responseBody = Json.object();
    responseBody.putArray("events");
    return new Response(200, responseBody.put("epoch", revision));
  }

  private void retainChange(String key, JsonNode newValue) {
    retainedChanges.add(new Change(revision, key, newValue));
    if (retainedChanges.size() > MAX_RETAINED_CHANGES) {
      newestDroppedRevision = retainedChanges.removeFirst().revision;
    }
  }
}
