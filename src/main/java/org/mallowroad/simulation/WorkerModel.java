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

/**
 * Models the worker of one machine by the rules of PROTOCOL: it reports to the leader, obeys
 * commands with a current fencing token and incarnation, and kills its tasks when its lease runs
 * out.
 */
final class WorkerModel extends Network.Party {
  private static final long REPORT_TIMEOUT_MS = 4_000;
  private static final long RETRY_DELAY_MS = 1_000;
  private static final long MIN_REPORT_INTERVAL_MS = 500;

  /** Looks up the properties of jobs, and other workers. */
  interface JobDirectory {
    /** Returns the run time and the image fetch time in milliseconds, or null for no such job. */
    long[] taskTimesMs(String job);

    /** Returns the name of a job's image. */
    String imageOf(String job);

    /** Returns the worker that listens at the address, or null. */
    WorkerModel workerAt(String address);
  }

  private static final class Task {
    private final String id;
    private final int attempt;
    private String state = "pulling";
    private String cause;

    Task(String id, int attempt) {
      this.id = id;
      this.attempt = attempt;
    }
  }

  private final EventQueue eventQueue;
  private final Network network;
  private final SplittableRandom random;
  private final List<SimulatedEnvironment> nodes;
  private final JobDirectory jobDirectory;
  private final InvariantChecker checker;
  private final long reportMs;
  private final long leaseMs;

  /** Tasks on this machine by "task attempt"; exited ones stay until a controller clears them. */
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  private final Set<String> storedResults = new HashSet<>();

  /** Images that were fetched completely since the last expiry of the lease. */
  private final Set<String> cachedImages = new HashSet<>();

  private final Set<String> imagesEverCached = new HashSet<>();

  /** Whether the worker fetches images from other workers and serves its own to them. */
  boolean servesImages;

  /** Number of image fetches from another machine. */
  long imagesFromMachines;

  private long fencingToken;
  private long incarnation = 1;
  private long reportSequence;
  private long lastAnsweredSentMs;
  private int reportTarget;
  private boolean booted;
  private boolean reportInFlight;
  private boolean changedSinceReport;
  private long lastReportSentMs;
  private int reportTimer;
  private boolean restarting;
  private long longestSilenceMs;

  WorkerModel(
      EventQueue eventQueue,
      Network network,
      SplittableRandom random,
      List<SimulatedEnvironment> nodes,
      JobDirectory jobDirectory,
      InvariantChecker checker,
      long reportMs,
      long leaseMs,
      int index,
      String name,
      String zone) {
    super(Network.Kind.WORKER, index, name, zone);
    this.eventQueue = eventQueue;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.jobDirectory = jobDirectory;
    this.checker = checker;
    this.reportMs = reportMs;
    this.leaseMs = leaseMs;
    this.reportTarget = random.nextInt(nodes.size());
  }

  /** Returns the CPUs in use, those of tasks that still fetch their image included. */
  double usedCpus() {
    double sum = 0;
    for (Task task : tasks.values()) {
      sum += task.state.equals("exited") ? 0 : checker.taskCpus(task.id);
    }
    return sum;
  }

  /** Returns whether the task is fetching its image or running here. */
  boolean hasTask(String taskId) {
    for (Task task : tasks.values()) {
      if (task.id.equals(taskId) && !task.state.equals("exited")) {
        return true;
      }
    }
    return false;
  }

  /** Returns the address at which the worker listens. */
  String address() {
    return "w" + index + ":1";
  }

  @Override
  boolean isListening() {
    return isAlive() && booted;
  }

  /** Starts reports and lease checks; called when the machine has booted. */
  void machineBooted() {
    booted = true;
    lastAnsweredSentMs = eventQueue.nowMs();
    scheduleReport(0);
    scheduleLeaseCheck();
  }

  /** Ends the worker and its tasks because the machine is gone. */
  void machineGone(String reason) {
    checker.observeMachineGone(name, reason);
    restarting = false;
    terminate();
  }

  /** Restarts the machine under its name, with nothing of what it knew. */
  void restartMachine(long downtimeUs) {
    machineGone("restarted");
    tasks.clear();
    cachedImages.clear();
    incarnation = 1;
    fencingToken = 0;
    reportSequence = 0;
    reportInFlight = false;
    restarting = true;
    eventQueue.schedule(
        downtimeUs,
        null,
        () -> {
          if (restarting) {
            restarting = false;
            revive();
            machineBooted();
          }
        });
  }

