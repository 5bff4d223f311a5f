package org.mallowroad.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** A cloud; each of its machines is a thread with a worker that runs tasks. */
public final class FakeCloud implements AutoCloseable {
  /** A machine type that it offers. */
  public record MachineType(
      String name, double cpus, double memGb, double price, double bootS, List<String> zones) {}

  private final HttpServer server;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(FakeStateService::newDaemonThread);
  private final Map<String, FakeWorker> workers = new TreeMap<>();
  private final Map<String, ObjectNode> rentals = new HashMap<>();
  private final List<String> controllerAddresses;
  private final List<MachineType> types;
  private int count;

  /** Where each running task runs. */
  public final Map<String, String> machineByRunningTask = new ConcurrentHashMap<>();

  private final AtomicInteger duplicateTaskStarts = new AtomicInteger();

  /** While true every answer is 200 with something that is not JSON. */
  public volatile boolean sendsMalformedResponses;

  /** While true every rent is refused for want of capacity. */
  public volatile boolean isOutOfCapacity;

  /** The controller that no worker reaches, or -1. */
  public volatile int unreachableController = -1;

  /** Zones whose workers stand still. */
  public final Set<String> stalledZones = ConcurrentHashMap.newKeySet();

  /** How long a task runs. */
  public volatile int taskMs = 300;

  /** How long an image is fetched. */
  public volatile int fetchMs;

  /** From a rent to the worker's first report, as a part of the type's nominal boot time. */
  public volatile double bootTimeFactor;

  /** While true no task ends. */
  public volatile boolean keepsTasksRunning;

  /** Workers kill their tasks when no report was answered for so long. */
  public volatile long workerLeaseMs = 26_000;

  /** One type in two zones; the list of controllers may be filled later. */
  public FakeCloud(List<String> controllers) throws IOException {
    this(controllers, List.of(new MachineType("small", 4, 16, 1, 1, List.of("a", "b"))));
  }

  /** With the given types. */
  public FakeCloud(List<String> controllers, List<MachineType> types) throws IOException {
    this.controllerAddresses = controllers;
    this.types = types;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Where it listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** Where the controllers listen. */
  List<String> controllerAddresses() {
    return controllerAddresses;
  }

  ExecutorService executor() {
    return executor;
  }

  /** Tasks that started on a machine while they were on another. */
  public int duplicateTaskStarts() {
    return duplicateTaskStarts.get();
  }

  /** A task starts on a machine. */
  void recordTaskStart(String task, String machine) {
    if (machineByRunningTask.putIfAbsent(task, machine) != null) {
      duplicateTaskStarts.incrementAndGet();
    }
  }

  @Override
  public synchronized void close() {
    server.stop(0);
    workers.values().forEach(FakeWorker::stop);
    executor.shutdownNow();
  }

  private void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    if (sendsMalformedResponses) {
      FakeStateService.sendMalformedResponse(x);
      return;
    }
    ObjectNode o = Json.object();
    int status = 200;
    try {
      synchronized (this) {
        switch (x.getRequestMethod() + " " + x.getRequestURI().getPath()) {
          case "GET /machine_types" -> {
            ArrayNode list = o.putArray("builds");
            types.forEach(t -> type(list.addObject(), t));
          }
          case "GET /machines" -> {
            ArrayNode list = o.putArray("hearths");
            workers.values().forEach(w -> list.add(w.machineRecord()));
            o.put("truncated", false);
          }
          case "POST /machines" -> {
            if (isOutOfCapacity) {
              status = 503;
              o.put("error", "no capacity");
            } else {
              o = rented(Json.parseObject(body));
            }
          }
          case "POST /machines/delete" -> {
            for (JsonNode n : Json.parseObject(body).path("hearths")) {
              FakeWorker w = workers.remove(n.asText());
              if (w != null) {
                w.stop();
              }
            }
          }
          default -> status = 404;
        }
      }
    } catch (InvalidMessageException e) {
      status = 400;
    }
    FakeStateService.sendJson(x, status, o);
  }

  private static void type(ObjectNode o, MachineType t) {
    o.put("label", t.name).put("cpus", t.cpus).put("mem_gb", t.memGb).put("local_gb", 50.0);
    o.put("fetch_gb_per_s", 1.0).put("price", t.price).put("spot_price", 0.4 * t.price);
    o.put("boot_s", t.bootS);
    ArrayNode zones = o.putArray("grounds");
    t.zones.forEach(zones::add);
  }

  private ObjectNode rented(ObjectNode r) throws InvalidMessageException, IOException {
    String rental = Json.requiredString(r, "hire", 200);
    ObjectNode o = rentals.get(rental);
    if (o != null) {
      return o;
    }
    o = Json.object();
    ArrayNode names = o.putArray("hearths");
    String type = Json.requiredString(r, "build", 200);
    double bootS =
        types.stream()
            .filter(t -> t.name.equals(type))
            .mapToDouble(MachineType::bootS)
            .findFirst()
            .orElse(0);
    for (int i = 0; i < r.path("how_many").asInt(); i++) {
      FakeWorker w =
          new FakeWorker(
              this,
              String.format("n-%06d", ++count),
              type,
              Json.requiredString(r, "ground", 200),
              r.path("driftwood").asBoolean(),
              (long) (1000 * bootTimeFactor * bootS));
      workers.put(w.name, w);
      names.add(w.name);
      executor.execute(w);
    }
    rentals.put(rental, o);
    return o;
  }
}
