package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of one machine, as the protocol describes it. */
final class Worker {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final long ANSWER_TIMEOUT_MS = 4_000;
  private static final long MIN_REPORT_GAP_MS = 500;
  private static final double FETCH_GB_PER_S = 0.3;

  /** How a task ends that is not stopped; null for a task that completes. */
  interface Fate {
    String cause(String move, int attempt, Worker worker);
  }

  private static final class Attempt {
    final String move;
    final int number;
    String standing = "pulling";
    String cause;
    boolean onMachine;
    long nextMs;

    Attempt(String move, int number) {
      this.move = move;
      this.number = number;
    }
  }

  static volatile Fate fate = (move, attempt, worker) -> null;

  final String name;
  final Cloud.MachineType type;
  final String zone;
  final boolean spot;
  private final World world;
  private final HttpServer server;
  private final Random random = new Random();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** The time at which each image is here. */
  private final Map<String, Long> images = new HashMap<>();

  private final Set<String> oversized = new HashSet<>();
  private boolean ended;
  private boolean changed;
  private long baton;
  private long watch = 1;
  private long tally;
  private long leaseFromMs;
  private long lastTokenChangeMs = Long.MIN_VALUE / 2;
  private int node;
  private SlowLink ordersLink;
  private final List<SlowLink> reportLinks = new ArrayList<>();

  /** When the cloud takes the machine; 0 without a notice. */
  private long takenMs;

  private long answeredMs = -1;

  /** When the next report is due if nothing changes. */
  private long nextReportMs;

  Worker(World world, String name, Cloud.MachineType type, String zone, boolean spot)
      throws IOException {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(world.threads);
    server.createContext("/orders", this::handleOrders);
    server.createContext("/status", exchange -> World.answer(exchange, 200, report()));
  }

  String address() {
    int port = ordersLink == null ? server.getAddress().getPort() : ordersLink.port();
    return "127.0.0.1:" + port;
  }

  /** Delays all that this worker and the controllers send to each other; called before the boot. */
  void useSlowLink(long delayMs, SlowLink.Observer orders) throws IOException {
    ordersLink = new SlowLink(world, server.getAddress().getPort(), delayMs, orders);
    for (int port : world.listenPorts) {
      reportLinks.add(new SlowLink(world, port, delayMs, part -> {}));
    }
  }

  /** Tells the worker that the cloud takes the machine back. */
  synchronized void notice(long noticeMs) {
    takenMs = world.nowMs() + noticeMs;
    changed = true;
    world.record("%s: notice of %d ms", name, noticeMs);
  }

  /** The CPUs that no task on the machine takes; tasks that wait for their image count. */
  synchronized double freeCpus() {
    double used = 0;
    for (Attempt attempt : attempts.values()) {
      used += attempt.standing.equals("exited") ? 0 : job(attempt.move).path("cpus").asDouble();
    }
    return type.cpus() - used;
  }

  /** True when no report is in flight, and none is due for this long if nothing changes. */
  synchronized boolean isSilentFor(long ms) {
    return answeredMs >= 0 && !changed && nextReportMs - world.nowMs() >= ms;
  }

  void boot(long bootMs) {
    world.threads.execute(
        () -> {
          World.sleep(bootMs);
          synchronized (this) {
            if (ended) {
              return;
            }
            server.start();
            leaseFromMs = world.nowMs();
          }
          world.record("%s (%s, %s) is up", name, type.label(), zone);
          world.threads.execute(this::runTasks);
          reportLoop();
        });
  }

  synchronized void end() {
    ended = true;
    killAll("the machine is gone");
    server.stop(0);
  }

  private void killAll(String why) {
    for (Attempt attempt : attempts.values()) {
      if (attempt.onMachine) {
        attempt.onMachine = false;
        world.tasks.ended(attempt.move, attempt.number, name, why);
      }
    }
    attempts.clear();
  }

  // ---- Tasks.

  private void runTasks() {
    while (true) {
      World.sleep(20);
      synchronized (this) {
        if (ended) {
          return;
        }
        long nowMs = world.nowMs();
        if (nowMs - leaseFromMs > world.leaseS() * 1000) {
          world.record("%s: the lease has ended, %d tasks are killed", name, attempts.size());
          killAll("lease");
          watch++;
          leaseFromMs = nowMs;
          changed = true;
        }
        for (Attempt attempt : new ArrayList<>(attempts.values())) {
          advance(attempt, nowMs);
        }
      }
    }
  }

