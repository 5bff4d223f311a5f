package org.mallowroad.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** One machine's worker: reports, obeys tokens and its lease, takes direct orders. */
final class FakeWorker implements Runnable {
  private static final long REPORT_MS = 100;

  final String name;
  private final FakeCloud cloud;
  private final String type;
  private final String zone;
  private final boolean spot;
  private final long upMs;
  private final HttpServer server;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
  private final Map<String, Long> next = new HashMap<>();
  private final long bornMs = System.currentTimeMillis();
  private volatile boolean gone;
  private long fencingToken;
  private long incarnation = 1;
  private long sequence;
  private long lastAnswerMs;
  private int at;

  FakeWorker(FakeCloud cloud, String name, String type, String zone, boolean spot, long bootMs)
      throws IOException {
    this.cloud = cloud;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.upMs = bornMs + bootMs;
    this.lastAnswerMs = upMs;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    server.setExecutor(cloud.executor());
    server.createContext("/orders", this::commands);
    server.start();
  }

  private String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  ObjectNode machineRecord() {
    ObjectNode o = Json.object();
    o.put("name_id", name).put("address", address()).put("build", type).put("ground", zone);
    o.put("driftwood", spot);
    o.put("standing", System.currentTimeMillis() < upMs ? "starting" : "running");
    o.put("age_s", (System.currentTimeMillis() - bornMs) / 1000.0);
    return o;
  }

  void stop() {
    gone = true;
    server.stop(0);
    cloud.machineByRunningTask.values().removeIf(name::equals);
  }

  private boolean still() {
    return cloud.stalledZones.contains(zone) || System.currentTimeMillis() < upMs;
  }

  @Override
  public void run() {
    try {
      while (!gone) {
        Thread.sleep(REPORT_MS);
        if (!still()) {
          lease();
          work();
          report();
        }
      }
    } catch (InterruptedException e) {
      // The cloud is closed.
    }
  }

  /** Without an answer for its lease's time a worker kills and forgets all it has. */
  private synchronized void lease() {
    if (System.currentTimeMillis() - lastAnswerMs > cloud.workerLeaseMs) {
      cloud.machineByRunningTask.values().removeIf(name::equals);
      tasks.clear();
      incarnation++;
      lastAnswerMs = System.currentTimeMillis();
    }
  }

  private synchronized void work() {
    long now = System.currentTimeMillis();
    for (Map.Entry<String, ObjectNode> e : tasks.entrySet()) {
      ObjectNode t = e.getValue();
      if (next.getOrDefault(e.getKey(), 0L) > now) {
        continue;
      }
      switch (t.path("standing").asText()) {
        case "pulling" -> runs(e.getKey(), t, now);
        case "running" -> {
          if (!cloud.keepsTasksRunning) {
            cloud.machineByRunningTask.remove(e.getKey(), name);
            t.put("standing", "exited").put("cause", "done");
          }
        }
        default -> {} // Exited until it is cleared.
      }
    }
  }

  private void runs(String task, ObjectNode t, long now) {
    cloud.recordTaskStart(task, name);
    t.put("standing", "running");
    next.put(task, now + cloud.taskMs);
  }

  private void report() {
    byte[] body;
    long sentMs = System.currentTimeMillis();
    synchronized (this) {
      body = Json.toBytes(state());
    }
    if (at == cloud.unreachableController) {
      at = (at + 1) % cloud.controllerAddresses().size();
    }
    ObjectNode answer = send(cloud.controllerAddresses().get(at), body);
    if (answer == null || !obey(answer, sentMs)) {
      at = (at + 1) % cloud.controllerAddresses().size();
    }
  }

  private static ObjectNode send(String controller, byte[] body) {
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://" + controller + "/v1/report").toURL().openConnection();
      c.setConnectTimeout(2_000);
      c.setReadTimeout(4_000);
      c.setDoOutput(true);
      c.getOutputStream().write(body);
      if (c.getResponseCode() != 200) {
        return null;
      }
      try (var in = c.getInputStream()) {
        return Json.parseObject(in.readAllBytes());
      }
    } catch (IOException | InvalidMessageException e) {
      return null;
    }
  }

  private ObjectNode state() {
    ObjectNode o = Json.object();
    o.put("hearth", name).put("address", address()).put("build", type).put("ground", zone);
    o.put("driftwood", spot)
        .put("watch", incarnation)
        .put("tally", ++sequence)
        .put("baton", fencingToken);
    ArrayNode moves = o.putArray("moves");
    tasks.values().forEach(t -> moves.add(t.deepCopy()));
    return o;
  }

  /** Orders sent straight here; they renew no lease. */
  private void commands(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    try {
      ObjectNode o = Json.parseObject(body);
      ObjectNode answer;
      boolean obeys;
      synchronized (this) {
        obeys = !gone && !still() && o.path("watch").asLong() == incarnation && obey(o, 0);
        answer = state();
      }
      FakeStateService.sendJson(x, obeys ? 200 : 409, answer);
    } catch (InvalidMessageException e) {
      FakeStateService.sendJson(x, 400, Json.object());
    }
  }

  /** False when the message is of an earlier term. */
  private synchronized boolean obey(ObjectNode r, long sentMs) {
    if (!r.has("baton") || r.path("baton").asLong() < fencingToken || gone) {
      return false;
    }
    fencingToken = r.path("baton").asLong();
    lastAnswerMs = Math.max(lastAnswerMs, sentMs);
    List<JsonNode> all = new ArrayList<>();
    r.path("orders").forEach(all::add);
    for (JsonNode o : all) {
      String task = o.path("move").asText();
      ObjectNode t = tasks.get(task);
      switch (o.path("order").asText()) {
        case "launch" -> {
          if (t == null) {
            t = Json.object().put("move", task).put("try", o.path("try").asInt());
            tasks.put(task, t.put("standing", "pulling"));
            long now = System.currentTimeMillis();
            next.put(task, now + cloud.fetchMs);
            if (cloud.fetchMs == 0) {
              runs(task, t, now);
            }
          }
        }
        case "stop" -> {
          if (t != null && !t.path("standing").asText().equals("exited")) {
            cloud.machineByRunningTask.remove(task, name);
            t.put("standing", "exited").put("cause", "stopped");
          }
        }
        default -> {
          tasks.remove(task);
          next.remove(task);
        }
      }
    }
    return true;
  }
}
