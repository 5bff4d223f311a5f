package org.mallowroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Json;

/**
 * What stands in for the outside services in a rehearsal: a state service whose leases last, a
 * cloud whose machines are there at once, and their workers, whose tasks end as they start. Just
 * enough for a node to do once all that a leader does.
 */
final class Stage implements AutoCloseable {
  private static final int FOLLOW_MS = 100;

  private record Value(JsonNode v, long mark) {}

  private final HttpServer server;
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final TreeMap<String, Value> data = new TreeMap<>();
  private final TreeMap<String, Long> deleted = new TreeMap<>();
  private final Map<String, Map<String, ObjectNode>> machines = new LinkedHashMap<>();
  private long revision = 1;
  private long sequence;
  private long token;
  private boolean keeping;

  Stage() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(pool);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Who leads, or an empty text. */
  synchronized String leader() {
    Value v = data.get("leader");
    return v == null ? "" : v.v.path("node").asText();
  }

  /** Ends the leader's lease. */
  synchronized void endLease() {
    revision++;
    data.remove("leader");
    deleted.put("leader", revision);
    notifyAll();
  }

  /** While true no task ends. */
  synchronized void keep(boolean on) {
    keeping = on;
  }

  /** Each machine's worker reports to a node and does what it is told. */
  void report(String node) throws IOException, BadMessage {
    Map<String, ObjectNode> reports = new LinkedHashMap<>();
    synchronized (this) {
      for (String m : machines.keySet()) {
        reports.put(m, report(m, machines.get(m)));
      }
    }
    for (Map.Entry<String, ObjectNode> r : reports.entrySet()) {
      String answer = ask("POST", node, "/v1/report", Json.text(r.getValue()));
      if (answer.contains("\"orders\"")) {
        synchronized (this) {
          obey(r.getKey(), Json.parseObject(answer.getBytes(StandardCharsets.UTF_8)));
        }
      }
    }
  }

