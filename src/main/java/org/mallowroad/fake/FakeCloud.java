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

/** A cloud on loopback; each rented machine is a thread with a worker that simulates tasks. */
public final class FakeCloud implements AutoCloseable {
  /** A machine type that the cloud offers; {@code bootS} is its nominal boot time in s. */
  public record MachineType(
      String name, double cpus, double memGb, double price, double bootS, List<String> zones) {}

  private final HttpServer server;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(FakeStateService::newDaemonThread);
  private final Map<String, FakeWorker> workers = new TreeMap<>();

  /** The response to each rental by its ID, so that a repeated request rents no more machines. */
  private final Map<String, ObjectNode> responseByRental = new HashMap<>();

  private final List<String> controllerAddresses;
  private final List<MachineType> machineTypes;
  private int machineCount;

  /** The name of the machine that each running task runs on, by task. */
  public final Map<String, String> machineByRunningTask = new ConcurrentHashMap<>();

  private final AtomicInteger duplicateTaskStarts = new AtomicInteger();

  /** While true, every response has status 200 and a body that is not JSON. */
  public volatile boolean sendsMalformedResponses;

  /** While true, every rental is refused with status 503 for lack of capacity. */
  public volatile boolean isOutOfCapacity;

  /** The index of the controller that no worker can reach; -1 for none. */
  public volatile int unreachableController = -1;

  /** Zones whose workers hang: they send no reports, refuse commands and advance no task. */
  public final Set<String> stalledZones = ConcurrentHashMap.newKeySet();

  /** The run time of a task in ms. */
  public volatile int taskMs = 300;

  /** The time in ms that a worker takes to fetch an image. */
  public volatile int fetchMs;

  /**
   * The time from a rental to the worker's first report, as a fraction of the nominal boot time of
   * the machine type.
   */
  public volatile double bootTimeFactor;

  /** While true, no task exits on its own. */
  public volatile boolean keepsTasksRunning;

  /** Workers kill their tasks after this time in ms without an answer to a report. */
  public volatile long workerLeaseMs = 26_000;

  /**
   * Offers one machine type in two zones. The list of controller addresses may be filled after the
   * call.
   */
  public FakeCloud(List<String> controllers) throws IOException {
    this(controllers, List.of(new MachineType("small", 4, 16, 1, 1, List.of("a", "b"))));
  }

  /** Offers the given machine types. */
  public FakeCloud(List<String> controllers, List<MachineType> types) throws IOException {
    this.controllerAddresses = controllers;
    this.machineTypes = types;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  /** The port that the cloud listens on. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** The addresses of the controllers, as host:port. */
  List<String> controllerAddresses() {
    return controllerAddresses;
  }

  ExecutorService executor() {
    return executor;
  }

  /** The number of task starts while the same task was already running on a machine. */
  public int duplicateTaskStarts() {
    return duplicateTaskStarts.get();
  }

  /** Records that a task starts on a machine. */
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

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    if (sendsMalformedResponses) {
      FakeStateService.sendMalformedResponse(exchange);
      return;
    }
    ObjectNode response = Json.object();
    int status = 200;
    try {
      synchronized (this) {
        switch (exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath()) {
          case "GET /machine_types" -> {
            ArrayNode list = response.putArray("builds");
            machineTypes.forEach(machineType -> writeMachineType(list.addObject(), machineType));
          }
          case "GET /machines" -> {
            ArrayNode list = response.putArray("hearths");
            workers.values().forEach(worker -> list.add(worker.machineRecord()));
            response.put("truncated", false);
          }
          case "POST /machines" -> {
            if (isOutOfCapacity) {
              status = 503;
              response.put("error", "no capacity");
            } else {
              response = rent(Json.parseObject(body));
            }
          }
          case "POST /machines/delete" -> {
            for (JsonNode machineName : Json.parseObject(body).path("hearths")) {
              FakeWorker worker = workers.remove(machineName.asText());
              if (worker != null) {
                worker.stop();
              }
            }
          }
          default -> status = 404;
        }
      }
    } catch (InvalidMessageException e) {
      status = 400;
    }
    FakeStateService.sendJson(exchange, status, response);
  }

  private static void writeMachineType(ObjectNode json, MachineType machineType) {
    json.put("label", machineType.name)
        .put("cpus", machineType.cpus)
        .put("mem_gb", machineType.memGb)
        .put("local_gb", 50.0);
    json.put("fetch_gb_per_s", 1.0)
        .put("price", machineType.price)
        .put("spot_price", 0.4 * machineType.price);
    json.put("boot_s", machineType.bootS);
    ArrayNode zones = json.putArray("grounds");
    machineType.zones.forEach(zones::add);
  }

  private ObjectNode rent(ObjectNode request) throws InvalidMessageException, IOException {
    String rentalId = Json.requiredString(request, "hire", 200);
    ObjectNode response = responseByRental.get(rentalId);
    if (response != null) {
      return response;
    }
    response = Json.object();
    ArrayNode machineNames = response.putArray("hearths");
    String type = Json.requiredString(request, "build", 200);
    double bootS =
        machineTypes.stream()
            .filter(machineType -> machineType.name.equals(type))
            .mapToDouble(MachineType::bootS)
            .findFirst()
            .orElse(0);
    for (int i = 0; i < request.path("how_many").asInt(); i++) {
      FakeWorker worker =
          new FakeWorker(
              this,
              String.format("n-%06d", ++machineCount),
              type,
              Json.requiredString(request, "ground", 200),
              request.path("driftwood").asBoolean(),
              (long) (1000 * bootTimeFactor * bootS));
      workers.put(worker.name, worker);
      machineNames.add(worker.name);
      executor.execute(worker);
    }
    responseByRental.put(rentalId, response);
    return response;
  }
}