  private void advance(Attempt attempt, long nowMs) {
    if (nowMs < attempt.nextMs) {
      return;
    }
    if (attempt.standing.equals("pulling")) {
      attempt.standing = "running";
      attempt.onMachine = true;
      attempt.nextMs = nowMs + runMs(attempt);
      changed = true;
      world.tasks.started(attempt.move, attempt.number, name);
    }
    if (attempt.standing.equals("running") && nowMs >= attempt.nextMs) {
      String cause = fate.cause(attempt.move, attempt.number, this);
      exit(attempt, cause == null ? "done" : cause);
    }
  }

  private long runMs(Attempt attempt) {
    if (world.tasks.hasResult(attempt.move)) {
      return 0;
    }
    String move = attempt.move;
    double[] runTimes = world.runS.get(move.substring(0, move.indexOf('/')));
    double seconds =
        runTimes != null
            ? runTimes[Integer.parseInt(move.substring(move.indexOf('/') + 1))]
            : job(move).path("reckon_s").asDouble();
    return (long) (seconds * 1000);
  }

  private JsonNode job(String move) {
    return world.jobs.get(move.substring(0, move.indexOf('/')));
  }

  private void exit(Attempt attempt, String cause) {
    boolean wasOnMachine = attempt.onMachine;
    attempt.standing = "exited";
    attempt.cause = cause;
    attempt.onMachine = false;
    attempt.nextMs = Long.MAX_VALUE;
    changed = true;
    if (wasOnMachine) {
      world.tasks.ended(attempt.move, attempt.number, name, cause);
    }
  }

