package org.mallowroad.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.RecordPolicy;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.config.Settings.TeamSetting;
import org.mallowroad.controller.ClusterConfig;
import org.mallowroad.controller.Node;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;

/**
 * A short simulated history in virtual time that passes every request and response sent by a
 * controller to a listener. Equal seeds give equal histories.
 *
 * <p>Three controllers serve job arrays, gangs, jobs with large images, rating jobs and jobs that
 * wait for others. Meanwhile controllers are cut off from the state service, the workers and the
 * cloud in turn, the leader crashes, and the state service refuses one controller.
 */
public final class RecordedHistory {
  private static final List<String> TEAMS = List.of("red", "green", "blue");
  private static final int NODES = 3;
  private static final int MACHINES_PER_ZONE = 10;
  private static final long CANCEL_MS = 28_000;
  private static final long END_MS = 110_000;
  private static final long RUN_STEP_US = 500_000;
  private static final int STATE_RPS = 400;
  private static final int STATE_WRITE_RPS = 100;

  /** The kind of party that a controller exchanges a message with. */
  public enum Party {
    /** Users and their load balancer. */
    USERS,
    /** Workers on rented machines. */
    WORKERS,
    /** The cloud API. */
    CLOUD,
    /** The state service. */
    STATE,
    /** Another controller. */
    CONTROLLERS
  }

  /** Receives the messages that leave the controllers, in chronological order. */
  public interface Listener {
    /** Called when a controller sends a request. */
    void onRequest(int node, Party to, String method, String path, byte[] body);

    /**
     * Called when a controller responds to a request.
     *
     * @param type the content type of the body
     * @param retryLater whether the response asks the client to retry later
     */
    void onResponse(
        int node,
        Party to,
        String method,
        String path,
        int status,
        String type,
        boolean retryLater,
        byte[] body);
  }

  private final Listener listener;
  private final boolean writesSharedStarts;
  private final EventQueue eventQueue = new EventQueue();
  private final SplittableRandom random;
  private final Network network;
  private final StateModel state;
  private final CloudModel cloud;
  private final InvariantChecker checker;
  private final UserModel users;
  private final List<SimulatedEnvironment> controllers = new ArrayList<>();
  private final Map<String, Network.Party> partyByHost = new HashMap<>();

  /**
   * Creates a history for a seed.
   *
   * @param writesSharedStarts whether leaders write shared start records for small jobs
   */
  public RecordedHistory(long seed, boolean writesSharedStarts, Listener listener) {
    this.listener = listener;
    this.writesSharedStarts = writesSharedStarts;
    this.random = new SplittableRandom(seed);
    this.network = new Network(eventQueue, random.split());
    Map<String, Double> limits = new HashMap<>();
    TEAMS.forEach(team -> limits.put(team, 60.0));
    this.checker = new InvariantChecker(eventQueue::nowMs, limits, CANCEL_MS);
    this.state = new StateModel(eventQueue, random.split(), STATE_RPS, STATE_WRITE_RPS);
    this.cloud =
        new CloudModel(
            eventQueue, random.split(), Scenario.ZONES, MACHINES_PER_ZONE, this::createWorker);
    partyByHost.put("state", state);
    partyByHost.put("cloud", cloud);
    for (int i = 0; i < NODES; i++) {
      SimulatedEnvironment host =
          new SimulatedEnvironment(
              eventQueue,
              network,
              endpoint -> partyByHost.get(endpoint.host()),
              i,
              "n" + i,
              zoneOf(i),
              0,
              0);
      controllers.add(host);
      partyByHost.put(host.name, host);
    }
    network.controllers = controllers;
    this.users = new UserModel(eventQueue, network, random.split(), controllers, checker);
    users.workerByAddress =
        address ->
            partyByHost.get(address.substring(0, address.indexOf(':'))) instanceof WorkerModel w
                ? w
                : null;
  }

  /** Runs the history to its end. */
  public void run() {
    for (int i = 0; i < NODES; i++) {
      int node = i;
      scheduleAfter(10 + 20 * i, () -> startNode(node));
    }
    submitJobs();
    new RatingModel(eventQueue, random.split(), users, checker, state.store())
        .scheduleJobs(6, 50_000);
    scheduleFaults();
    while (eventQueue.nowMs() < END_MS) {
      long stepEndUs = eventQueue.nowUs() + RUN_STEP_US;
      while (eventQueue.runNext(stepEndUs)) {
        // Each call runs one event.
      }
    }
  }

