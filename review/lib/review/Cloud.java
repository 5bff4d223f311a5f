package review;

import com.sun.net.httpserver.HttpServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL-mallowroad.md, with a list that lags. */
final class Cloud {
  private record Snapshot(long ns, List<Map<String, Object>> machines) {}

  private final Deployment deployment;
  private final HttpServer server;
  private final Bucket calls;
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Worker> dying = new TreeMap<>();
  private final Map<String, Http.Response> rentals = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private int created = 100;

  /** Requests that rented machines, and machines that were deleted. */
  volatile int rentalRequests;

  volatile int deletedMachines;
  volatile boolean down;

  Cloud(Deployment deployment) {
    this.deployment = deployment;
    this.calls = new Bucket(2 * deployment.settings.cloudRps);
    this.server = Http.serve(this::handle);
    Thread lister = new Thread(this::takeSnapshots, "cloud-list");
    lister.setDaemon(true);
    lister.start();
  }

  String address() {
    return Http.HOST + ":" + server.getAddress().getPort();
  }

  synchronized List<Worker> workers() {
    return new ArrayList<>(machines.values());
  }

  synchronized Worker create(Settings.Build build, String zone, boolean spot, double bootS) {
    String name = String.format("n-%06d", ++created);
    Worker worker = new Worker(deployment, name, build, zone, spot, bootS);
    machines.put(name, worker);
    return worker;
  }

  /**
   * The machine stops with all that is on it. It stays listed as running for about 30 s more, unless
   * it is deleted before.
   */
  synchronized void lose(Worker worker) {
    machines.remove(worker.name);
    dying.put(worker.name, worker);
    worker.destroy();
    Http.pool()
        .execute(
            () -> {
              StateService.sleep(30_000);
              synchronized (this) {
                dying.remove(worker.name);
              }
            });
  }

  private void takeSnapshots() {
    while (true) {
      synchronized (this) {
        long now = System.nanoTime();
        List<Map<String, Object>> list = new ArrayList<>();
        TreeMap<String, Worker> listed = new TreeMap<>(machines);
        listed.putAll(dying);
        for (Worker worker : listed.values()) {
          list.add(
              Json.of(
                  "name_id", worker.name, "address", worker.address(), "build",
                  worker.build.name(), "ground", worker.zone, "driftwood", worker.spot, "standing",
                  worker.isUp() ? "running" : "starting", "age_s",
                  (now - worker.rentedNs) / 1e9));
        }
        snapshots.add(new Snapshot(now, list));
        while (snapshots.size() > 1
            && now - snapshots.peek().ns > deployment.settings.listLagS * 1e9) {
          snapshots.poll();
        }
      }
      StateService.sleep(500);
    }
  }

  private Http.Response handle(String method, String target, String body) {
    StateService.sleep(50);
    String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
    if (down) {
      return Http.json(503, Json.of("error", "trouble"));
    }
    if (!calls.take(1)) {
      return Http.json(429, Json.of("error", "too many requests"));
    }
    synchronized (this) {
      switch (method + " " + path) {
        case "GET /machine_types":
          return Http.json(200, Json.of("builds", types()));
        case "GET /machines":
          return list(StateService.query(target));
        case "POST /machines":
          return rent(Json.object(body));
        case "POST /machines/delete":
          return delete(body);
        default:
          return Http.json(400, Json.of("error", "no such path"));
      }
    }
  }

  private List<Object> types() {
    List<Object> builds = new ArrayList<>();
    for (Settings.Build build : deployment.settings.builds) {
      builds.add(
          Json.of(
              "label", build.name(), "cpus", build.cpus(), "cards", 0.0, "mem_gb", build.memGb(),
              "local_gb", build.localGb(), "fetch_gb_per_s", build.fetchGbPerS(), "price",
              build.price(), "spot_price", build.price() * 0.4, "boot_s", build.bootS(), "grounds",
              deployment.settings.zones));
    }
    return builds;
  }

  private Http.Response list(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    List<Object> listed = new ArrayList<>();
    boolean truncated = false;
    for (Map<String, Object> machine : snapshots.peek().machines) {
      if (Json.str(machine, "name_id").compareTo(from) > 0) {
        if (listed.size() >= limit) {
          truncated = true;
          break;
        }
        listed.add(machine);
      }
    }
    return Http.json(200, Json.of("hearths", listed, "truncated", truncated));
  }

  private Http.Response rent(Map<String, Object> request) {
    String hire = Json.str(request, "hire");
    rentalRequests++;
    if (rentals.containsKey(hire)) {
      return rentals.get(hire);
    }
    long wanted = Json.num(request, "how_many");
    if (wanted < 1 || wanted > 50) {
      return Http.json(400, Json.of("error", "how_many"));
    }
    Settings.Build build = null;
    for (Settings.Build offered : deployment.settings.builds) {
      build = offered.name().equals(Json.str(request, "build")) ? offered : build;
    }
    if (build == null) {
      return Http.json(400, Json.of("error", "build"));
    }
    String label = build.name();
    long rented = machines.values().stream().filter(w -> w.build.name().equals(label)).count();
    int count = (int) Math.min(wanted, build.count() - rented);
    if (count <= 0) {
      return Http.json(503, Json.of("error", "no capacity"));
    }
    List<Object> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean spot = Boolean.TRUE.equals(request.get("driftwood"));
      double bootS = build.bootS() * (0.8 + 0.4 * Math.random());
      names.add(create(build, Json.str(request, "ground"), spot, bootS).name);
    }
    deployment.record.log("cloud", "rented " + names + " for " + Json.write(request));
    Http.Response response = Http.json(200, Json.of("hearths", names));
    rentals.put(hire, response);
    return response;
  }

  @SuppressWarnings("unchecked")
  private Http.Response delete(String body) {
    List<Object> names = (List<Object>) Json.object(body).get("hearths");
    deployment.record.log("cloud", "deleted " + names);
    deletedMachines += names.size();
    for (Object name : names) {
      dying.remove(name.toString());
      Worker worker = machines.remove(name.toString());
      if (worker != null) {
        worker.destroy();
      }
    }
    return Http.json(200, Json.of());
  }
}