  /** Returns whether the machine has stopped on its own and will not be back. */
  boolean hasFailed() {
    return !isAlive() && !restarting;
  }

  /**
   * Kills and forgets all tasks and starts a new incarnation once the last answered report was sent
   * longer ago than the lease. A machine that hangs may keep its tasks only within the lease, so
   * this check also runs while the worker is frozen.
   */
  private void scheduleLeaseCheck() {
    int currentGeneration = generation();
    eventQueue.schedule(
        250_000,
        null,
        () -> {
          if (currentGeneration != generation()) {
            return;
          }
          longestSilenceMs =
              Math.max(longestSilenceMs, isFrozen() ? 0 : eventQueue.nowMs() - lastAnsweredSentMs);
          if (eventQueue.nowMs() - lastAnsweredSentMs > leaseMs) {
            for (Task task : tasks.values()) {
              if (!task.state.equals("exited")) {
                checker.observeTaskKilledByLease(task.id, name);
              }
            }
            tasks.clear();
            cachedImages.clear();
            incarnation++;
            lastAnsweredSentMs = eventQueue.nowMs();
            reportSoon();
          }
          scheduleLeaseCheck();
        });
  }

  private void scheduleReport(long delayMs) {
    int currentTimer = ++reportTimer;
    eventQueue.schedule(
        delayMs * 1000,
        this,
        () -> {
          if (currentTimer == reportTimer && !reportInFlight) {
            sendReport();
          }
        });
  }

  private void reportSoon() {
    changedSinceReport = true;
    if (!reportInFlight) {
      scheduleReport(Math.max(0, lastReportSentMs + MIN_REPORT_INTERVAL_MS - eventQueue.nowMs()));
    }
  }

