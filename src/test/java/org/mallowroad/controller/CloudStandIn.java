package org.mallowroad.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Json;

/** A cloud of our own for the tests; its machines are threads with workers that run tasks. */
final class CloudStandIn implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final Map<String, Worker> workers = new TreeMap<>();
  private final Map<String, ObjectNode> hires = new HashMap<>();
  private final List<String> controllers;
  private int count;

  /** Times a task started while it ran elsewhere; a rule that must never break. */
  final Map<String, String> running = new ConcurrentHashMap<>();

  volatile int ranTwice;

  /** While true every answer is 200 with something that is not JSON. */
  volatile boolean garbled;

  /** The controller that no worker reaches, or -1. */
  volatile int cutFrom = -1;

  volatile int taskMs = 300;

  CloudStandIn(List<String> controllers) throws IOException {
    this.controllers = controllers;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(pool);
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  @Override
  public synchronized void close() {
    server.stop(0);
    workers.values().forEach(w -> w.gone = true);
    pool.shutdownNow();
  }

  private synchronized void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    ObjectNode o = Json.object();
    if (garbled) {
      StateStandIn.garble(x);
      return;
    }
    try {
      switch (x.getRequestURI().getPath()) {
        case "/machine_types" -> {
          ObjectNode t = o.putArray("builds").addObject();
          t.put("label", "small").put("cpus", 4.0).put("mem_gb", 16.0).put("local_gb", 50.0);
          t.put("fetch_gb_per_s", 1.0).put("price", 1.0).put("spot_price", 0.4).put("boot_s", 1.0);
          t.putArray("grounds").add("a").add("b");
        }
        case "/machines/delete" -> {
          for (JsonNode n : Json.parseObject(body).path("hearths")) {
            Worker w = workers.remove(n.asText());
            if (w != null) {
              w.end();
            }
          }
        }
        case "/machines" -> {
          if (x.getRequestMethod().equals("GET")) {
            ArrayNode list = o.putArray("hearths");
            workers.values().forEach(w -> list.add(w.listed()));
            o.put("truncated", false);
          } else {
            o =
                hires.computeIfAbsent(
                    Json.parseObject(body).path("hire").asText(), k -> rent(body));
          }
        }
        default -> {
          StateStandIn.send(x, 404, o);
          return;
        }
      }
      StateStandIn.send(x, 200, o);
    } catch (BadMessage e) {
      StateStandIn.send(x, 400, o);
    }
  }

  private ObjectNode rent(byte[] body) {
    ObjectNode o = Json.object();
    try {
      ObjectNode r = Json.parseObject(body);
      ArrayNode names = o.putArray("hearths");
      for (int i = 0; i < r.path("how_many").asInt(); i++) {
        Worker w =
            new Worker(
                String.format("n-%06d", ++count),
                r.path("ground").asText(),
                r.path("driftwood").asBoolean());
        workers.put(w.name, w);
        names.add(w.name);
        pool.execute(w);
      }
    } catch (BadMessage e) {
      o.put("error", "malformed");
    }
    return o;
  }

  /** One machine's worker, as the protocol says as far as the tests need it. */
  private final class Worker implements Runnable {
    private final String name;
    private final String zone;
    private final boolean spot;
    private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
    private final Map<String, Long> ends = new HashMap<>();
    private volatile boolean gone;
    private long token;
    private long seq;
    private int at;

    Worker(String name, String zone, boolean spot) {
      this.name = name;
      this.zone = zone;
      this.spot = spot;
    }

    ObjectNode listed() {
      ObjectNode o = Json.object();
      o.put("name_id", name).put("address", "127.0.0.1:1").put("build", "small");
      o.put("ground", zone).put("driftwood", spot).put("standing", "running").put("age_s", 1.0);
      return o;
    }

    void end() {
      gone = true;
      running.values().removeIf(name::equals);
    }

    @Override
    public void run() {
      HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      while (!gone) {
        try {
          Thread.sleep(100);
          work();
          if (at == cutFrom) {
            at = (at + 1) % controllers.size();
          }
          HttpResponse<byte[]> r =
              http.send(
                  HttpRequest.newBuilder(URI.create("http://" + controllers.get(at) + "/v1/report"))
                      .timeout(Duration.ofSeconds(2))
                      .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(report())))
                      .build(),
                  HttpResponse.BodyHandlers.ofByteArray());
          if (r.statusCode() == 200) {
            obey(Json.parseObject(r.body()));
          } else {
            at = (at + 1) % controllers.size();
          }
        } catch (IOException | BadMessage e) {
          at = (at + 1) % controllers.size();
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private ObjectNode report() {
      ObjectNode o = Json.object();
      o.put("hearth", name).put("address", "127.0.0.1:1").put("build", "small");
      o.put("ground", zone).put("driftwood", spot).put("watch", 1).put("tally", ++seq);
      o.put("baton", token);
      ArrayNode moves = o.putArray("moves");
      tasks.values().forEach(moves::add);
      return o;
    }

    private void work() {
      long now = System.currentTimeMillis();
      for (ObjectNode t : tasks.values()) {
        String task = t.path("move").asText();
        if (t.path("standing").asText().equals("running") && ends.get(task) <= now) {
          running.remove(task, name);
          t.put("standing", "exited").put("cause", "done");
        }
      }
    }

    private void obey(ObjectNode r) {
      if (r.path("baton").asLong() < token || gone) {
        return;
      }
      token = r.path("baton").asLong();
      for (JsonNode o : r.path("orders")) {
        String task = o.path("move").asText();
        switch (o.path("order").asText()) {
          case "launch" -> {
            if (!tasks.containsKey(task)) {
              if (running.putIfAbsent(task, name) != null) {
                ranTwice++;
              }
              ObjectNode t = Json.object();
              t.put("move", task).put("try", o.path("try").asInt()).put("standing", "running");
              tasks.put(task, t);
              ends.put(task, System.currentTimeMillis() + taskMs);
            }
          }
          case "stop" -> {
            ObjectNode t = tasks.get(task);
            if (t != null && t.path("standing").asText().equals("running")) {
              running.remove(task, name);
              t.put("standing", "exited").put("cause", "stopped");
            }
          }
          default -> tasks.remove(task);
        }
      }
    }
  }
}
