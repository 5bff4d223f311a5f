package org.mallowroad.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Models all users and the load balancer in front of the controllers. The load balancer probes the
 * controllers' health and routes requests to healthy ones only.
 */
final class UserModel extends Network.Party implements WorkerModel.JobDirectory {
  private static final long SUBMIT_TIMEOUT_MS = 5_000;
  private static final long QUERY_TIMEOUT_MS = 2_000;
  private static final long POLL_INTERVAL_MS = 5_000;
  private static final long RETRY_WINDOW_MS = 60_000;
  private static final long PROBE_INTERVAL_MS = 1_000;
  private static final long MIN_REMOVAL_MS = 3_000;
  private static final long REMOVAL_DOUBLING_WINDOW_MS = 120_000;
  private static final long MAX_REMOVAL_MS = 60_000;
  private static final int MAX_CONNECT_ATTEMPTS = 3;
  private static final byte[] EMPTY_BODY = new byte[0];

  /** The load balancer's view of one controller, from its health probes. */
  private static final class NodeHealth {
    private boolean healthy;
    private boolean wasHealthy;
    private int failedProbes;
    private int successfulProbes;
    private long lastRemovedMs;
    private long removalMs = MIN_REMOVAL_MS;
  }

  private final EventQueue eventQueue;
  private final Network network;
  private final SplittableRandom random;
  private final List<SimulatedEnvironment> nodes;
  private final InvariantChecker checker;
  private final Map<String, long[]> taskTimes = new HashMap<>();
  private final List<NodeHealth> nodeHealth = new ArrayList<>();
  private int openJobs;

  UserModel(
      EventQueue eventQueue,
      Network network,
      SplittableRandom random,
      List<SimulatedEnvironment> nodes,
      InvariantChecker checker) {
    super(Network.Kind.USERS, 0, "users", null);
    this.eventQueue = eventQueue;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.checker = checker;
    for (int i = 0; i < nodes.size(); i++) {
      nodeHealth.add(new NodeHealth());
      scheduleProbe(i);
    }
  }

  /** Finds the worker that listens at an address; returns null if there is none. */
  Function<String, WorkerModel> workerByAddress = address -> null;

  private final Map<String, String> imageByJob = new HashMap<>();

  @Override
  public String imageOf(String job) {
    return imageByJob.get(job);
  }

  @Override
  public WorkerModel workerAt(String address) {
    return workerByAddress.apply(address);
  }

  @Override
  public long[] taskTimesMs(String job) {
    return taskTimes.get(job);
  }

  /** Returns how many jobs users still wait for. */
  int openJobs() {
    return openJobs;
  }