  private void sendReport() {
    reportInFlight = true;
    changedSinceReport = false;
    long sentMs = eventQueue.nowMs();
    lastReportSentMs = sentMs;
    long sentIncarnation = incarnation;
    network.call(
        this,
        nodes.get(reportTarget),
        "POST",
        "/v1/report",
        Json.toBytes(reportBody()),
        REPORT_TIMEOUT_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            reportInFlight = false;
            ObjectNode response = parsed(body);
            if (status == 200) {
              // An answer with an older token or to an earlier incarnation is dropped and does not
              // renew the lease, but the worker keeps reporting to this node.
              if (sentIncarnation == incarnation
                  && response.path("baton").asLong(-1) >= fencingToken) {
                lastAnsweredSentMs = Math.max(lastAnsweredSentMs, sentMs);
                raiseFencingToken(response.path("baton").asLong());
                response.path("orders").forEach(WorkerModel.this::apply);
              }
              scheduleReport(
                  changedSinceReport
                      ? MIN_REPORT_INTERVAL_MS
                      : reportMs * 3 / 4 + random.nextLong(reportMs / 2));
              return;
            }
            int leaderIndex = status == 421 ? indexOfNode(response.path("steward").asText()) : -1;
            if (leaderIndex >= 0 && leaderIndex != reportTarget) {
              reportTarget = leaderIndex;
              scheduleReport(random.nextLong(500));
            } else {
              onFailure(true);
            }
          }

          @Override
          public void onFailure(boolean sent) {
            reportInFlight = false;
            reportTarget = (reportTarget + 1) % nodes.size();
            scheduleReport(RETRY_DELAY_MS);
          }
        });
  }

  private int indexOfNode(String node) {
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

  private void raiseFencingToken(long token) {
    if (token > fencingToken) {
      fencingToken = token;
      reportSoon();
    }
  }

  private ObjectNode reportBody() {
    ObjectNode body = Json.object();
    body.put("hearth", name).put("address", address()).put("build", CloudModel.TYPE);
    body.put("ground", zone).put("driftwood", false);
    if (servesImages) {
      body.put("hands_on", true);
    }
    body.put("watch", incarnation).put("tally", ++reportSequence).put("baton", fencingToken);
    ArrayNode taskEntries = body.putArray("moves");
    tasks.forEach(
        (key, task) -> {
          ObjectNode entry = taskEntries.addObject().put("move", task.id).put("try", task.attempt);
          entry.put("standing", task.state);
          if (task.cause != null) {
            entry.put("cause", task.cause);
          }
        });
    return body;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    ObjectNode request = parsed(body);
    if (target.equals("/orders")) {
      boolean isStale =
          request.path("baton").asLong() < fencingToken
              || request.path("watch").asLong() != incarnation;
      if (!isStale) {
        raiseFencingToken(request.path("baton").asLong());
        request.path("orders").forEach(this::apply);
      }
      reply.answer(isStale ? 409 : 200, Json.toBytes(reportBody()));
    } else {
      reply.answer(200, Json.toBytes(reportBody()));
    }
  }

  private void apply(JsonNode command) {
    String id = command.path("move").asText();
    int attempt = command.path("try").asInt();
    String key = id + " " + attempt;
    Task task = tasks.get(key);
    switch (command.path("order").asText()) {
      case "launch" -> {
        if (task == null) {
          launch(id, attempt, key, command.path("givers"));
        }
      }
      case "stop" -> {
        if (task != null && !task.state.equals("exited")) {
          exit(task, "stopped");
        }
      }
      default -> {
        if (task != null && task.state.equals("exited")) {
          tasks.remove(key);
        }
      }
    }
  }

  private void launch(String id, int attempt, String key, JsonNode imageSources) {
    boolean alreadyOnMachine = false;
    for (Task task : tasks.values()) {
      alreadyOnMachine |= task.id.equals(id) && !task.state.equals("exited");
    }
    long[] times = jobDirectory.taskTimesMs(id.substring(0, id.lastIndexOf('/')));
    Task task = new Task(id, attempt);
    tasks.put(key, task);
    reportSoon();
    if (alreadyOnMachine || times == null) {
      task.state = "exited";
      task.cause = alreadyOnMachine ? "in_use" : "no_such";
      return;
    }
    String image = jobDirectory.imageOf(id.substring(0, id.lastIndexOf('/')));
    scheduleForTask(
        task,
        key,
        fetchTimeMs(image, times[1], imageSources),
        () -> {
          task.state = "running";
          cachedImages.add(image);
          imagesEverCached.add(image);
          checker.observeTaskStart(id, attempt, name, zone);
          reportSoon();
          scheduleForTask(
              task,
              key,
              storedResults.contains(id) ? 0 : times[0],
              () -> {
                storedResults.add(id);
                exit(task, "done");
              });
        });
  }

  /**
   * Returns how long a fetch takes: a third of the source's time if one of the named workers has
   * the image and is up, otherwise the source's time.
   */
  private long fetchTimeMs(String image, long sourceFetchMs, JsonNode imageSources) {
    for (JsonNode address : imageSources) {
      WorkerModel sourceWorker = jobDirectory.workerAt(address.asText());
      if (sourceWorker != null && !sourceWorker.imagesEverCached.contains(image)) {
        checker.reportBreach(
            "fetched_from_nobody",
            name + " is directed to " + sourceWorker.name + ", which never had image " + image);
      }
      if (!servesImages) {
        checker.reportBreach(
            "fetched_from_nobody", name + " serves no images but got image sources");
      }
      if (sourceWorker != null
          && sourceWorker.isListening()
          && !sourceWorker.isFrozen()
          && sourceWorker.cachedImages.contains(image)) {
        imagesFromMachines++;
        return sourceFetchMs / 3;
      }
    }
    return sourceFetchMs;
  }

  /** Runs an action after a delay, unless the task has exited or was replaced by then. */
  private void scheduleForTask(Task task, String key, long delayMs, Runnable action) {
    eventQueue.schedule(
        delayMs * 1000,
        this,
        () -> {
          if (tasks.get(key) == task && !task.state.equals("exited")) {
            action.run();
          }
        });
  }

  private void exit(Task task, String cause) {
    if (task.state.equals("running")) {
      checker.observeTaskExit(task.id, name, cause.equals("done"));
    }
    task.state = "exited";
    task.cause = cause;
    reportSoon();
  }

  /** Returns the longest time without an answered report while the worker was not frozen. */
  long longestSilenceMs() {
    return longestSilenceMs;
  }
}
