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

/** The cloud: rents with a bound for each zone, lists late, deletes. */
final class CloudModel extends Network.Party {
  /** Its one machine type. */
  static final String TYPE = "t8";

  static final double CPUS = 8;
  private static final long CALL_US = 120_000;
  private static final long LIST_LAG_MS = 2_000;
  private static final long BOOT_MS = 6_000;
  private static final byte[] TROUBLE = "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8);

  private record Rented(WorkerModel worker, long bornMs) {}

  private final EventQueue time;
  private final SplittableRandom random;
  private final List<String> zones;
  private final int maxMachinesPerZone;
  private final Function<String[], WorkerModel> workerFactory;
  private final TreeMap<String, Rented> machines = new TreeMap<>();
  private final Map<String, ObjectNode> rentals = new HashMap<>();
  private int count;

  /** Every call gets 503. */
  boolean unavailable;

  /** New machines are up within two seconds. */
  boolean quickBoots;

  private static final long QUICK_BOOT_MS = 300;
  private static final long MOST_QUICK_BOOT_MS = 1_700;

  /** For at most so many machines in each zone; {@code maker} gets name and zone. */
  CloudModel(
      EventQueue time,
      SplittableRandom random,
      List<String> zones,
      int most,
      Function<String[], WorkerModel> maker) {
    super(Network.Kind.CLOUD, 0, "cloud", null);
    this.time = time;
    this.random = random;
    this.zones = zones;
    this.maxMachinesPerZone = most;
    this.workerFactory = maker;
  }

  private final List<WorkerModel> all = new ArrayList<>();

  /** Images that came from another machine, on all machines that there ever were. */
  long imagesFromMachines() {
    return all.stream().mapToLong(w -> w.imagesFromMachines).sum();
  }

  /** The workers of all machines that it has. */
  List<WorkerModel> workers() {
    List<WorkerModel> out = new ArrayList<>();
    machines.values().forEach(r -> out.add(r.worker));
    return out;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    time.schedule(CALL_US, this, () -> serve(method, target, body, reply));
  }

  private void serve(String method, String target, byte[] body, Network.Reply reply) {
    if (unavailable) {
      reply.answer(503, TROUBLE);
      return;
    }
    ObjectNode o = Json.object();
    int status = 200;
    try {
      if (target.equals("/machine_types")) {
        ObjectNode t = o.putArray("builds").addObject();
        t.put("label", TYPE).put("cpus", CPUS).put("mem_gb", 64.0).put("local_gb", 50.0);
        t.put("fetch_gb_per_s", 1.0).put("price", 1.0).put("spot_price", 0.4);
        t.put("boot_s", BOOT_MS / 1000.0);
        zones.forEach(t.putArray("grounds")::add);
      } else if (target.equals("/machines/delete")) {
        for (JsonNode n : Json.parseObject(body).path("hearths")) {
          Rented r = machines.remove(n.asText());
          if (r != null) {
            r.worker.machineGone("deleted");
          }
        }
      } else if (method.equals("GET")) {
        list(o);
      } else {
        o = rent(Json.parseObject(body));
        status = o.path("hearths").isEmpty() ? 503 : 200;
      }
    } catch (InvalidMessageException e) {
      status = 400;
    }
    reply.answer(status, Json.toBytes(o));
  }

  private void list(ObjectNode o) {
    ArrayNode list = o.putArray("hearths");
    o.put("truncated", false);
    for (Map.Entry<String, Rented> e : machines.entrySet()) {
      long age = time.nowMs() - e.getValue().bornMs;
      if (age >= LIST_LAG_MS) {
        WorkerModel w = e.getValue().worker;
        list.addObject()
            .put("name_id", e.getKey())
            .put("address", w.address())
            .put("build", TYPE)
            .put("ground", w.zone)
            .put("driftwood", false)
            .put("standing", w.isAlive() ? "running" : "failed")
            .put("age_s", (age - LIST_LAG_MS) / 1000.0);
      }
    }
  }

  private long bootMs() {
    return quickBoots
        ? QUICK_BOOT_MS + random.nextLong(MOST_QUICK_BOOT_MS)
        : BOOT_MS / 2 + random.nextLong(BOOT_MS);
  }

  private ObjectNode rent(ObjectNode r) throws InvalidMessageException {
    String rental = Json.requiredString(r, "hire", 200);
    ObjectNode known = rentals.get(rental);
    if (known != null) {
      return known;
    }
    String zone = Json.requiredString(r, "ground", 200);
    ObjectNode o = Json.object();
    ArrayNode names = o.putArray("hearths");
    long there = machines.values().stream().filter(m -> m.worker.zone.equals(zone)).count();
    for (int i = 0; i < r.path("how_many").asInt() && there < maxMachinesPerZone; i++, there++) {
      String name = String.format("n-%06d", ++count);
      WorkerModel w = workerFactory.apply(new String[] {name, zone});
      all.add(w);
      machines.put(name, new Rented(w, time.nowMs()));
      names.add(name);
      time.schedule(bootMs() * 1000, w, w::machineBooted);
    }
    if (!names.isEmpty()) {
      rentals.put(rental, o);
    }
    return o;
  }
}