  private void scheduleAfter(long delayMs, Runnable task) {
    eventQueue.schedule(delayMs * 1000, null, task);
  }

  private static String zoneOf(int node) {
    return Scenario.ZONES.get(node % Scenario.ZONES.size());
  }

  private WorkerModel createWorker(String[] nameAndZone) {
    int workerIndex = partyByHost.size();
    WorkerModel worker =
        new WorkerModel(
            eventQueue,
            network,
            random.split(),
            controllers,
            users,
            checker,
            2_000,
            13_000,
            workerIndex,
            nameAndZone[0],
            nameAndZone[1]);
    worker.servesImages = workerIndex % 4 != 0;
    partyByHost.put("w" + workerIndex, worker);
    return worker;
  }

  private void submitJobs() {
    for (int i = 0; i < 14; i++) {
      String zone = i % 5 == 0 ? Scenario.ZONES.get(0) : null;
      long cancelAfterMs = i % 4 == 1 ? 6_000 : 0;
      submit("job-1000" + (10 + i), "short", 1 + i % 5, zone, false, 3_000 + 4_000L * i, 300, 0);
      submit("job-2000" + (10 + i), "wide", 9, null, false, 4_000 + 5_000L * i, 600, cancelAfterMs);
    }
    submit("job-300001", "gang", 4, null, true, 9_000, 500, 0);
    submit("job-300002", "gang", 3, null, true, 41_000, 500, 0);
    submit("job-400001", "weights", 12, null, false, 15_000, 9_000, 0);
    scheduleAfter(20_000, () -> users.queryUnknownJob("job-999999"));
    for (int i = 0; i < 60; i++) {
      int requestNumber = i;
      scheduleAfter(12_000 + 1_300L * i, () -> users.sendOddRequest(requestNumber));
    }
  }

  private void submit(
      String id,
      String taskClass,
      int taskCount,
      String zone,
      boolean gang,
      long atMs,
      long fetchMs,
      long cancelAfterMs) {
    String team = TEAMS.get(taskCount % TEAMS.size());
    double cpusPerTask = gang ? 4 : 2;
    InvariantChecker.SubmittedJob job =
        new InvariantChecker.SubmittedJob(
            id, team, taskClass, taskCount, cpusPerTask, zone, gang, gang, atMs);
    long runMs = 3_000 + 500L * taskCount;
    String priority = taskCount % 3 == 0 ? "urgent" : "normal";
    scheduleAfter(atMs, () -> users.submitJob(job, priority, runMs, fetchMs, cancelAfterMs, null));
  }

  private void scheduleFaults() {
    cutOff(26_000, 12_000, 1, Network.Kind.STATE);
    cutOff(44_000, 8_000, 0, Network.Kind.WORKER);
    cutOff(56_000, 6_000, 2, Network.Kind.CLOUD);
    scheduleAfter(66_000, () -> crashAndRestart(leaderIndex()));
    scheduleAfter(82_000, () -> state.refusedNode = 0);
    scheduleAfter(90_000, () -> state.refusedNode = -1);
    scheduleAfter(END_MS - 5_000, () -> controllers.forEach(this::requestMetrics));
  }