  private void launch(String move, int number) {
    String key = move + "#" + number;
    if (attempts.containsKey(key)) {
      return;
    }
    Attempt attempt = new Attempt(move, number);
    JsonNode job = job(move);
    double cpus = 0;
    double memGb = 0;
    boolean inUse = false;
    for (Attempt other : attempts.values()) {
      if (!other.standing.equals("exited")) {
        cpus += job(other.move).path("cpus").asDouble();
        memGb += job(other.move).path("mem_gb").asDouble();
        inUse |= other.move.equals(move);
      }
    }
    attempts.put(key, attempt);
    changed = true;
    if (job == null) {
      exit(attempt, "no_such");
    } else if (inUse) {
      exit(attempt, "in_use");
    } else if (cpus + job.path("cpus").asDouble() > type.cpus() + 1e-6
        || memGb + job.path("mem_gb").asDouble() > type.memGb() + 1e-6) {
      exit(attempt, "no_room");
    } else {
      long fetchMs = (long) (1000 * job.path("size_gb").asDouble() / FETCH_GB_PER_S);
      long readyMs =
          images.computeIfAbsent(job.path("kit").asText(), image -> world.nowMs() + fetchMs);
      attempt.nextMs = readyMs;
      advance(attempt, world.nowMs());
    }
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String move = order.path("move").asText();
      int number = order.path("try").asInt();
      Attempt attempt = attempts.get(move + "#" + number);
      switch (order.path("order").asText()) {
        case "launch" -> launch(move, number);
        case "stop" -> {
          if (attempt != null && !attempt.standing.equals("exited")) {
            exit(attempt, "stopped");
          }
        }
        case "clear" -> {
          if (attempt != null && attempt.standing.equals("exited")) {
            attempts.remove(move + "#" + number);
            changed = true;
          }
        }
        default -> world.record("%s: unknown order %s", name, order);
      }
    }
  }

  // ---- Reports and orders.

  private synchronized ObjectNode report() {
    ObjectNode report = World.JSON.createObjectNode();
    report.put("hearth", name).put("address", address()).put("build", type.label());
    report.put("ground", zone).put("driftwood", spot).put("watch", watch).put("tally", ++tally);
    report.put("baton", baton);
    if (takenMs == 0) {
      report.putNull("warning_s");
    } else {
      report.put("warning_s", Math.max(0, takenMs - world.nowMs()) / 1000.0);
    }
    ArrayNode moves = report.putArray("moves");
    for (Attempt attempt : attempts.values()) {
      ObjectNode move = moves.addObject().put("move", attempt.move).put("try", attempt.number);
      move.put("standing", attempt.standing);
      if (attempt.cause != null) {
        move.put("cause", attempt.cause);
      }
    }
    return report;
  }

  private void reportLoop() {
    long lastMs = Long.MIN_VALUE / 2;
    while (true) {
      long intervalMs = (long) (world.reportS() * 1000 * (0.75 + 0.5 * random.nextDouble()));
      while (true) {
        synchronized (this) {
          if (ended) {
            return;
          }
          long gapMs = world.nowMs() - lastMs;
          nextReportMs = lastMs + intervalMs;
          if (gapMs >= intervalMs || (changed && gapMs >= MIN_REPORT_GAP_MS)) {
            changed = false;
            break;
          }
        }
        World.sleep(10);
      }
      lastMs = world.nowMs();
      sendReport();
    }
  }

  private void sendReport() {
    String body;
    long sentMs;
    long session;
    synchronized (this) {
      sentMs = world.nowMs();
      answeredMs = -1;
      session = watch;
      body = report().toString();
    }
    if (body.length() > MAX_BODY_BYTES && oversized.add("report")) {
      world.record("%s: a report has %d bytes, more than 64 KiB", name, body.length());
    }
    HttpResponse<String> response;
    try {
      int port =
          reportLinks.isEmpty()
              ? world.workerProxies.get(node).port()
              : reportLinks.get(node).port();
      response = world.send("POST", port, "/v1/report", body, ANSWER_TIMEOUT_MS);
    } catch (IOException e) {
      tryNextNode();
      return;
    }
    if (response.statusCode() == 421) {
      redirect(response.body());
      return;
    }
    if (response.statusCode() != 200) {
      tryNextNode();
      return;
    }
    synchronized (this) {
      answeredMs = world.nowMs();
      receive(response.body(), sentMs, session);
    }
  }

  private void receive(String text, long sentMs, long session) {
    for (String line : text.split("\n")) {
      if (line.getBytes(StandardCharsets.UTF_8).length > MAX_BODY_BYTES) {
        world.record("%s: A LINE OF %d BYTES in the answer to a report", name, line.length());
        world.findings.add("answer line of " + line.length() + " bytes");
        return;
      }
    }
    JsonNode answer;
    try {
      answer = World.JSON.readTree(text);
    } catch (IOException e) {
      return;
    }
    if (ended || !answer.has("baton") || answer.path("baton").asLong() < baton) {
      return;
    }
    if (session != watch) {
      return;
    }
    see(answer.path("baton").asLong());
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    execute(answer.path("orders"));
  }

  private void see(long token) {
    if (token > baton) {
      baton = token;
      if (world.nowMs() - lastTokenChangeMs > world.leaseS() * 500) {
        lastTokenChangeMs = world.nowMs();
        changed = true;
      }
    }
  }

  private void redirect(String text) {
    try {
      String steward = World.JSON.readTree(text).path("steward").asText("");
      int target = world.nodes.indexOf(steward);
      if (target >= 0 && target != node) {
        node = target;
        World.sleep(random.nextInt(500));
        synchronized (this) {
          changed = true;
        }
        return;
      }
    } catch (IOException e) {
      // The next node is tried.
    }
    tryNextNode();
  }

  private void tryNextNode() {
    World.sleep(1_000);
    node = (node + 1) % world.nodes.size();
    synchronized (this) {
      changed = true;
    }
  }

  private void handleOrders(HttpExchange exchange) throws IOException {
    byte[] bytes = exchange.getRequestBody().readNBytes(4 << 20);
    if (bytes.length > MAX_BODY_BYTES) {
      world.record("%s: AN ORDERS BODY OF %d BYTES", name, bytes.length);
      world.findings.add("orders body of " + bytes.length + " bytes");
      World.answer(exchange, 400, World.JSON.createObjectNode());
      return;
    }
    JsonNode request = World.JSON.readTree(bytes);
    int status;
    ObjectNode answer;
    synchronized (this) {
      if (!request.has("baton") || !request.has("watch")) {
        status = 400;
      } else if (ended
          || request.path("baton").asLong() < baton
          || request.path("watch").asLong() != watch) {
        status = 409;
      } else {
        status = 200;
        see(request.path("baton").asLong());
        execute(request.path("orders"));
      }
      answer = report();
    }
    World.answer(exchange, status, answer);
  }
}
