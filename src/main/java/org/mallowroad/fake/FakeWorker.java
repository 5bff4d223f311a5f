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

/**
 * The worker of one machine: sends reports to a controller, checks fencing tokens, enforces its
 * lease and accepts direct commands.
 */
final class FakeWorker implements Runnable {
  private static final long REPORT_INTERVAL_MS = 100;

  final String name;
  private final FakeCloud cloud;
  private final String type;
  private final String zone;
  private final boolean isSpot;
  private final long bootedAtMs;
  private final HttpServer server;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
  private final Map<String, Long> nextTransitionMs = new HashMap<>();
  private final long createdAtMs = System.currentTimeMillis();
  private volatile boolean isStopped;
  private long fencingToken;
  private long incarnation = 1;
  private long sequence;
  private long lastResponseMs;
  private int controllerIndex;

  FakeWorker(FakeCloud cloud, String name, String type, String zone, boolean isSpot, long bootMs)
      throws IOException {
    this.cloud = cloud;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.isSpot = isSpot;
    this.bootedAtMs = createdAtMs + bootMs;
    this.lastResponseMs = bootedAtMs;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    server.setExecutor(cloud.executor());
    server.createContext("/orders", this::handleCommands);
    server.start();
  }

  private String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  ObjectNode machineRecord() {
    ObjectNode machine = Json.object();
    machine.put("name_id", name).put("address", address()).put("build", type).put("ground", zone);
    machine.put("driftwood", isSpot);
    machine.put("standing", System.currentTimeMillis() < bootedAtMs ? "starting" : "running");
    machine.put("age_s", (System.currentTimeMillis() - createdAtMs) / 1000.0);
    return machine;
  }

  void stop() {
    isStopped = true;
    server.stop(0);
    cloud.machineByRunningTask.values().removeIf(name::equals);
  }

  private boolean isUnresponsive() {
    return cloud.stalledZones.contains(zone) || System.currentTimeMillis() < bootedAtMs;
  }

  @Override
  public void run() {
    try {
      while (!isStopped) {
        Thread.sleep(REPORT_INTERVAL_MS);
        if (!isUnresponsive()) {
          enforceLease();
          advanceTasks();
          sendReport();
        }
      }
    } catch (InterruptedException e) {
      // The cloud was closed.
    }
  }

  /** Kills and forgets all tasks if no report was answered for the duration of the lease. */
  private synchronized void enforceLease() {
    if (System.currentTimeMillis() - lastResponseMs > cloud.workerLeaseMs) {
      cloud.machineByRunningTask.values().removeIf(name::equals);
      tasks.clear();
      incarnation++;
      lastResponseMs = System.currentTimeMillis();
    }
  }

  private synchronized void advanceTasks() {
    long nowMs = System.currentTimeMillis();
    for (Map.Entry<String, ObjectNode> entry : tasks.entrySet()) {
      ObjectNode taskState = entry.getValue();
      if (nextTransitionMs.getOrDefault(entry.getKey(), 0L) > nowMs) {
        continue;
      }
      switch (taskState.path("standing").asText()) {
        case "pulling" -> startTask(entry.getKey(), taskState, nowMs);
        case "running" -> {
          if (!cloud.keepsTasksRunning) {
            cloud.machineByRunningTask.remove(entry.getKey(), name);
            taskState.put("standing", "exited").put("cause", "done");
          }
        }
        default -> {} // An exited task stays until a command clears it.
      }
    }
  }

  private void startTask(String taskId, ObjectNode taskState, long nowMs) {
    cloud.recordTaskStart(taskId, name);
    taskState.put("standing", "running");
    nextTransitionMs.put(taskId, nowMs + cloud.taskMs);
  }

  private void sendReport() {
    byte[] body;
    long sentMs = System.currentTimeMillis();
    synchronized (this) {
      body = Json.toBytes(currentState());
    }
    if (controllerIndex == cloud.unreachableController) {
      controllerIndex = (controllerIndex + 1) % cloud.controllerAddresses().size();
    }
    ObjectNode response = postReport(cloud.controllerAddresses().get(controllerIndex), body);
    if (response == null || !applyCommands(response, sentMs)) {
      controllerIndex = (controllerIndex + 1) % cloud.controllerAddresses().size();
    }
  }

  private static ObjectNode postReport(String controller, byte[] body) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + controller + "/v1/report").toURL().openConnection();
      connection.setConnectTimeout(2_000);
      connection.setReadTimeout(4_000);
      connection.setDoOutput(true);
      connection.getOutputStream().write(body);
      if (connection.getResponseCode() != 200) {
        return null;
      }
      try (var responseStream = connection.getInputStream()) {
        return Json.parseObject(responseStream.readAllBytes());
      }
    } catch (IOException | InvalidMessageException e) {
      return null;
    }
  }

  private ObjectNode currentState() {
    ObjectNode state = Json.object();
    state.put("hearth", name).put("address", address()).put("build", type).put("ground", zone);
    state
        .put("driftwood", isSpot)
        .put("watch", incarnation)
        .put("tally", ++sequence)
        .put("baton", fencingToken);
    ArrayNode moves = state.putArray("moves");
    tasks.values().forEach(taskState -> moves.add(taskState.deepCopy()));
    return state;
  }

  /** Handles commands that a controller sends directly; they do not renew the lease. */
  private void handleCommands(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      ObjectNode request = Json.parseObject(body);
      ObjectNode response;
      boolean isAccepted;
      synchronized (this) {
        isAccepted =
            !isStopped
                && !isUnresponsive()
                && request.path("watch").asLong() == incarnation
                && applyCommands(request, 0);
        response = currentState();
      }
      FakeStateService.sendJson(exchange, isAccepted ? 200 : 409, response);
    } catch (InvalidMessageException e) {
      FakeStateService.sendJson(exchange, 400, Json.object());
    }
  }

  /**
   * Applies the commands of a message unless its fencing token is missing or older than the newest
   * one seen, or the worker is stopped; returns whether they were applied.
   */
  private synchronized boolean applyCommands(ObjectNode message, long sentMs) {
    if (!message.has("baton") || message.path("baton").asLong() < fencingToken || isStopped) {
      return false;
    }
    fencingToken = message.path("baton").asLong();
    lastResponseMs = Math.max(lastResponseMs, sentMs);
    List<JsonNode> commands = new ArrayList<>();
    message.path("orders").forEach(commands::add);
    for (JsonNode command : commands) {
      String taskId = command.path("move").asText();
      ObjectNode taskState = tasks.get(taskId);
      switch (command.path("order").asText()) {
        case "launch" -> {
          if (taskState == null) {
            taskState = Json.object().put("move", taskId).put("try", command.path("try").asInt());
            tasks.put(taskId, taskState.put("standing", "pulling"));
            long nowMs = System.currentTimeMillis();
            nextTransitionMs.put(taskId, nowMs + cloud.fetchMs);
            if (cloud.fetchMs == 0) {
              startTask(taskId, taskState, nowMs);
            }
          }
        }
        case "stop" -> {
          if (taskState != null && !taskState.path("standing").asText().equals("exited")) {
            cloud.machineByRunningTask.remove(taskId, name);
            taskState.put("standing", "exited").put("cause", "stopped");
          }
        }
        default -> {
          tasks.remove(taskId);
          nextTransitionMs.remove(taskId);
        }
      }
    }
    return true;
  }
}
