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

/** All users, and the load balancer in front of the controllers. */
final class UserModel extends Network.Party implements WorkerModel.JobDirectory {
  private static final long SUBMIT_MS = 5_000;
  private static final long POLL_MS = 2_000;
  private static final long EVERY_MS = 5_000;
  private static final long PATIENCE_MS = 60_000;
  private static final long PROBE_MS = 1_000;
  private static final long BACK_MS = 3_000;
  private static final long PAUSE_WINDOW_MS = 120_000;
  private static final long MOST_PAUSE_MS = 60_000;
  private static final int CONNECT_TRIES = 3;
  private static final byte[] NOTHING = new byte[0];

  private static final class Seen {
    private boolean healthy;
    private boolean ever;
    private int bad;
    private int good;
    private long removedMs;
    private long pauseMs = BACK_MS;
  }

  private final EventQueue time;
  private final Network network;
  private final SplittableRandom random;
  private final List<SimulatedEnvironment> nodes;
  private final InvariantChecker checker;
  private final Map<String, long[]> taskTimes = new HashMap<>();
  private final List<Seen> seen = new ArrayList<>();
  private int openJobs;

  UserModel(
      EventQueue time,
      Network network,
      SplittableRandom random,
      List<SimulatedEnvironment> nodes,
      InvariantChecker checker) {
    super(Network.Kind.USERS, 0, "users", null);
    this.time = time;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.checker = checker;
    for (int i = 0; i < nodes.size(); i++) {
      seen.add(new Seen());
      probe(i);
    }
  }

  /** Where workers listen. */
  Function<String, WorkerModel> workerByAddress = a -> null;

  private final Map<String, String> images = new HashMap<>();

  @Override
  public String imageOf(String job) {
    return images.get(job);
  }

  @Override
  public WorkerModel workerAt(String address) {
    return workerByAddress.apply(address);
  }

  @Override
  public long[] taskTimesMs(String job) {
    return taskTimes.get(job);
  }

  /** Jobs that users still wait for. */
  int openJobs() {
    return openJobs;
  }

