package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.mallowroad.fake.FakeStateService;

/**
 * A small deployment on loopback: controllers as separate processes, started with the command of
 * the deploy file; the project's own stand-in of the state service; a cloud, workers and users of
 * this review. Everything that happens is written to the record file of the case.
 */
final class World implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** The longest time a case may run. */
  private static final long WATCHDOG_MS = 116_000;

  private static int nextPort;

  final long startNs = System.nanoTime();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(threads)
          .build();
  final FakeStateService state;
  final Cloud cloud;
  final Tasks tasks = new Tasks(this);

  /** What users submitted, by job; workers fetch a job's description from here. */
  final Map<String, ObjectNode> jobs = new ConcurrentHashMap<>();

  /** The run times of a job's tasks in s, by job; the owner's estimate where there are none. */
  final Map<String, double[]> runS = new ConcurrentHashMap<>();

  /** The names of the controllers. */
  final List<String> nodes = new ArrayList<>();

  final List<Integer> listenPorts = new ArrayList<>();

  /** The proxies between workers and controllers, in the order of the controllers. */
  final List<HoldingProxy> workerProxies = new ArrayList<>();

  final List<Process> processes = new ArrayList<>();

  /** What the stand-ins noticed of messages beyond the protocol's sizes. */
  final List<String> findings = java.util.Collections.synchronizedList(new ArrayList<>());

  private final List<Integer> peerPorts = new ArrayList<>();
  private final PrintWriter record;
  private final Path temp;
  private final Settings settings;

  /** The settings in which the cases differ; the others are those of the head office's page. */
  static final class Settings {
    int controllers = 3;
    List<String> zones = List.of("puget-north", "puget-south", "willamette");
    String teams = "";
    double reportS = 3.0;
    double leaseS = 26.0;
    double cancelS = 51.0;

    Settings team(String name, double cpus, double cpusMax) {
      teams +=
          String.format(
              Locale.ROOT,
              "[[params.teams]]%nname = \"%s\"%ncpus = %.1f%ncpus_max = %.1f%n"
                  + "gpus = 0.0%ngpus_max = 0.0%n%n",
              name,
              cpus,
              cpusMax);
      return this;
    }
  }

  World(String caseFolder, Settings settings, List<Cloud.MachineType> types) throws IOException {
    this.settings = settings;
    this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
    this.temp = Files.createTempDirectory("review-2-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    threads.execute(
        () -> {
          sleep(WATCHDOG_MS);
          record("the case took too long");
          close();
          Runtime.getRuntime().halt(NOT_RUN);
        });
    this.state = new FakeStateService();
    this.cloud = new Cloud(this, types);
    for (int i = 0; i < settings.controllers; i++) {
      nodes.add("hearth-" + i);
      listenPorts.add(freePort());
      peerPorts.add(freePort());
      workerProxies.add(new HoldingProxy(this, listenPorts.get(i)));
    }
    record("trouble=%s", trouble);
  }

  /**
   * A free port below the usual range of outgoing connections, so that none of them takes it before
   * the controller listens on it; from a block of this process, so that no run beside it does.
   */
  static int freePort() throws IOException {
    int first = 12_000 + (int) (ProcessHandle.current().pid() % 600) * 30;
    while (nextPort < 30) {
      int port = first + nextPort++;
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (IOException e) {
        // In use; the next one is tried.
      }
    }
    throw new IOException("no free port");
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  void record(String format, Object... arguments) {
    String line = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    synchronized (record) {
      record.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, line);
    }
  }

  /** Starts all controllers and waits until one of them leads and all are healthy. */
  void startControllers() throws IOException {
    for (int i = 0; i < nodes.size(); i++) {
      processes.add(startController(i));
    }
    long deadline = nowMs() + 30_000;
    for (int i = 0; i < nodes.size(); i++) {
      while (!isHealthy(i)) {
        if (nowMs() > deadline) {
          throw new IOException("controller " + i + " is not healthy");
        }
        sleep(100);
      }
    }
    while (state.leaderName() == null) {
      if (nowMs() > deadline) {
        throw new IOException("no leader");
      }
      sleep(50);
    }
    record("controllers are up, leader=%s", state.leaderName());
  }

  private Process startController(int index) throws IOException {
    Path file = temp.resolve(nodes.get(index) + ".toml");
    Files.writeString(file, settingsFile(index));
    List<String> command = new ArrayList<>(List.of(runCommand().split(" ")));
    command.add(file.toString());
    File log = temp.resolve(nodes.get(index) + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().put("LOG_LEVEL", "info");
    return builder.start();
  }

  /** The platform's command for a controller, from the deploy file. */
  private static String runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/service.toml has no run command");
  }

  private String settingsFile(int index) {
    StringBuilder text = new StringBuilder();
    String host = "127.0.0.1:";
    text.append("node_name = \"" + nodes.get(index) + "\"\n");
    text.append("site = \"" + settings.zones.get(index % settings.zones.size()) + "\"\n");
    text.append("listen = \"" + host + listenPorts.get(index) + "\"\n");
    text.append("peer_listen = \"" + host + peerPorts.get(index) + "\"\n\n");
    for (int i = 0; i < nodes.size(); i++) {
      if (i != index) {
        text.append("[[members]]\nnode_name = \"" + nodes.get(i) + "\"\n");
        text.append("site = \"" + settings.zones.get(i % settings.zones.size()) + "\"\n");
        text.append("endpoint = \"" + host + peerPorts.get(i) + "\"\n\n");
      }
    }
    text.append("[outside]\ncloud = \"" + host + cloud.port() + "\"\n");
    text.append("state = \"" + host + state.port() + "\"\n\n[params]\n");
    text.append("count = " + nodes.size() + "\nzones = [");
    settings.zones.forEach(zone -> text.append("\"" + zone + "\", "));
    text.append("]\ntime_bound_ms = 250.0\n\n");
    text.append(settings.teams);
    text.append("[params.workers]\nreport_s = " + settings.reportS);
    text.append("\nlease_s = " + settings.leaseS);
    text.append("\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = " + settings.cancelS);
    text.append("\n\n[params.state]\nrps = 150.0\nwrite_rps = 40.0\nvalue_kb = 8.0\n");
    text.append("txn_ops = 16\n\n[params.cloud]\nrps = 8.0\nlist_lag_s = 8.0\n\n");
    text.append("[params.resources]\ncore_share = 0.44\nram_mb = 320.0\nmax_sockets = 2000\n");
    return text.toString();
  }

  double reportS() {
    return settings.reportS;
  }

  double leaseS() {
    return settings.leaseS;
  }

  private boolean isHealthy(int index) {
    try {
      return send("GET", listenPorts.get(index), "/healthz", null, 1_000).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  HttpResponse<String> send(String method, int port, String path, String body, long timeoutMs)
      throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(timeoutMs));
    request.method(
        method,
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
    if (body != null) {
      request.header("Content-Type", "application/json");
    }
    try {
      return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** A submission with the usual values; the case changes what matters to it. */
  static ObjectNode job(String id, String team, int moves, double cpus, double memGb) {
    ObjectNode job = JSON.createObjectNode();
    job.put("name_id", id).put("docket", "opening-stats").put("crew", team).put("form", "sweep");
    job.put("rank", "normal").put("moves", moves).put("cpus", cpus).put("cards", 0.0);
    job.put("mem_gb", memGb).put("kit", "img-01").put("size_gb", 0.3);
    job.putNull("builds").putNull("ground").put("together", false).put("scatter", false);
    job.put("driftwood", false).put("reckon_s", 10.0).put("cairn_s", 0.0).put("stow_s", 0.0);
    job.putNull("due_s");
    return job;
  }

  /** Submits a job as a user does; true once it is accepted. */
  boolean submit(ObjectNode job) {
    String id = job.path("name_id").asText();
    jobs.put(id, job);
    long deadline = nowMs() + 60_000;
    for (int attempt = 0; nowMs() < deadline; attempt++) {
      int node = attempt % nodes.size();
      try {
        HttpResponse<String> response =
            send("POST", listenPorts.get(node), "/v1/jobs", job.toString(), 5_000);
        record("submit %s at %s: %d", id, nodes.get(node), response.statusCode());
        if (response.statusCode() == 201 || response.statusCode() == 200) {
          return true;
        }
        if (response.statusCode() == 400 || response.statusCode() == 422) {
          return false;
        }
      } catch (IOException e) {
        record("submit %s at %s: no answer", id, nodes.get(node));
      }
      sleep(1_000);
    }
    return false;
  }

  /** Cancels a job as a user does; returns the state that the answer names, or null. */
  String withdraw(String id) {
    long deadline = nowMs() + 60_000;
    for (int attempt = 0; nowMs() < deadline; attempt++) {
      int node = attempt % nodes.size();
      try {
        HttpResponse<String> response =
            send("POST", listenPorts.get(node), "/v1/jobs/" + id + "/withdraw", "{}", 5_000);
        record("withdraw %s: %d %s", id, response.statusCode(), response.body().strip());
        if (response.statusCode() == 200) {
          return JSON.readTree(response.body()).path("standing").asText();
        }
      } catch (IOException e) {
        record("withdraw %s: no answer", id);
      }
      sleep(1_000);
    }
    return null;
  }

  /** Asks for a job's state at one node after the other; null without an answer of 200. */
  String poll(String id) {
    for (int node = 0; node < nodes.size(); node++) {
      try {
        HttpResponse<String> response =
            send("GET", listenPorts.get(node), "/v1/jobs/" + id, null, 2_000);
        if (response.statusCode() == 200) {
          return JSON.readTree(response.body()).path("standing").asText();
        }
        record("poll %s at %s: %d", id, nodes.get(node), response.statusCode());
      } catch (IOException e) {
        record("poll %s at %s: no answer", id, nodes.get(node));
      }
    }
    return null;
  }

  /** Waits until the job has this state; polls once a second. */
  boolean awaitState(String id, String standing, long timeoutMs) {
    long deadline = nowMs() + timeoutMs;
    String last = "";
    while (nowMs() < deadline) {
      String found = poll(id);
      if (found != null && !found.equals(last)) {
        record("poll %s: %s", id, found);
        last = found;
      }
      if (standing.equals(found)) {
        return true;
      }
      sleep(1_000);
    }
    return false;
  }

  /** Copies the controllers' warnings and events that match into the record. */
  void recordLogs(String pattern) {
    for (String node : nodes) {
      try (Stream<String> lines = Files.lines(temp.resolve(node + ".log"))) {
        lines
            .filter(line -> line.matches(".*(" + pattern + ").*"))
            .limit(60)
            .forEach(line -> record("log of %s: %s", node, line));
      } catch (IOException e) {
        record("no log of %s", node);
      }
    }
  }

  /** Ends the case with its result. */
  static void exit(World world, int result) {
    world.record("result=%d (0 held, 1 broken, 2 not run)", result);
    world.close();
    System.out.println(result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
    Runtime.getRuntime().halt(result);
  }

  @Override
  public synchronized void close() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") == null && Files.exists(temp)) {
      try (Stream<Path> files = Files.walk(temp)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        record("the temporary folder was not removed");
      }
    }
  }
}
