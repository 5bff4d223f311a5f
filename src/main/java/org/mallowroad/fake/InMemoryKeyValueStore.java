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
 * What a state service keeps, without sockets, threads or a clock: keys with marks, leases, the
 * newest changes. Not thread-safe.
 */
public final class InMemoryKeyValueStore {
  /** Changes that watches can still be told of, as many as the protocol says. */
  private static final int MOST_CHANGES = 10_000;

  private record Value(JsonNode v, long version, long lease) {}

  private record Change(long revision, String key, JsonNode v) {}

  /** An answer; null in its place means that a watch must go on waiting. */
  public record Response(int status, ObjectNode body) {}

  private final TreeMap<String, Value> data = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private long forgotten;
  private long revision = 1;
  private long nextLease = 1;

  /** Counts every change. */
  public long revision() {
    return revision;
  }

  /** The value of a key, or null. */
  public JsonNode value(String key) {
    Value v = data.get(key);
    return v == null ? null : v.v;
  }

  /** The mark of a key; 0 where there is none. */
  public long version(String key) {
    Value v = data.get(key);
    return v == null ? 0 : v.version;
  }

  /** The keys with a prefix, in order. */
  public List<String> keys(String prefix) {
    return data.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  /** Ends all leases, as if they had not been renewed. */
  public void expireAllLeases(long now) {
    leases.clear();
    removeExpiredKeys(now);
  }

  /** After an outage all leases have their full time again. */
  public void renewAllLeases(long now) {
    leases.values().forEach(l -> l[1] = now + l[0]);
  }

  /** Removes what hung on leases that are over. */
  public void removeExpiredKeys(long now) {
    leases.values().removeIf(l -> l[1] < now);
    List<String> over = new ArrayList<>();
    data.forEach(
        (k, v) -> {
          if (v.lease > 0 && !leases.containsKey(v.lease)) {
            over.add(k);
          }
        });
    for (String k : over) {
      revision++;
      data.remove(k);
      changed(k, null);
    }
  }

  /** The fields of a query. */
  static Map<String, String> queryParameters(String target) {
    Map<String, String> q = new HashMap<>();
    int at = target.indexOf('?');
    for (String p : at < 0 ? new String[0] : target.substring(at + 1).split("&")) {
      int eq = p.indexOf('=');
      q.put(p.substring(0, eq), URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
    }
    return q;
  }

  /** Milliseconds for which a watch may wait. */
  public static long watchTimeoutMs(String target) {
    return Long.parseLong(queryParameters(target).getOrDefault("block_ms", "0"));
  }

  /** Serves one request; null when it is a watch that has nothing to tell yet. */
  public Response serve(String method, String target, byte[] body, long now)
      throws InvalidMessageException {
    removeExpiredKeys(now);
    String path = target.indexOf('?') < 0 ? target : target.substring(0, target.indexOf('?'));
    if (path.equals("/multi")) {
      return multi(Json.parseObject(body));
    } else if (path.startsWith("/leases")) {
      return lease(method, path, body, now);
    } else if (path.equals("/follow")) {
      return follow(queryParameters(target));
    } else if (path.equals("/kv")) {
      return list(queryParameters(target));
    }
    return get(path.substring("/kv/".length()));
  }

  private Response get(String key) {
    ObjectNode o = Json.object();
    Value v = data.get(key);
    if (v != null) {
      o.put("key", key).put("mark", v.version).set("v", v.v);
    }
    o.put("epoch", revision);
    return new Response(v == null ? 404 : 200, o);
  }

  private Response list(Map<String, String> q) {
    ObjectNode o = Json.object();
    String under = q.get("under");
    String from = q.get("from");
    int limit = Integer.parseInt(q.getOrDefault("limit", "1000"));
    boolean more = false;
    ArrayNode pairs = o.putArray("pairs");
    for (Map.Entry<String, Value> e :
        (from == null ? data.tailMap(under) : data.tailMap(from, false)).entrySet()) {
      if (!e.getKey().startsWith(under)) {
        break;
      }
      if (pairs.size() >= limit) {
        more = true;
        break;
      }
      pairs
          .addObject()
          .put("key", e.getKey())
          .put("mark", e.getValue().version)
          .set("v", e.getValue().v);
    }
    o.put("epoch", revision).put("truncated", more);
    return new Response(200, o);
  }

  private Response multi(ObjectNode t) {
    ObjectNode o = Json.object();
    ArrayNode failed = Json.array();
    for (JsonNode c : t.path("if")) {
      Value v = data.get(c.path("key").asText());
      if ((v == null ? 0 : v.version) != c.path("mark").asLong()) {
        failed.add(c.path("key").asText());
      }
    }
    for (JsonNode w : t.path("writes")) {
      if (w.has("tenure") && !leases.containsKey(w.path("tenure").asLong())) {
        return new Response(400, o.put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      o.set("failed", failed);
      o.put("epoch", revision);
      return new Response(409, o);
    }
    if (!t.path("writes").isEmpty()) {
      revision++;
    }
    for (JsonNode w : t.path("writes")) {
      if (w.has("put")) {
        String key = w.get("put").asText();
        data.put(key, new Value(w.get("v"), revision, w.path("tenure").asLong(0)));
        changed(key, w.get("v"));
      } else if (data.remove(w.get("delete").asText()) != null) {
        changed(w.get("delete").asText(), null);
      }
    }
    return new Response(200, o.put("epoch", revision));
  }

  private Response lease(String method, String path, byte[] body, long now)
      throws InvalidMessageException {
    ObjectNode o = Json.object();
    if (path.equals("/leases")) {
      long life = Json.parseObject(body).path("life_ms").asLong();
      leases.put(nextLease, new long[] {life, now + life});
      return new Response(200, o.put("tenure", nextLease++));
    }
    long id = Long.parseLong(path.split("/")[2]);
    long[] l = leases.get(id);
    if (l == null) {
      return new Response(404, o);
    }
    if (method.equals("DELETE")) {
      leases.remove(id);
      removeExpiredKeys(now);
    } else {
      l[1] = now + l[0];
      o.put("tenure", id);
    }
    return new Response(200, o);
  }

  private Response follow(Map<String, String> q) {
    long from = Long.parseLong(q.get("from"));
    String under = q.get("under");
    ObjectNode o = Json.object();
    ArrayNode events = o.putArray("events");
    o.put("epoch", revision);
    if (from < forgotten) {
      return new Response(410, o);
    }
    for (Change c : changes) {
      if (c.revision > from && c.key.startsWith(under)) {
        ObjectNode e = events.addObject().put("mark", c.revision);
        if (c.v == null) {
          e.put("delete", c.key);
        } else {
          e.put("put", c.key).set("v", c.v);
        }
      }
    }
    return events.isEmpty() ? null : new Response(200, o);
  }

  /** What a watch is told whose time is over. */
  public Response emptyWatchResponse() {
    ObjectNode o = Json.object();
    o.putArray("events");
    return new Response(200, o.put("epoch", revision));
  }

  private void changed(String key, JsonNode v) {
    changes.add(new Change(revision, key, v));
    if (changes.size() > MOST_CHANGES) {
      forgotten = changes.removeFirst().revision;
    }
  }
}
