package org.mallowroad.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Models the cloud: it rents machines up to a maximum for each zone, lists them with a lag of two
 * seconds and deletes them.
 */
final class CloudModel extends Network.Party {
  /** Name of the only machine type. */
  static final String TYPE = "t8";

  static final double CPUS = 8;
  private static final long LATENCY_US = 120_000;
  private static final long LIST_LAG_MS = 2_000;
  private static final long BOOT_MS = 6_000;
  private static final byte[] ERROR_BODY =
      "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8);

  private record Rented(WorkerModel worker, long createdMs) {}

  private final EventQueue eventQueue;
  private final SplittableRandom random;
  private final List<String> zones;
  private final int maxMachinesPerZone;
  private final Function<String[], WorkerModel> workerFactory;
  private final TreeMap<String, Rented> machines = new TreeMap<>();
  private final Map<String, ObjectNode> rentalAnswers = new HashMap<>();
  private int createdCount;

  /** While true, every call gets 503. */
  boolean unavailable;

  /** While true, new machines boot within two seconds. */
  boolean quickBoots;

  private static final long MIN_QUICK_BOOT_MS = 300;
  private static final long QUICK_BOOT_SPREAD_MS = 1_700;

  /**
   * Creates a cloud without machines.
   *
   * @param maxMachinesPerZone maximum number of machines that exist at a time in each zone
   * @param workerFactory creates the worker of a new machine from the machine's name and zone
   */
  CloudModel(
      EventQueue eventQueue,
      SplittableRandom random,
      List<String> zones,
      int maxMachinesPerZone,
      Function<String[], WorkerModel> workerFactory) {
    super(Network.Kind.CLOUD, 0, "cloud", null);
    this.eventQueue = eventQueue;
    this.random = random;
    this.zones = zones;
    this.maxMachinesPerZone = maxMachinesPerZone;
    this.workerFactory = workerFactory;
  }

  private final List<WorkerModel> createdWorkers = new ArrayList<>();

  /** Returns how many images were fetched from other machines, on all machines ever created. */
  long imagesFromMachines() {
    return createdWorkers.stream().mapToLong(worker -> worker.imagesFromMachines).sum();
  }

  /** Returns the workers of all existing machines. */
  List<WorkerModel> workers() {
    List<WorkerModel> workers = new ArrayList<>();
    machines.values().forEach(rented -> workers.add(rented.worker));
    return workers;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    eventQueue.schedule(LATENCY_US, this, () -> serve(method, target, body, reply));
  }

  private void serve(String method, String target, byte[] body, Network.Reply reply) {
    if (unavailable) {
      reply.answer(503, ERROR_BODY);
      return;
    }
    ObjectNode answer = Json.object();
    int status = 200;
    try {
      if (target.equals("/machine_types")) {
        ObjectNode machineType = answer.putArray("builds").addObject();
        machineType.put("label", TYPE).put("cpus", CPUS).put("mem_gb", 64.0).put("local_gb", 50.0);
        machineType.put("fetch_gb_per_s", 1.0).put("price", 1.0).put("spot_price", 0.4);
        machineType.put("boot_s", BOOT_MS / 1000.0);
        zones.forEach(machineType.putArray("grounds")::add);
      } else if (target.equals("/machines/delete")) {
        for (JsonNode name : Json.parseObject(body).path("hearths")) {
          Rented rented = machines.remove(name.asText());
          if (rented != null) {
            rented.worker.machineGone("deleted");
          }
        }
      } else if (method.equals("GET")) {
        list(answer);
      } else {
        answer = rent(Json.parseObject(body));
        status = answer.path("hearths").isEmpty() ? 503 : 200;
      }
    } catch (InvalidMessageException e) {
      status = 400;
    }
    reply.answer(status, Json.toBytes(answer));
  }

  private void list(ObjectNode answer) {
    ArrayNode machineArray = answer.putArray("hearths");
    answer.put("truncated", false);
    for (Map.Entry<String, Rented> entry : machines.entrySet()) {
      long ageMs = eventQueue.nowMs() - entry.getValue().createdMs;
      if (ageMs >= LIST_LAG_MS) {
        WorkerModel worker = entry.getValue().worker;
        machineArray
            .addObject()
            .put("name_id", entry.getKey())
            .put("address", worker.address())
            .put("build", TYPE)
            .put("ground", worker.zone)
            .put("driftwood", false)
            .put("standing", worker.hasFailed() ? "failed" : "running")
            .put("age_s", (ageMs - LIST_LAG_MS) / 1000.0);
      }
    }
  }

  private long bootMs() {
    return quickBoots
        ? MIN_QUICK_BOOT_MS + random.nextLong(QUICK_BOOT_SPREAD_MS)
        : BOOT_MS / 2 + random.nextLong(BOOT_MS);
  }

  private ObjectNode rent(ObjectNode request) throws InvalidMessageException {
    String rental = Json.requiredString(request, "hire", 200);
    ObjectNode previousAnswer = rentalAnswers.get(rental);
    if (previousAnswer != null) {
      return previousAnswer;
    }
    String zone = Json.requiredString(request, "ground", 200);
    ObjectNode answer = Json.object();
    ArrayNode names = answer.putArray("hearths");
    long zoneMachines =
        machines.values().stream().filter(machine -> machine.worker.zone.equals(zone)).count();
    for (int i = 0;
        i < request.path("how_many").asInt() && zoneMachines < maxMachinesPerZone;
        i++, zoneMachines++) {
      String name = String.format("n-%06d", ++createdCount);
      WorkerModel worker = workerFactory.apply(new String[] {name, zone});
      createdWorkers.add(worker);
      machines.put(name, new Rented(worker, eventQueue.nowMs()));
      names.add(name);
      eventQueue.schedule(bootMs() * 1000, worker, worker::machineBooted);
    }
    if (!names.isEmpty()) {
      rentalAnswers.put(rental, answer);
    }
    return answer;
  }
}