  private void requestMetrics(SimulatedEnvironment host) {
    RequestSender.ResponseHandler ignored =
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {}

          @Override
          public void onFailure(boolean sent) {}
        };
    network.call(users, host, "GET", "/metrics", new byte[0], 1_000, ignored);
  }

  /**
   * Cuts the controller that is {@code afterLeader} places after the leader off from a kind of
   * party, in both directions.
   */
  private void cutOff(long atMs, long forMs, int afterLeader, Network.Kind kind) {
    scheduleAfter(
        atMs,
        () -> {
          int node = (leaderIndex() + afterLeader) % NODES;
          Runnable restoreOutbound =
              network.cut(
                  new Network.PartySelector(Network.Kind.NODE, node, null),
                  new Network.PartySelector(kind, -1, null),
                  Network.Mode.REFUSE);
          Runnable restoreInbound =
              network.cut(
                  new Network.PartySelector(kind, -1, null),
                  new Network.PartySelector(Network.Kind.NODE, node, null),
                  Network.Mode.REFUSE);
          scheduleAfter(
              forMs,
              () -> {
                restoreOutbound.run();
                restoreInbound.run();
              });
        });
  }

  private int leaderIndex() {
    return state.store().value("leader") == null
        ? 0
        : controllers.stream()
            .filter(host -> host.name.equals(state.store().value("leader").path("node").asText()))
            .findFirst()
            .orElseThrow()
            .index;
  }

  private void crashAndRestart(int node) {
    controllers.get(node).terminate();
    scheduleAfter(
        3_000,
        () -> {
          controllers.get(node).restart(0);
          startNode(node);
        });
  }

  private void startNode(int node) {
    OperatorSettings operator =
        OperatorSettings.defaults()
            .with(new RecordPolicy(writesSharedStarts))
            .with(LinkPolicy.defaults());
    SimulatedEnvironment host = controllers.get(node);
    try {
      Node process =
          new Node(new ClusterConfig(settings(node), operator), new RecordingEnvironment(host));
      eventQueue.schedule(0, host, process::startOnEventLoop);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Settings settings(int node) {
    List<Member> members = new ArrayList<>();
    for (int other = 0; other < NODES; other++) {
      if (other != node) {
        members.add(new Member("n" + other, zoneOf(other), new Endpoint("n" + other, 2)));
      }
    }
    List<TeamSetting> teams = new ArrayList<>();
    TEAMS.forEach(team -> teams.add(new TeamSetting(team, 16, 0, 60, 0)));
    return new Settings(
        "n" + node,
        zoneOf(node),
        new Endpoint("n" + node, 1),
        new Endpoint("n" + node, 2),
        members,
        new Endpoint("cloud", 1),
        new Endpoint("state", 1),
        Scenario.ZONES,
        teams,
        List.of(),
        2,
        13,
        CANCEL_MS / 1000.0,
        STATE_RPS,
        STATE_WRITE_RPS,
        8,
        16,
        20,
        2,
        1_000,
        64,
        NODES);
  }

  /** The environment of a controller; passes all messages that leave it to the listener. */
  private final class RecordingEnvironment implements NodeEnvironment {
    private final SimulatedEnvironment delegate;

    RecordingEnvironment(SimulatedEnvironment delegate) {
      this.delegate = delegate;
    }

    @Override
    public EventLoop loop() {
      return delegate.loop();
    }

    @Override
    public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
      RequestSender sender = delegate.requestSender(to, type, maxOpen, maxBody);
      Party party = partyOf(to);
      return new RequestSender() {
        @Override
        public void send(
            String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
          listener.onRequest(
              delegate.index, party, method, path, body == null ? new byte[0] : body);
          sender.send(method, path, body, timeoutMs, answer);
        }

        @Override
        public void close() {
          sender.close();
        }
      };
    }

    private Party partyOf(Endpoint to) {
      return switch (to.host().charAt(0)) {
        case 's' -> Party.STATE;
        case 'c' -> Party.CLOUD;
        case 'n' -> Party.CONTROLLERS;
        default -> Party.WORKERS;
      };
    }

    @Override
    public void listen(RequestHandler handler) {
      delegate.listen(
          new RequestHandler() {
            @Override
            public void onRequest(IncomingRequest request) {
              Party from = request.path().equals("/v1/report") ? Party.WORKERS : Party.USERS;
              handler.onRequest(new RecordedRequest(delegate.index, from, request));
            }

            @Override
            public void onPeerMessage(IncomingRequest message) {
              handler.onPeerMessage(
                  new RecordedRequest(delegate.index, Party.CONTROLLERS, message));
            }
          });
    }

    @Override
    public long bufferedBodyBytes() {
      return delegate.bufferedBodyBytes();
    }

    @Override
    public String boundAddress(int index) {
      return delegate.boundAddress(index);
    }

    @Override
    public Thread loopThread() {
      return delegate.loopThread();
    }

    @Override
    public void stop() {
      delegate.stop();
    }
  }

  /** A request whose response is passed to the listener. */
  private final class RecordedRequest implements IncomingRequest {
    private final int node;
    private final Party from;
    private final IncomingRequest delegate;

    RecordedRequest(int node, Party from, IncomingRequest delegate) {
      this.node = node;
      this.from = from;
      this.delegate = delegate;
    }

    @Override
    public String method() {
      return delegate.method();
    }

    @Override
    public String path() {
      return delegate.path();
    }

    @Override
    public byte[] body() {
      return delegate.body();
    }

    @Override
    public void respond(int status, String type, byte[] body, boolean retryLater) {
      listener.onResponse(node, from, method(), path(), status, type, retryLater, body);
      delegate.respond(status, type, body, retryLater);
    }
  }
}
