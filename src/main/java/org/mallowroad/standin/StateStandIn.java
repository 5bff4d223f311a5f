package org.mallowroad.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Json;

/** A state service; it can lose responses, answer garbage and be away. */
public final class StateStandIn implements AutoCloseable {
  private record Value(JsonNode v, long mark, long lease) {}

  private record Change(long revision, String key, JsonNode v) {}

  private final TreeMap<String, Value> data = new TreeMap<>();

  /** Changes that watches can still be told of, as many as the protocol says. */
  private static final int MOST_CHANGES = 10_000;

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long forgotten;
  private final Map<Long, long[]> leases = new HashMap<>();
  private final HttpServer server;
  private final ExecutorService pool = Executors.newCachedThreadPool(StateStandIn::daemon);
  private long revision = 1;
  private long nextLease = 1;
  private int transactions;
  private boolean closed;

  /** Every so many transactions one is applied without a response; 0: none. */
  public volatile int loseEvery;

  /** While true every answer is 200 with something that is not JSON. */
  public volatile boolean garbled;

  /** While true everything gets 503. */
  public volatile boolean down;

  /** Listens on any port of loopback. */
  public StateStandIn() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(pool);
    server.createContext("/", this::handle);
    server.start();
  }

  static Thread daemon(Runnable r) {
    Thread t = new Thread(r, "stand-in");
    t.setDaemon(true);
    return t;
  }

  /** Where it listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** True when the key exists. */
  public synchronized boolean has(String key) {
    return data.containsKey(key);
  }

  /** Ends all leases, as if they had not been renewed: whoever leads is deposed unawares. */
  public synchronized void endLeases() {
    leases.clear();
    expire();
  }

  /** The highest term given out. */
  public synchronized long term() {
    Value v = data.get("term");
    return v == null ? 0 : v.v.path("n").asLong();
  }

  /** Who leads, or null. */
  public synchronized String leader() {
    expire();
    Value v = data.get("leader");
    return v == null ? null : v.v.path("node").asText();
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    server.stop(0);
    pool.shutdownNow();
  }

  private void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    String path = x.getRequestURI().getPath();
    try {
      if (garbled) {
        garble(x);
      } else if (down) {
        send(x, 503, Json.object());
      } else if (path.equals("/multi")) {
        multi(x, Json.parseObject(body));
      } else if (path.startsWith("/leases")) {
        lease(x, path, Json.parseObject(body));
      } else if (path.equals("/follow")) {
        follow(x, query(x));
      } else if (path.equals("/kv")) {
        list(x, query(x));
      } else {
        get(x, path.substring("/kv/".length()));
      }
    } catch (BadMessage e) {
      send(x, 400, Json.object());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(HttpExchange x) {
    Map<String, String> q = new HashMap<>();
    for (String p : x.getRequestURI().getQuery().split("&")) {
      int eq = p.indexOf('=');
      q.put(p.substring(0, eq), p.substring(eq + 1));
    }
    return q;
  }

  static void garble(HttpExchange x) throws IOException {
    byte[] b = {'<', '?', '{'};
    x.sendResponseHeaders(200, b.length);
    x.getResponseBody().write(b);
    x.close();
  }

  static void send(HttpExchange x, int status, JsonNode o) throws IOException {
    byte[] b = Json.bytes(o);
    x.sendResponseHeaders(status, b.length);
    x.getResponseBody().write(b);
    x.close();
  }

  private void get(HttpExchange x, String key) throws IOException {
    ObjectNode o = Json.object();
    int status;
    synchronized (this) {
      expire();
      Value v = data.get(key);
      status = v == null ? 404 : 200;
      if (v != null) {
        o.put("key", key).put("mark", v.mark).set("v", v.v);
      }
      o.put("epoch", revision);
    }
    send(x, status, o);
  }

  private void list(HttpExchange x, Map<String, String> q) throws IOException {
    ObjectNode o = Json.object();
    synchronized (this) {
      expire();
      String under = q.get("under");
      ArrayNode pairs = o.putArray("pairs");
      for (Map.Entry<String, Value> e : data.tailMap(under).entrySet()) {
        if (!e.getKey().startsWith(under)) {
          break;
        }
        pairs
            .addObject()
            .put("key", e.getKey())
            .put("mark", e.getValue().mark)
            .set("v", e.getValue().v);
      }
      o.put("epoch", revision).put("truncated", false);
    }
    send(x, 200, o);
  }

  private void multi(HttpExchange x, ObjectNode t) throws IOException {
    ObjectNode o = Json.object();
    boolean lost;
    int status = 200;
    synchronized (this) {
      expire();
      transactions++;
      lost = loseEvery > 0 && transactions % loseEvery == 0;
      ArrayNode failed = Json.array();
      for (JsonNode c : t.path("if")) {
        Value v = data.get(c.path("key").asText());
        if ((v == null ? 0 : v.mark) != c.path("mark").asLong()) {
          failed.add(c.path("key").asText());
        }
      }
      if (!failed.isEmpty()) {
        status = 409;
        o.set("failed", failed);
      } else {
        revision++;
        for (JsonNode w : t.path("writes")) {
          if (w.has("put")) {
            data.put(
                w.get("put").asText(), new Value(w.get("v"), revision, w.path("tenure").asLong(0)));
            changed(w.get("put").asText(), w.get("v"));
          } else if (data.remove(w.get("delete").asText()) != null) {
            changed(w.get("delete").asText(), null);
          }
        }
        notifyAll();
      }
      o.put("epoch", revision);
    }
    if (lost) {
      x.close();
    } else {
      send(x, status, o);
    }
  }

  private void lease(HttpExchange x, String path, ObjectNode b) throws IOException {
    ObjectNode o = Json.object();
    int status = 200;
    synchronized (this) {
      expire();
      if (path.equals("/leases")) {
        long life = b.path("life_ms").asLong();
        leases.put(nextLease, new long[] {life, System.currentTimeMillis() + life});
        o.put("tenure", nextLease++);
      } else {
        long id = Long.parseLong(path.split("/")[2]);
        long[] l = leases.get(id);
        if (l == null) {
          status = 404;
        } else if (x.getRequestMethod().equals("DELETE")) {
          leases.remove(id);
        } else {
          l[1] = System.currentTimeMillis() + l[0];
          o.put("tenure", id);
        }
      }
    }
    send(x, status, o);
  }

  private void changed(String key, JsonNode v) {
    changes.add(new Change(revision, key, v));
    if (changes.size() > MOST_CHANGES) {
      forgotten = changes.removeFirst().revision;
    }
  }

  private synchronized void expire() {
    long now = System.currentTimeMillis();
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
      notifyAll();
    }
  }

  private void follow(HttpExchange x, Map<String, String> q)
      throws IOException, InterruptedException {
    long from = Long.parseLong(q.get("from"));
    String under = q.get("under");
    long until = System.currentTimeMillis() + Long.parseLong(q.getOrDefault("block_ms", "0"));
    ObjectNode o = Json.object();
    ArrayNode events = o.putArray("events");
    synchronized (this) {
      while (true) {
        expire();
        if (from < forgotten) {
          break;
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
        if (!events.isEmpty() || closed || System.currentTimeMillis() >= until) {
          break;
        }
        wait(50);
      }
      o.put("epoch", revision);
    }
    send(x, from < forgotten ? 410 : 200, o);
  }
}