  /** Sends a request; the answer's body, empty when it was refused. */
  static String ask(String method, String node, String path, String body) throws IOException {
    HttpURLConnection c =
        (HttpURLConnection) URI.create("http://" + node + path).toURL().openConnection();
    c.setRequestMethod(method);
    c.setConnectTimeout(2_000);
    c.setReadTimeout(2_000);
    if (method.equals("POST")) {
      c.setDoOutput(true);
      c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    if (c.getResponseCode() >= 400) {
      return "";
    }
    try (var in = c.getInputStream()) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Override
  public void close() {
    server.stop(0);
    pool.shutdownNow();
  }

  private void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    String path = x.getRequestURI().getPath();
    ObjectNode o = Json.object();
    int status = 200;
    try {
      synchronized (this) {
        if (path.startsWith("/kv/")) {
          status = get(path.substring(4), o);
        } else if (path.equals("/follow")) {
          follow(x.getRequestURI().getQuery(), o);
        } else if (path.equals("/kv")) {
          list(x.getRequestURI().getQuery(), o);
        } else if (path.equals("/multi")) {
          status = apply(Json.parseObject(body), o);
        } else if (path.startsWith("/leases")) {
          o.put("tenure", 1);
        } else if (path.equals("/orders")) {
          String machine = machines.keySet().iterator().next();
          obey(machine, Json.parseObject(body));
          o = report(machine, machines.get(machine));
        } else {
          status = cloud(x.getRequestMethod() + " " + path, body, o);
        }
      }
    } catch (BadMessage e) {
      status = 400;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    byte[] answer = Json.bytes(o);
    x.sendResponseHeaders(status, answer.length);
    x.getResponseBody().write(answer);
    x.close();
  }

  private static String parameter(String query, String name) {
    for (String p : query.split("&")) {
      if (p.startsWith(name + "=")) {
        return p.substring(name.length() + 1);
      }
    }
    return "";
  }

  private int get(String key, ObjectNode o) {
    o.put("epoch", revision);
    Value v = data.get(key);
    if (v == null) {
      return 404;
    }
    o.put("key", key).put("mark", v.mark).set("v", v.v);
    return 200;
  }

  private void list(String query, ObjectNode o) {
    ArrayNode pairs = o.putArray("pairs");
    String under = parameter(query, "under");
    data.forEach(
        (key, v) -> {
          if (key.startsWith(under)) {
            pairs.addObject().put("key", key).put("mark", v.mark).set("v", v.v);
          }
        });
    o.put("epoch", revision).put("truncated", false);
  }

  private void follow(String query, ObjectNode o) throws InterruptedException {
    long from = Long.parseLong(parameter(query, "from"));
    String under = parameter(query, "under");
    if (revision <= from) {
      wait(FOLLOW_MS);
    }
    ArrayNode events = o.putArray("events");
    data.forEach(
        (key, v) -> {
          if (v.mark > from && key.startsWith(under)) {
            events.addObject().put("put", key).put("mark", v.mark).set("v", v.v);
          }
        });
    deleted.forEach(
        (key, mark) -> {
          if (mark > from && key.startsWith(under) && !data.containsKey(key)) {
            events.addObject().put("delete", key).put("mark", mark);
          }
        });
    o.put("epoch", revision);
  }

  private int apply(ObjectNode transaction, ObjectNode o) {
    o.put("epoch", revision);
    ArrayNode failed = o.putArray("failed");
    for (JsonNode c : transaction.path("if")) {
      Value v = data.get(c.path("key").asText());
      if (c.path("mark").asLong() != (v == null ? 0 : v.mark)) {
        failed.add(c.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      return 409;
    }
    revision++;
    for (JsonNode w : transaction.path("writes")) {
      if (w.has("put")) {
        data.put(w.get("put").asText(), new Value(w.get("v"), revision));
      } else {
        data.remove(w.get("delete").asText());
        deleted.put(w.get("delete").asText(), revision);
      }
    }
    o.put("epoch", revision);
    notifyAll();
    return 200;
  }

  private int cloud(String request, byte[] body, ObjectNode o) throws BadMessage {
    switch (request) {
      case "GET /machine_types" -> {
        ObjectNode t = o.putArray("builds").addObject();
        t.put("label", "t").put("cpus", 64.0).put("mem_gb", 64.0).put("local_gb", 50.0);
        t.put("fetch_gb_per_s", 1.0).put("price", 1.0).put("spot_price", 0.4).put("boot_s", 1.0);
        t.putArray("grounds").add("a");
      }
      case "GET /machines" -> {
        ArrayNode list = o.putArray("hearths");
        for (String m : machines.keySet()) {
          ObjectNode l = list.addObject().put("name_id", m).put("address", address());
          l.put("build", "t").put("ground", "a").put("driftwood", true);
          l.put("standing", "running").put("age_s", 1.0);
        }
        o.put("truncated", false);
      }
      case "POST /machines" -> {
        ArrayNode names = o.putArray("hearths");
        String name = "n-" + (machines.size() + 1);
        machines.put(name, new LinkedHashMap<>());
        names.add(name);
      }
      case "POST /machines/delete" ->
          Json.list(Json.parseObject(body), "hearths").forEach(n -> machines.remove(n.asText()));
      default -> {
        return 404;
      }
    }
    return 200;
  }

  private ObjectNode report(String machine, Map<String, ObjectNode> tasks) {
    ObjectNode o = Json.object();
    o.put("hearth", machine).put("address", address()).put("build", "t").put("ground", "a");
    o.put("driftwood", true).put("watch", 1).put("tally", ++sequence).put("baton", token);
    ArrayNode moves = o.putArray("moves");
    for (ObjectNode t : tasks.values()) {
      moves.add(t.deepCopy());
      if (!keeping) {
        t.put("standing", "exited").put("cause", "done");
      }
    }
    return o;
  }

  private void obey(String machine, ObjectNode message) {
    Map<String, ObjectNode> tasks = machines.get(machine);
    token = Math.max(token, message.path("baton").asLong());
    for (JsonNode o : message.path("orders")) {
      String task = o.path("move").asText();
      switch (o.path("order").asText()) {
        case "launch" ->
            tasks.put(
                task,
                Json.object()
                    .put("move", task)
                    .put("try", o.path("try").asInt())
                    .put("standing", "running"));
        case "stop" ->
            tasks.computeIfPresent(
                task, (k, t) -> t.put("standing", "exited").put("cause", "stopped"));
        default -> tasks.remove(task);
      }
    }
  }
}
