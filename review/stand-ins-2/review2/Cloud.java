package review2;

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
import java.util.TreeMap;

/** The cloud, as the protocol describes it. Its list of machines lags by 8 s. */
final class Cloud {
  private static final long LIST_LAG_MS = 8_000;

  /** A machine type with the time after which its machines are up and how many there are a zone. */
  record MachineType(
      String label,
      double cpus,
      double memGb,
      double price,
      long bootMs,
      int capacity,
      List<String> zones) {}

  private final World world;
  private final HttpServer server;
  private final List<MachineType> types;
  private final Map<String, ObjectNode> answersByHire = new HashMap<>();

  /** Machines that are not deleted, by name. */
  final Map<String, Worker> machines = new TreeMap<>();

  private final Map<String, Long> deletedMs = new TreeMap<>();
  private final Map<String, ObjectNode> descriptions = new TreeMap<>();
  private int machineCount;

  Cloud(World world, List<MachineType> types) throws IOException {
    this.world = world;
    this.types = types;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
    server.setExecutor(world.threads);
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    ObjectNode answer = World.JSON.createObjectNode();
    int status = 200;
    String request = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
    synchronized (this) {
      switch (request) {
        case "GET /machine_types" -> listTypes(answer.putArray("builds"));
        case "GET /machines" -> listMachines(answer, exchange.getRequestURI().getQuery());
        case "POST /machines" -> {
          ObjectNode granted = rent(World.JSON.readTree(body));
          status = granted.has("error") ? 503 : 200;
          answer = granted;
        }
        case "POST /machines/delete" -> delete(World.JSON.readTree(body));
        default -> status = 404;
      }
    }
    World.answer(exchange, status, answer);
  }

  private void listTypes(ArrayNode list) {
    for (MachineType type : types) {
      ObjectNode item = list.addObject();
      item.put("label", type.label()).put("cpus", type.cpus()).put("cards", 0.0);
      item.put("mem_gb", type.memGb()).put("local_gb", 80.0).put("fetch_gb_per_s", 0.3);
      item.put("price", type.price()).put("spot_price", 0.4 * type.price());
      item.put("boot_s", 40.0);
      ArrayNode zones = item.putArray("grounds");
      type.zones().forEach(zones::add);
    }
  }

  private void listMachines(ObjectNode answer, String query) {
    String from = "";
    int limit = 500;
    for (String parameter : query == null ? new String[0] : query.split("&")) {
      if (parameter.startsWith("from=")) {
        from = parameter.substring(5);
      } else if (parameter.startsWith("limit=")) {
        limit = Integer.parseInt(parameter.substring(6));
      }
    }
    // The list shows the machines as they were LIST_LAG_MS ago.
    long asOfMs = world.nowMs() - LIST_LAG_MS;
    ArrayNode list = answer.putArray("hearths");
    boolean truncated = false;
    for (Map.Entry<String, ObjectNode> entry : descriptions.entrySet()) {
      long rentedMs = entry.getValue().path("rented").asLong();
      long goneMs = deletedMs.getOrDefault(entry.getKey(), Long.MAX_VALUE);
      if (entry.getKey().compareTo(from) <= 0 || rentedMs > asOfMs || goneMs <= asOfMs) {
        continue;
      }
      if (list.size() == limit) {
        truncated = true;
        break;
      }
      ObjectNode item = entry.getValue().deepCopy();
      boolean up = asOfMs - rentedMs >= item.path("boot").asLong();
      item.put("standing", up ? "running" : "starting").put("age_s", (asOfMs - rentedMs) / 1000.0);
      item.remove(List.of("rented", "boot"));
      list.add(item);
    }
    answer.put("truncated", truncated);
  }

  private ObjectNode rent(JsonNode request) throws IOException {
    String hire = request.path("hire").asText();
    if (answersByHire.containsKey(hire)) {
      return answersByHire.get(hire);
    }
    MachineType type =
        types.stream().filter(t -> t.label().equals(request.path("build").asText())).findFirst()
            .orElseThrow();
    String zone = request.path("ground").asText();
    boolean spot = request.path("driftwood").asBoolean();
    long used =
        machines.values().stream().filter(m -> m.type == type && m.zone.equals(zone)).count();
    int count = (int) Math.min(request.path("how_many").asInt(), type.capacity() - used);
    ObjectNode answer = World.JSON.createObjectNode();
    world.record("rent %s %s: %d of %s", type.label(), zone, count, request.path("how_many"));
    if (count <= 0) {
      return answer.put("error", "no capacity");
    }
    ArrayNode names = answer.putArray("hearths");
    for (int i = 0; i < count; i++) {
      names.add(add(type, zone, spot).name);
    }
    answersByHire.put(hire, answer);
    return answer;
  }

  /** Prepares a worker before its machine boots. */
  interface Setup {
    void apply(Worker worker) throws IOException;
  }

  /** Adds a machine that boots now. */
  Worker add(MachineType type, String zone, boolean spot) throws IOException {
    return add(type, zone, spot, worker -> {});
  }

  /** Adds a machine that boots now, after {@code setup}. */
  synchronized Worker add(MachineType type, String zone, boolean spot, Setup setup)
      throws IOException {
    String name = String.format("n-%06d", ++machineCount);
    Worker worker = new Worker(world, name, type, zone, spot);
    setup.apply(worker);
    machines.put(name, worker);
    ObjectNode description = World.JSON.createObjectNode();
    description.put("name_id", name).put("address", worker.address()).put("build", type.label());
    description.put("ground", zone).put("driftwood", spot);
    description.put("rented", world.nowMs()).put("boot", type.bootMs());
    descriptions.put(name, description);
    worker.boot(type.bootMs());
    return worker;
  }

  private void delete(JsonNode request) {
    for (JsonNode name : request.path("hearths")) {
      Worker worker = machines.remove(name.asText());
      world.record("delete %s", name.asText());
      if (worker != null) {
        deletedMs.put(name.asText(), world.nowMs());
        worker.end();
      }
    }
  }

  /** Takes a spot machine back; the list omits it from then on. */
  synchronized void take(Worker worker) {
    if (machines.remove(worker.name) != null) {
      world.record("the cloud takes %s", worker.name);
      deletedMs.put(worker.name, world.nowMs());
      worker.end();
    }
  }

  synchronized List<Worker> workers() {
    return List.copyOf(machines.values());
  }
}