  private void probe(int i) {
    time.schedule(PROBE_MS * 1000, this, () -> probe(i));
    network.call(
        this,
        nodes.get(i),
        "GET",
        "/healthz",
        NOTHING,
        PROBE_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            judge(seen.get(i), status == 200);
          }

          @Override
          public void onFailure(boolean sent) {
            judge(seen.get(i), false);
          }
        });
  }

  private void judge(Seen s, boolean good) {
    s.good = good ? s.good + 1 : 0;
    s.bad = good ? 0 : s.bad + 1;
    if (s.healthy && s.bad >= 2) {
      s.healthy = false;
      // The pause doubles with every further removal within two minutes.
      boolean again = s.removedMs > 0 && time.nowMs() - s.removedMs < PAUSE_WINDOW_MS;
      s.pauseMs = again ? Math.min(MOST_PAUSE_MS, 2 * s.pauseMs) : BACK_MS;
      s.removedMs = time.nowMs();
    } else if (!s.healthy
        && (s.good >= 2 || (s.good == 1 && !s.ever))
        && time.nowMs() - s.removedMs >= (s.ever ? s.pauseMs : 0)) {
      s.healthy = true;
      s.ever = true;
    }
  }

  private SimulatedEnvironment healthy() {
    List<SimulatedEnvironment> all = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (seen.get(i).healthy) {
        all.add(nodes.get(i));
      }
    }
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }

  private interface Got {
    void got(int status, String standing);
  }

  /** While true users look at all nodes after each thing that they are told. */
  boolean checksClosely;

  /** A quarter of a user's looks come while the answer to the one before is on its way. */
  private static final long LOOK_US = 6_000;

  private static final int LOOKS = 3;
  private static final int CANCEL_ONE_IN = 8;

  /** Questions and repeated submissions at all nodes, some within the same millisecond. */
  void checkClosely(String id) {
    if (!checksClosely) {
      return;
    }
    for (SimulatedEnvironment node : nodes) {
      for (int i = 0; i < LOOKS; i++) {
        time.schedule(random.nextLong(LOOK_US << (2 * i)), this, () -> questionAt(node, id));
      }
      if (random.nextBoolean()) {
        time.schedule(random.nextLong(LOOK_US), this, () -> repeatAt(node, id));
      }
    }
  }

  private void accepted(InvariantChecker.SubmittedJob s) {
    if (checksClosely) {
      closelyCheckedJobs++;
      checkClosely(s.id());
      if (random.nextInt(CANCEL_ONE_IN) == 0) {
        time.schedule(random.nextLong(LOOK_US), this, () -> cancel(s, time.nowMs()));
      }
    }
  }

  /** How many jobs were looked at closely right after they were accepted. */
  int closelyCheckedJobs() {
    return closelyCheckedJobs;
  }

  private int closelyCheckedJobs;

  private void questionAt(SimulatedEnvironment node, String id) {
    long sentMs = time.nowMs();
    askAt(
        node,
        "GET",
        "/v1/jobs/" + id,
        NOTHING,
        POLL_MS,
        (status, standing) -> checker.observeJobAnswer(id, status, standing, sentMs));
  }

  private void repeatAt(SimulatedEnvironment node, String id) {
    long sentMs = time.nowMs();
    askAt(
        node,
        "POST",
        "/v1/jobs",
        Json.toBytes(bodies.get(id)),
        SUBMIT_MS,
        (status, standing) -> checker.observeSubmissionAnswer(id, status, standing, sentMs));
  }

  /** Asks one node, past the load balancer; status 0 stands for no answer. */
  private void askAt(
      SimulatedEnvironment node, String method, String target, byte[] body, long ms, Got got) {
    call(node, method, target, body, ms, got, sent -> got.got(0, ""));
  }

  /** Asks any healthy node; status 0 stands for no answer. */
  private void ask(String method, String target, byte[] body, long ms, int tries, Got got) {
    SimulatedEnvironment node = healthy();
    if (node == null) {
      time.schedule(ms * 1000, this, () -> got.got(0, ""));
      return;
    }
    call(
        node,
        method,
        target,
        body,
        ms,
        got,
        sent -> {
          if (!sent && tries > 1) {
            ask(method, target, body, ms, tries - 1, got);
          } else {
            got.got(0, "");
          }
        });
  }

  /** Calls a node; {@code failed} hears whether the request may have been sent. */
  private void call(
      SimulatedEnvironment node,
      String method,
      String target,
      byte[] body,
      long ms,
      Got got,
      Consumer<Boolean> failed) {
    network.call(
        this,
        node,
        method,
        target,
        body,
        ms,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] bytes) {
            got.got(status, standing(bytes));
          }

          @Override
          public void onFailure(boolean sent) {
            failed.accept(sent);
          }
        });
  }

  private static String standing(byte[] body) {
    try {
      return Json.parseObject(body).path("standing").asText();
    } catch (InvalidMessageException e) {
      return "";
    }
  }

  /** Submits a job now, follows it to its end, and perhaps cancels it. */
  void submitJob(
      InvariantChecker.SubmittedJob s,
      String rank,
      long runMs,
      long fetchMs,
      long cancelAfterMs,
      ObjectNode dependencies) {
    taskTimes.put(s.id(), new long[] {runMs, fetchMs});
    jobs.put(s.id(), s);
    images.put(s.id(), "i-" + s.taskClass());
    checker.observeFirstSubmission(s);
    openJobs++;
    ObjectNode o = Json.object();
    o.put("name_id", s.id()).put("docket", s.taskClass()).put("crew", s.team());
    o.put("form", s.gang() ? "gang" : "sweep").put("rank", rank).put("moves", s.taskCount());
    o.put("cpus", s.cpusPerTask()).put("cards", 0.0).put("mem_gb", 1.0);
    o.put("kit", "i-" + s.taskClass()).put("size_gb", fetchMs / 1000.0);
    o.putNull("builds").put("ground", s.zone()).put("together", s.sameZone());
    o.put("scatter", false).put("driftwood", true).put("reckon_s", runMs / 1000.0);
    if (dependencies != null) {
      o.setAll(dependencies);
    }
    o.put("cairn_s", 0.0).put("stow_s", 0.0).put("due_s", 60.0);
    bodies.put(s.id(), o);
    submit(s, Json.toBytes(o));
    if (cancelAfterMs > 0) {
      time.schedule(cancelAfterMs * 1000, this, () -> cancel(s, time.nowMs()));
    }
  }

  private void submit(InvariantChecker.SubmittedJob s, byte[] body) {
    long sentMs = time.nowMs();
    ask(
        "POST",
        "/v1/jobs",
        body,
        SUBMIT_MS,
        CONNECT_TRIES,
        (status, standing) -> {
          checker.observeSubmissionAnswer(s.id(), status, standing, sentMs);
          if (status == 200 || status == 201) {
            accepted(s);
            poll(s);
          } else if (status == 422) {
            openJobs--; // Never: it is not sent again.
          } else if (time.nowMs() - s.submittedMs() < PATIENCE_MS) {
            time.schedule(1_000_000 + random.nextLong(500_000), this, () -> submit(s, body));
          } else {
            openJobs--;
          }
        });
  }

  private void poll(InvariantChecker.SubmittedJob s) {
    time.schedule(
        EVERY_MS * 1000 + random.nextLong(500_000),
        this,
        () -> {
          checker.observeQuery(s.id());
          long sentMs = time.nowMs();
          ask(
              "GET",
              "/v1/jobs/" + s.id(),
              NOTHING,
              POLL_MS,
              CONNECT_TRIES,
              (status, standing) -> {
                checker.observeJobAnswer(s.id(), status, standing, sentMs);
                if (standing.equals("done") || standing.equals("withdrawn")) {
                  checkClosely(s.id());
                  openJobs--;
                } else {
                  poll(s);
                }
              });
        });
  }

  private void cancel(InvariantChecker.SubmittedJob s, long sinceMs) {
    checker.observeCancellationRequest(s.id());
    long sentMs = time.nowMs();
    ask(
        "POST",
        "/v1/jobs/" + s.id() + "/withdraw",
        new byte[] {'{', '}'},
        SUBMIT_MS,
        CONNECT_TRIES,
        (status, standing) -> {
          if (status != 404) {
            checker.observeJobAnswer(s.id(), status, standing, sentMs);
          }
          if (status == 200) {
            checkClosely(s.id());
          }
          if (status != 200 && time.nowMs() - sinceMs < PATIENCE_MS) {
            time.schedule(1_500_000, this, () -> cancel(s, sinceMs));
          }
        });
  }

  private final Map<String, InvariantChecker.SubmittedJob> jobs = new HashMap<>();
  private final Map<String, ObjectNode> bodies = new LinkedHashMap<>();

  /** Cancels a job, and goes on until it is told an end. */
  void cancel(String id) {
    cancel(jobs.get(id), time.nowMs());
  }

  /** How long a task of the job runs. */
  long runMs(String id) {
    return taskTimes.get(id)[0];
  }

  /** Submits a job once more. */
  void resubmit(String id) {
    long sentMs = time.nowMs();
    ask(
        "POST",
        "/v1/jobs",
        Json.toBytes(bodies.get(id)),
        SUBMIT_MS,
        CONNECT_TRIES,
        (status, standing) -> checker.observeSubmissionAnswer(id, status, standing, sentMs));
  }

  /** Asks about a job once. */
  void query(String id) {
    long sentMs = time.nowMs();
    ask(
        "GET",
        "/v1/jobs/" + id,
        NOTHING,
        POLL_MS,
        CONNECT_TRIES,
        (status, standing) -> checker.observeJobAnswer(id, status, standing, sentMs));
  }

  /** One of the odd things that users send, of some job that there is. */
  void sendOddRequest(int count) {
    if (bodies.isEmpty()) {
      return;
    }
    List<String> ids = new ArrayList<>(bodies.keySet());
    String id = ids.get(random.nextInt(ids.size()));
    if (checker.isEnded(id)) {
      cancel(id); // Done or cancelled: it stays what it was called.
      return;
    }
    if (random.nextBoolean()) {
      if (checker.isAccepted(id)) {
        resubmit(id);
      }
      return;
    }
    ObjectNode o = bodies.get(id).deepCopy();
    o.put("name_id", String.format("job-8%05d", count));
    String what = INVALID.get(random.nextInt(INVALID.size()));
    String field = what.substring(0, what.indexOf(' '));
    switch (what.substring(what.indexOf(' ') + 1)) {
      case "absent" -> o.remove(field);
      case "null" -> o.putNull(field);
      case "text" -> o.put(field, "x");
      case "negative" -> o.put(field, -1);
      default -> o.put(field, 1e12);
    }
    ask(
        "POST",
        "/v1/jobs",
        Json.toBytes(o),
        SUBMIT_MS,
        CONNECT_TRIES,
        (status, standing) -> checker.observeInvalidSubmissionAnswer(what, status));
  }

  /** A field and what is wrong with it; a team or a zone that is not there is text as well. */
  private static final List<String> INVALID =
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

  /** Asks about a job that nobody has submitted. */
  void queryUnknownJob(String id) {
    ask(
        "GET",
        "/v1/jobs/" + id,
        NOTHING,
        POLL_MS,
        1,
        (status, standing) -> checker.observeJobAnswer(id, status, standing, 0));
  }
}
