package org.mallowroad.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** A machine's worker as PROTOCOL has it: reports, tokens, sessions, lease, orders. */
final class WorkerModel extends Network.Party {
  private static final long ANSWER_MS = 4_000;
  private static final long PAUSE_MS = 1_000;
  private static final long EAGER_MS = 500;

  /** What a task is, by its job. */
  interface JobDirectory {
    /** Run and fetch time in milliseconds, or null when there is no such job. */
    long[] taskTimesMs(String job);

    /** The image of a job. */
    String imageOf(String job);

    /** The worker that listens there, or null. */
    WorkerModel workerAt(String address);
  }

  private static final class Task {
    private final String id;
    private final int attempt;
    private String standing = "pulling";
    private String cause;

    Task(String id, int attempt) {
      this.id = id;
      this.attempt = attempt;
    }
  }

  private final EventQueue time;
  private final Network network;
  private final SplittableRandom random;
  private final List<SimulatedEnvironment> nodes;
  private final JobDirectory jobs;
  private final InvariantChecker checker;
  private final long reportMs;
  private final long leaseMs;

  /** By task and attempt. */
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  private final Set<String> results = new HashSet<>();

  /** Images that it has fetched whole in this session, and ever. */
  private final Set<String> images = new HashSet<>();

  private final Set<String> ever = new HashSet<>();

  /** True when it takes images from others, and hands its own on. */
  boolean servesImages;

  /** How often an image came from another machine. */
  long imagesFromMachines;

  private long fencingToken;
  private long incarnation = 1;
  private long tally;
  private long answeredSentMs;
  private int at;
  private boolean running;
  private boolean out;
  private boolean dirty;
  private long lastHeartbeatMs;
  private int beat;
  private long longestSilenceMs;

  WorkerModel(
      EventQueue time,
      Network network,
      SplittableRandom random,
      List<SimulatedEnvironment> nodes,
      JobDirectory jobs,
      InvariantChecker checker,
      long reportMs,
      long leaseMs,
      int index,
      String name,
      String zone) {
    super(Network.Kind.WORKER, index, name, zone);
    this.time = time;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.jobs = jobs;
    this.checker = checker;
    this.reportMs = reportMs;
    this.leaseMs = leaseMs;
    this.at = random.nextInt(nodes.size());
  }

  /** CPUs of what it has, fetching tasks too. */
  double usedCpus() {
    double sum = 0;
    for (Task t : tasks.values()) {
      sum += t.standing.equals("exited") ? 0 : checker.taskCpus(t.id);
    }
    return sum;
  }

  /** True when it has the task, fetching or running. */
  boolean hasTask(String task) {
    for (Task t : tasks.values()) {
      if (t.id.equals(task) && !t.standing.equals("exited")) {
        return true;
      }
    }
    return false;
  }

  /** Where it listens. */
  String address() {
    return "w" + index + ":1";
  }

  @Override
  boolean isListening() {
    return isAlive() && running;
  }

  /** Its machine is up. */
  void machineBooted() {
    running = true;
    answeredSentMs = time.nowMs();
    next(0);
    watch();
  }

  /** Its machine is gone with everything on it. */
  void machineGone(String why) {
    checker.observeMachineGone(name, why);
    terminate();
  }

  /**
   * Kills and forgets everything when its last answered report was sent too long ago; a machine
   * that hangs may go on within its lease only, so this runs on.
   */
  private void watch() {
    int mine = generation();
    time.schedule(
        250_000,
        null,
        () -> {
          if (mine != generation()) {
            return;
          }
          longestSilenceMs =
              Math.max(longestSilenceMs, isFrozen() ? 0 : time.nowMs() - answeredSentMs);
          if (time.nowMs() - answeredSentMs > leaseMs) {
            for (Task t : tasks.values()) {
              if (!t.standing.equals("exited")) {
                checker.observeTaskKilledByLease(t.id, name);
              }
            }
            tasks.clear();
            images.clear();
            incarnation++;
            answeredSentMs = time.nowMs();
            changed();
          }
          watch();
        });
  }

  private void next(long ms) {
    int mine = ++beat;
    time.schedule(
        ms * 1000,
        this,
        () -> {
          if (mine == beat && !out) {
            report();
          }
        });
  }

  private void changed() {
    dirty = true;
    if (!out) {
      next(Math.max(0, lastHeartbeatMs + EAGER_MS - time.nowMs()));
    }
  }