  private void scheduleProbe(int index) {
    eventQueue.schedule(PROBE_INTERVAL_MS * 1000, this, () -> scheduleProbe(index));
    network.call(
        this,
        nodes.get(index),
        "GET",
        "/healthz",
        EMPTY_BODY,
        PROBE_INTERVAL_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            recordProbe(nodeHealth.get(index), status == 200);
          }

          @Override
          public void onFailure(boolean sent) {
            recordProbe(nodeHealth.get(index), false);
          }
        });
  }

  private void recordProbe(NodeHealth health, boolean succeeded) {
    health.successfulProbes = succeeded ? health.successfulProbes + 1 : 0;
    health.failedProbes = succeeded ? 0 : health.failedProbes + 1;
    if (health.healthy && health.failedProbes >= 2) {
      health.healthy = false;
      // The time out of rotation doubles with each further removal within two minutes.
      boolean recentlyRemoved =
          health.lastRemovedMs > 0
              && eventQueue.nowMs() - health.lastRemovedMs < REMOVAL_DOUBLING_WINDOW_MS;
      health.removalMs =
          recentlyRemoved ? Math.min(MAX_REMOVAL_MS, 2 * health.removalMs) : MIN_REMOVAL_MS;
      health.lastRemovedMs = eventQueue.nowMs();
    } else if (!health.healthy
        && (health.successfulProbes >= 2 || (health.successfulProbes == 1 && !health.wasHealthy))
        && eventQueue.nowMs() - health.lastRemovedMs
            >= (health.wasHealthy ? health.removalMs : 0)) {
      health.healthy = true;
      health.wasHealthy = true;
    }
  }

  private SimulatedEnvironment randomHealthyNode() {
    List<SimulatedEnvironment> healthyNodes = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (nodeHealth.get(i).healthy) {
        healthyNodes.add(nodes.get(i));
      }
    }
    return healthyNodes.isEmpty() ? null : healthyNodes.get(random.nextInt(healthyNodes.size()));
  }

  private interface AnswerHandler {
    void answered(int status, String standing);
  }

  /** If true, users query all nodes after each accepted submission, end and cancellation. */
  boolean checksClosely;

  /**
   * Spread of the first round of close queries, in microseconds; each further round has four times
   * that. With this spread, a quarter of the queries are sent while the previous answer is still on
   * its way.
   */
  private static final long CLOSE_QUERY_SPREAD_US = 6_000;

  private static final int CLOSE_QUERIES_PER_NODE = 3;
  private static final int CANCEL_ONE_IN = 8;

  /**
   * Queries a job on all nodes and resubmits it on some, at random moments of which some fall into
   * the same millisecond.
   */
  void checkClosely(String id) {
    if (!checksClosely) {
      return;
    }
    for (SimulatedEnvironment node : nodes) {
      for (int i = 0; i < CLOSE_QUERIES_PER_NODE; i++) {
        eventQueue.schedule(
            random.nextLong(CLOSE_QUERY_SPREAD_US << (2 * i)), this, () -> queryNode(node, id));
      }
      if (random.nextBoolean()) {
        eventQueue.schedule(
            random.nextLong(CLOSE_QUERY_SPREAD_US), this, () -> resubmitToNode(node, id));
      }
    }
  }

  private void onAccepted(InvariantChecker.SubmittedJob job) {
    if (checksClosely) {
      closelyCheckedJobs++;
      checkClosely(job.id());
      if (random.nextInt(CANCEL_ONE_IN) == 0) {
        eventQueue.schedule(
            random.nextLong(CLOSE_QUERY_SPREAD_US), this, () -> cancel(job, eventQueue.nowMs()));
      }
    }
  }

  /** Returns how many accepted submissions were followed by close checks. */
  int closelyCheckedJobs() {
    return closelyCheckedJobs;
  }

  private int closelyCheckedJobs;

  private void queryNode(SimulatedEnvironment node, String id) {
    long sentMs = eventQueue.nowMs();
    callNode(
        node,
        "GET",
        "/v1/jobs/" + id,
        EMPTY_BODY,
        QUERY_TIMEOUT_MS,
        (status, jobStatus) -> checker.observeJobAnswer(id, status, jobStatus, sentMs));
  }

  private void resubmitToNode(SimulatedEnvironment node, String id) {
    long sentMs = eventQueue.nowMs();
    callNode(
        node,
        "POST",
        "/v1/jobs",
        Json.toBytes(submissionBodies.get(id)),
        SUBMIT_TIMEOUT_MS,
        (status, jobStatus) -> checker.observeSubmissionAnswer(id, status, jobStatus, sentMs));
  }

  /** Calls one node and bypasses the load balancer; status 0 means that no answer came. */
  private void callNode(
      SimulatedEnvironment node,
      String method,
      String target,
      byte[] body,
      long timeoutMs,
      AnswerHandler handler) {
    callOnce(node, method, target, body, timeoutMs, handler, sent -> handler.answered(0, ""));
  }

  /** Calls a random healthy node; status 0 means that no answer came. */
  private void callHealthyNode(
      String method,
      String target,
      byte[] body,
      long timeoutMs,
      int attempts,
      AnswerHandler handler) {
    SimulatedEnvironment node = randomHealthyNode();
    if (node == null) {
      eventQueue.schedule(timeoutMs * 1000, this, () -> handler.answered(0, ""));
      return;
    }
    callOnce(
        node,
        method,
        target,
        body,
        timeoutMs,
        handler,
        sent -> {
          if (!sent && attempts > 1) {
            callHealthyNode(method, target, body, timeoutMs, attempts - 1, handler);
          } else {
            handler.answered(0, "");
          }
        });
  }

  /** Calls a node once; {@code onFailure} gets whether the request may have been sent. */
  private void callOnce(
      SimulatedEnvironment node,
      String method,
      String target,
      byte[] body,
      long timeoutMs,
      AnswerHandler handler,
      Consumer<Boolean> onFailure) {
    network.call(
        this,
        node,
        method,
        target,
        body,
        timeoutMs,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] bytes) {
            handler.answered(status, jobStatus(bytes));
          }

          @Override
          public void onFailure(boolean sent) {
            onFailure.accept(sent);
          }
        });
  }

  private static String jobStatus(byte[] body) {
    try {
      return Json.parseObject(body).path("standing").asText();
    } catch (InvalidMessageException e) {
      return "";
    }
  }

  /**
   * Submits a job now and polls it until it ends.
   *
   * @param runMs how long each task runs, in milliseconds
   * @param fetchMs how long a fetch of the job's image from its source takes
   * @param cancelAfterMs when the user cancels the job, counted from now; 0: never
   * @param dependencies fields for folds and dependencies to add to the body, or null
   */
  void submitJob(
      InvariantChecker.SubmittedJob job,
      String priority,
      long runMs,
      long fetchMs,
      long cancelAfterMs,
      ObjectNode dependencies) {
    taskTimes.put(job.id(), new long[] {runMs, fetchMs});
    submittedJobs.put(job.id(), job);
    imageByJob.put(job.id(), "i-" + job.taskClass());
    checker.observeFirstSubmission(job);
    openJobs++;
    ObjectNode body = Json.object();
    body.put("name_id", job.id()).put("docket", job.taskClass()).put("crew", job.team());
    body.put("form", job.gang() ? "gang" : "sweep")
        .put("rank", priority)
        .put("moves", job.taskCount());
    body.put("cpus", job.cpusPerTask()).put("cards", 0.0).put("mem_gb", 1.0);
    body.put("kit", "i-" + job.taskClass()).put("size_gb", fetchMs / 1000.0);
    body.putNull("builds").put("ground", job.zone()).put("together", job.sameZone());
    body.put("scatter", false).put("driftwood", true).put("reckon_s", runMs / 1000.0);
    if (dependencies != null) {
      body.setAll(dependencies);
    }
    body.put("cairn_s", 0.0).put("stow_s", 0.0).put("due_s", 60.0);
    submissionBodies.put(job.id(), body);
    sendSubmission(job, Json.toBytes(body));
    if (cancelAfterMs > 0) {
      eventQueue.schedule(cancelAfterMs * 1000, this, () -> cancel(job, eventQueue.nowMs()));
    }
  }

  private void sendSubmission(InvariantChecker.SubmittedJob job, byte[] body) {
    long sentMs = eventQueue.nowMs();
    callHealthyNode(
        "POST",
        "/v1/jobs",
        body,
        SUBMIT_TIMEOUT_MS,
        MAX_CONNECT_ATTEMPTS,
        (status, jobStatus) -> {
          checker.observeSubmissionAnswer(job.id(), status, jobStatus, sentMs);
          if (status == 200 || status == 201) {
            onAccepted(job);
            schedulePoll(job);
          } else if (status == 422) {
            openJobs--; // The job can never run, so it is not submitted again.
          } else if (eventQueue.nowMs() - job.submittedMs() < RETRY_WINDOW_MS) {
            eventQueue.schedule(
                1_000_000 + random.nextLong(500_000), this, () -> sendSubmission(job, body));
          } else {
            openJobs--;
          }
        });
  }

  private void schedulePoll(InvariantChecker.SubmittedJob job) {
    eventQueue.schedule(
        POLL_INTERVAL_MS * 1000 + random.nextLong(500_000),
        this,
        () -> {
          checker.observeQuery(job.id());
          long sentMs = eventQueue.nowMs();
          callHealthyNode(
              "GET",
              "/v1/jobs/" + job.id(),
              EMPTY_BODY,
              QUERY_TIMEOUT_MS,
              MAX_CONNECT_ATTEMPTS,
              (status, jobStatus) -> {
                checker.observeJobAnswer(job.id(), status, jobStatus, sentMs);
                if (jobStatus.equals("done") || jobStatus.equals("withdrawn")) {
                  checkClosely(job.id());
                  openJobs--;
                } else {
                  schedulePoll(job);
                }
              });
        });
  }

  private void cancel(InvariantChecker.SubmittedJob job, long firstSentMs) {
    checker.observeCancellationRequest(job.id());
    long sentMs = eventQueue.nowMs();
    callHealthyNode(
        "POST",
        "/v1/jobs/" + job.id() + "/withdraw",
        new byte[] {'{', '}'},
        SUBMIT_TIMEOUT_MS,
        MAX_CONNECT_ATTEMPTS,
        (status, jobStatus) -> {
          if (status != 404) {
            checker.observeJobAnswer(job.id(), status, jobStatus, sentMs);
          }
          if (status == 200) {
            checkClosely(job.id());
          }
          if (status != 200 && eventQueue.nowMs() - firstSentMs < RETRY_WINDOW_MS) {
            eventQueue.schedule(1_500_000, this, () -> cancel(job, firstSentMs));
          }
        });
  }

  private final Map<String, InvariantChecker.SubmittedJob> submittedJobs = new HashMap<>();
  private final Map<String, ObjectNode> submissionBodies = new LinkedHashMap<>();

  /** Cancels a job; retries without a 200 answer for up to a minute. */
  void cancel(String id) {
    cancel(submittedJobs.get(id), eventQueue.nowMs());
  }

  /** Returns how long each task of a job runs, in milliseconds. */
  long runMs(String id) {
    return taskTimes.get(id)[0];
  }

  /** Submits a job again with the same body. */
  void resubmit(String id) {
    long sentMs = eventQueue.nowMs();
    callHealthyNode(
        "POST",
        "/v1/jobs",
        Json.toBytes(submissionBodies.get(id)),
        SUBMIT_TIMEOUT_MS,
        MAX_CONNECT_ATTEMPTS,
        (status, jobStatus) -> checker.observeSubmissionAnswer(id, status, jobStatus, sentMs));
  }

  /** Queries the status of a job once. */
  void query(String id) {
    long sentMs = eventQueue.nowMs();
    callHealthyNode(
        "GET",
        "/v1/jobs/" + id,
        EMPTY_BODY,
        QUERY_TIMEOUT_MS,
        MAX_CONNECT_ATTEMPTS,
        (status, jobStatus) -> checker.observeJobAnswer(id, status, jobStatus, sentMs));
  }

  /**
   * Sends an odd request for a random job: a cancellation if the job has ended; otherwise a
   * repeated submission, or a new submission with an invalid field.
   *
   * @param count number that makes the name of an invalid job unique
   */
  void sendOddRequest(int count) {
    if (submissionBodies.isEmpty()) {
      return;
    }
    List<String> ids = new ArrayList<>(submissionBodies.keySet());
    String id = ids.get(random.nextInt(ids.size()));
    if (checker.isEnded(id)) {
      cancel(id); // The reported status of an ended job must not change.
      return;
    }
    if (random.nextBoolean()) {
      if (checker.isAccepted(id)) {
        resubmit(id);
      }
      return;
    }
    ObjectNode body = submissionBodies.get(id).deepCopy();
    body.put("name_id", String.format("job-8%05d", count));
    String defect = INVALID_FIELDS.get(random.nextInt(INVALID_FIELDS.size()));
    String field = defect.substring(0, defect.indexOf(' '));
    switch (defect.substring(defect.indexOf(' ') + 1)) {
      case "absent" -> body.remove(field);
      case "null" -> body.putNull(field);
      case "text" -> body.put(field, "x");
      case "negative" -> body.put(field, -1);
      default -> body.put(field, 1e12);
    }
    callHealthyNode(
        "POST",
        "/v1/jobs",
        Json.toBytes(body),
        SUBMIT_TIMEOUT_MS,
        MAX_CONNECT_ATTEMPTS,
        (status, jobStatus) -> checker.observeInvalidSubmissionAnswer(defect, status));
  }

  /**
   * Fields of a submission, each with its defect; "text" also stands for an unknown team or zone.
   */
  private static final List<String> INVALID_FIELDS =
      List.of(
          "docket absent",
          "crew null",
          "crew text",
          "form text",
          "rank absent",
          "moves negative",
          "moves text",
          "moves huge",
          "cpus absent",
          "cpus huge",
          "mem_gb negative",
          "kit absent",
          "size_gb text",
          "together null",
          "scatter absent",
          "driftwood text",
          "reckon_s absent",
          "cairn_s negative",
          "stow_s null",
          "ground text",
          "builds text",
          "due_s negative");

  /** Queries a job that was never submitted. */
  void queryUnknownJob(String id) {
    callHealthyNode(
        "GET",
        "/v1/jobs/" + id,
        EMPTY_BODY,
        QUERY_TIMEOUT_MS,
        1,
        (status, jobStatus) -> checker.observeJobAnswer(id, status, jobStatus, 0));
  }
}
