package review;

import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine with its worker, as PROTOCOL-mallowroad.md describes it. */
final class Worker {
  private static final int MAX_BODY = 64 * 1024;

  private static final class Task {
    final String name;
    final int attempt;
    final String kit;
    String standing = "pulling";
    String cause;
    long nextNs;
    final double cpus;
    final double memGb;

    Task(String name, int attempt, Map<String, Object> submission) {
      this.name = name;
      this.attempt = attempt;
      this.kit = Json.str(submission, "kit");
      this.cpus = Json.dbl(submission, "cpus");
      this.memGb = Json.dbl(submission, "mem_gb");
    }
  }

  final String name;
  final Settings.Build build;
  final String zone;
  final boolean spot;
  final long rentedNs = System.nanoTime();
  final long bootedNs;
  private final Deployment deployment;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> images = new HashMap<>();
  private long watch = 1;
  private long tally;
  private long baton;
  private long leaseBaseNs;
  private int node;
  private long nextReportNs;
  private long lastReportNs;
  private boolean changed;
  private volatile boolean gone;
  private volatile boolean oversizeSaid;

  /** How many reports did not fit into a request body. */
  volatile int reportsTooLarge;

  volatile int leasesExpired;

  Worker(
      Deployment deployment, String name, Settings.Build build, String zone, boolean spot,
      double bootS) {
    this.deployment = deployment;
    this.name = name;
    this.build = build;
    this.zone = zone;
    this.spot = spot;
    this.bootedNs = rentedNs + (long) (bootS * 1e9);
    this.leaseBaseNs = bootedNs;
    this.node = Math.floorMod(name.hashCode(), deployment.settings.nodes);
    this.server = Http.serve(this::serve);
    daemon(this::tick);
    daemon(this::reportLoop);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "worker");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return Http.HOST + ":" + server.getAddress().getPort();
  }

  boolean isUp() {
    return System.nanoTime() >= bootedNs;
  }

  /** The machine and everything on it is gone. */
  synchronized void destroy() {
    gone = true;
    for (Task task : tasks.values()) {
      deployment.jobs.left(task.name, name);
    }
    tasks.clear();
    server.stop(0);
  }

  private void tick() {
    while (!gone) {
      StateService.sleep(20);
      if (isUp()) {
        synchronized (this) {
          if (!gone) {
            advance();
          }
        }
      }
    }
  }

  private void advance() {
    long now = System.nanoTime();
    if (now - leaseBaseNs > deployment.settings.leaseS * 1e9) {
      deployment.record.log(name, "lease expired, " + tasks.size() + " tasks killed");
      leasesExpired++;
      for (Task task : tasks.values()) {
        deployment.jobs.left(task.name, name);
      }
      tasks.clear();
      watch++;
      tally = 0;
      leaseBaseNs = now;
      changed = true;
    }
    for (Task task : tasks.values()) {
      if (task.standing.equals("pulling") && now >= task.nextNs) {
        deployment.jobs.started(task.name, task.attempt, name);
        boolean kept = deployment.jobs.completed.contains(task.name);
        task.standing = "running";
        double runS = deployment.jobs.jobs.get(Jobs.jobOf(task.name)).runS;
        task.nextNs = kept ? now : now + (long) (runS * 1e9);
        changed = true;
        Jobs.Job job = deployment.jobs.jobs.get(Jobs.jobOf(task.name));
        if (!kept && job.errors.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
          job.lastErrorNs = now;
          exit(task, "error");
        }
      }
      if (task.standing.equals("running") && now >= task.nextNs) {
        exit(task, "done");
        deployment.jobs.completed.add(task.name);
      }
    }
  }

  private void exit(Task task, String cause) {
    if (!task.standing.equals("exited")) {
      deployment.jobs.left(task.name, name);
      deployment.record.log(name, "exit " + task.name + " try " + task.attempt + " " + cause);
    }
    task.standing = "exited";
    task.cause = cause;
    changed = true;
  }

  private String report() {
    List<Object> moves = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> move =
          Json.of("move", task.name, "try", (long) task.attempt, "standing", task.standing);
      if (task.cause != null) {
        move.put("cause", task.cause);
      }
      moves.add(move);
    }
    return Json.write(
        Json.of(
            "hearth", name, "address", address(), "build", build.name(), "ground", zone,
            "driftwood", spot, "watch", watch, "tally", ++tally, "baton", baton, "warning_s", null,
            "moves", moves));
  }

  private void reportLoop() {
    while (!gone) {
      StateService.sleep(20);
      long now = System.nanoTime();
      String body;
      long sentWatch;
      synchronized (this) {
        boolean due = now >= nextReportNs || (changed && now - lastReportNs >= 500_000_000L);
        if (gone || !isUp() || !due) {
          continue;
        }
        changed = false;
        lastReportNs = now;
        nextReportNs =
            now + (long) (deployment.settings.reportS * 1e9 * (0.75 + 0.5 * Math.random()));
        body = report();
        sentWatch = watch;
      }
      if (body.getBytes(StandardCharsets.UTF_8).length > MAX_BODY) {
        reportsTooLarge++;
        if (!oversizeSaid) {
          oversizeSaid = true;
          deployment.record.say(
              name + ": a report of " + tasks.size() + " tasks has " + body.length()
                  + " bytes, more than a request body may hold");
        }
      }
      Http.Response response =
          Http.send(deployment.listen(node), "POST", "/v1/report", body, 4_000, 4_000);
      handle(response, now, sentWatch);
    }
  }

  private void handle(Http.Response response, long sentNs, long sentWatch) {
    sayIfTooLong("a response", response.body());
    if (response.status() == 200) {
      apply(Json.object(response.body()), sentNs, sentWatch);
      return;
    }
    if (response.status() == 421) {
      int steward = deployment.nodeNumber(Json.str(Json.object(response.body()), "steward"));
      if (steward >= 0 && steward != node) {
        node = steward;
        synchronized (this) {
          nextReportNs = System.nanoTime() + (long) (Math.random() * 500_000_000L);
        }
        return;
      }
    }
    deployment.record.log(name, "report to hearth-" + node + " got " + response.status());
    node = (node + 1) % deployment.settings.nodes;
    synchronized (this) {
      nextReportNs = System.nanoTime() + 1_000_000_000L;
      changed = false;
    }
  }

  /** No request body and no line of a response may be longer than 64 KiB. */
  private void sayIfTooLong(String what, String text) {
    if (text.length() > MAX_BODY) {
      deployment.record.say(
          name + ": " + what + " of a controller has a line of " + text.length() + " bytes");
    }
  }

  private synchronized void apply(Map<String, Object> body, long sentNs, long sentWatch) {
    long token = Json.num(body, "baton");
    if (gone || sentWatch != watch || !body.containsKey("baton") || token < baton) {
      return;
    }
    if (token > baton) {
      baton = token;
      changed = true;
    }
    leaseBaseNs = Math.max(leaseBaseNs, sentNs);
    Json.list(body, "orders").forEach(this::execute);
  }

  private void execute(Map<String, Object> order) {
    String task = Json.str(order, "move");
    int attempt = (int) Json.num(order, "try");
    String key = task + " " + attempt;
    Task known = tasks.get(key);
    switch (Json.str(order, "order")) {
      case "launch" -> {
        if (known == null) {
          launch(task, attempt, key);
        }
      }
      case "stop" -> {
        if (known != null && !known.standing.equals("exited")) {
          exit(known, "stopped");
        }
      }
      case "clear" -> {
        if (known != null && known.standing.equals("exited")) {
          tasks.remove(key);
        }
      }
      default -> deployment.record.log(name, "unknown order " + order);
    }
  }

  private void launch(String name, int attempt, String key) {
    Jobs.Job job = deployment.jobs.jobs.get(Jobs.jobOf(name));
    int number = Integer.parseInt(name.substring(name.lastIndexOf('/') + 1));
    if (job == null || !job.submitted || number >= job.tasks()) {
      Task refused = new Task(name, attempt, Json.of());
      tasks.put(key, refused);
      refuse(refused, "no_such");
      return;
    }
    Task task = new Task(name, attempt, job.submission);
    double cpus = build.cpus();
    double memGb = build.memGb();
    boolean inUse = false;
    for (Task other : tasks.values()) {
      if (!other.standing.equals("exited")) {
        cpus -= other.cpus;
        memGb -= other.memGb;
        inUse |= other.name.equals(name);
      }
    }
    tasks.put(key, task);
    changed = true;
    if (inUse) {
      refuse(task, "in_use");
    } else if (task.cpus > cpus + 1e-4 || task.memGb > memGb + 1e-4) {
      refuse(task, "no_room");
    } else {
      long fetchNs =
          (long) (Json.dbl(job.submission, "size_gb") / build.fetchGbPerS() * 1e9);
      long now = System.nanoTime();
      task.nextNs = images.computeIfAbsent(task.kit, kit -> now + fetchNs);
    }
  }

  private void refuse(Task task, String cause) {
    deployment.record.log(name, "refused " + task.name + " try " + task.attempt + " " + cause);
    task.standing = "exited";
    task.cause = cause;
    changed = true;
  }

  private synchronized Http.Response serve(String method, String target, String body) {
    if (gone || !isUp()) {
      return null;
    }
    if (method.equals("GET") && target.equals("/status")) {
      return new Http.Response(200, report(), Map.of());
    }
    sayIfTooLong("a request body with orders", body);
    Map<String, Object> message = Json.object(body);
    if (!message.containsKey("baton") || !message.containsKey("watch")) {
      return Http.json(400, Json.of("error", "baton or watch is missing"));
    }
    long token = Json.num(message, "baton");
    if (token < baton || Json.num(message, "watch") != watch) {
      return new Http.Response(409, report(), Map.of());
    }
    if (token > baton) {
      baton = token;
      changed = true;
    }
    Json.list(message, "orders").forEach(this::execute);
    return new Http.Response(200, report(), Map.of());
  }

  synchronized int liveTasks() {
    return (int) tasks.values().stream().filter(t -> !t.standing.equals("exited")).count();
  }
}