  private void report() {
    out = true;
    dirty = false;
    long sentMs = time.nowMs();
    lastHeartbeatMs = sentMs;
    long ofSession = incarnation;
    network.call(
        this,
        nodes.get(at),
        "POST",
        "/v1/report",
        Json.toBytes(state()),
        ANSWER_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            out = false;
            ObjectNode o = parsed(body);
            if (status == 200) {
              // One that must be dropped holds the worker here while its lease runs out.
              if (ofSession == incarnation && o.path("baton").asLong(-1) >= fencingToken) {
                answeredSentMs = Math.max(answeredSentMs, sentMs);
                saw(o.path("baton").asLong());
                o.path("orders").forEach(WorkerModel.this::obey);
              }
              next(dirty ? EAGER_MS : reportMs * 3 / 4 + random.nextLong(reportMs / 2));
              return;
            }
            int to = status == 421 ? find(o.path("steward").asText()) : -1;
            if (to >= 0 && to != at) {
              at = to;
              next(random.nextLong(500));
            } else {
              onFailure(true);
            }
          }

          @Override
          public void onFailure(boolean sent) {
            out = false;
            at = (at + 1) % nodes.size();
            next(PAUSE_MS);
          }
        });
  }

  private int find(String node) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).name.equals(node)) {
        return i;
      }
    }
    return -1;
  }

  private static ObjectNode parsed(byte[] body) {
    try {
      return Json.parseObject(body);
    } catch (InvalidMessageException e) {
      return Json.object();
    }
  }

  private void saw(long baton) {
    if (baton > fencingToken) {
      fencingToken = baton;
      changed();
    }
  }

  private ObjectNode state() {
    ObjectNode o = Json.object();
    o.put("hearth", name).put("address", address()).put("build", CloudModel.TYPE);
    o.put("ground", zone).put("driftwood", false);
    if (servesImages) {
      o.put("hands_on", true);
    }
    o.put("watch", incarnation).put("tally", ++tally).put("baton", fencingToken);
    ArrayNode moves = o.putArray("moves");
    tasks.forEach(
        (key, t) -> {
          ObjectNode m = moves.addObject().put("move", t.id).put("try", t.attempt);
          m.put("standing", t.standing);
          if (t.cause != null) {
            m.put("cause", t.cause);
          }
        });
    return o;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    ObjectNode o = parsed(body);
    if (target.equals("/orders")) {
      boolean stale =
          o.path("baton").asLong() < fencingToken || o.path("watch").asLong() != incarnation;
      if (!stale) {
        saw(o.path("baton").asLong());
        o.path("orders").forEach(this::obey);
      }
      reply.answer(stale ? 409 : 200, Json.toBytes(state()));
    } else {
      reply.answer(200, Json.toBytes(state()));
    }
  }

  private void obey(JsonNode o) {
    String id = o.path("move").asText();
    int attempt = o.path("try").asInt();
    String key = id + " " + attempt;
    Task t = tasks.get(key);
    switch (o.path("order").asText()) {
      case "launch" -> {
        if (t == null) {
          launch(id, attempt, key, o.path("givers"));
        }
      }
      case "stop" -> {
        if (t != null && !t.standing.equals("exited")) {
          exit(t, "stopped");
        }
      }
      default -> {
        if (t != null && t.standing.equals("exited")) {
          tasks.remove(key);
        }
      }
    }
  }

  private void launch(String id, int attempt, String key, JsonNode imageSources) {
    boolean there = false;
    for (Task t : tasks.values()) {
      there |= t.id.equals(id) && !t.standing.equals("exited");
    }
    long[] times = jobs.taskTimesMs(id.substring(0, id.lastIndexOf('/')));
    Task t = new Task(id, attempt);
    tasks.put(key, t);
    changed();
    if (there || times == null) {
      t.standing = "exited";
      t.cause = there ? "in_use" : "no_such";
      return;
    }
    String image = jobs.imageOf(id.substring(0, id.lastIndexOf('/')));
    after(
        t,
        key,
        fetchMs(image, times[1], imageSources),
        () -> {
          t.standing = "running";
          images.add(image);
          ever.add(image);
          checker.observeTaskStart(id, attempt, name, zone);
          changed();
          after(
              t,
              key,
              results.contains(id) ? 0 : times[0],
              () -> {
                results.add(id);
                exit(t, "done");
              });
        });
  }

  /** From a giver in a third of the time; from the source where none of those named has it. */
  private long fetchMs(String image, long fromSource, JsonNode imageSources) {
    for (JsonNode g : imageSources) {
      WorkerModel w = jobs.workerAt(g.asText());
      if (w != null && !w.ever.contains(image)) {
        checker.reportBreach(
            "fetched_from_nobody", name + " is sent to " + w.name + " for " + image);
      }
      if (!servesImages) {
        checker.reportBreach(
            "fetched_from_nobody", name + " hands nothing on and is told of givers");
      }
      if (w != null && w.isListening() && !w.isFrozen() && w.images.contains(image)) {
        imagesFromMachines++;
        return fromSource / 3;
      }
    }
    return fromSource;
  }

  /** Later, if the task is still what it was. */
  private void after(Task t, String key, long ms, Runnable then) {
    time.schedule(
        ms * 1000,
        this,
        () -> {
          if (tasks.get(key) == t && !t.standing.equals("exited")) {
            then.run();
          }
        });
  }

  private void exit(Task t, String cause) {
    if (t.standing.equals("running")) {
      checker.observeTaskExit(t.id, name, cause.equals("done"));
    }
    t.standing = "exited";
    t.cause = cause;
    changed();
  }

  /** The longest that it went without an answer while its machine ran. */
  long longestSilenceMs() {
    return longestSilenceMs;
  }
}
