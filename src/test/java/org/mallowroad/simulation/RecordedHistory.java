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
 * A short history in virtual time, the same for the same seed, of which every request and every
 * answer that leaves a controller is handed to a listener.
 *
 * <p>Three controllers serve arrays, gangs, large images, folds and held jobs while a controller is
 * cut off from the state service, the leader from its workers, and the leader's process ends.
 */
public final class RecordedHistory {
  private static final List<String> TEAMS = List.of("red", "green", "blue");
  private static final int NODES = 3;
  private static final int MACHINES_A_ZONE = 10;
  private static final long CANCEL_MS = 28_000;
  private static final long END_MS = 110_000;
  private static final long STEP_US = 500_000;
  private static final int STATE_RPS = 400;
  private static final int STATE_WRITE_RPS = 100;

  /** Who is at the other end of a message. */
  public enum Party {
    /** Users and their load balancer. */
    USERS,
    /** Machines. */
    WORKERS,
    /** The cloud. */
    CLOUD,
    /** The state service. */
    STATE,
    /** Another controller. */
    CONTROLLERS
  }

  /** Takes what leaves the controllers, in the order of time. */
  public interface Listener {
    /** A controller sends a request. */
    void onRequest(int node, Party to, String method, String path, byte[] body);

    /** A controller answers a request; the type is that of the content. */
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
  private final boolean sharedStarts;
  private final EventQueue time = new EventQueue();
  private final SplittableRandom random;
  private final Network network;
  private final StateModel state;
  private final CloudModel cloud;
  private final InvariantChecker checker;
  private final UserModel users;
  private final List<SimulatedEnvironment> hosts = new ArrayList<>();
  private final Map<String, Network.Party> directory = new HashMap<>();

  /**
   * A history for a seed.
   *
   * @param sharedStarts whether leaders write shared records of the starts of small jobs
   */
  public RecordedHistory(long seed, boolean sharedStarts, Listener listener) {
    this.listener = listener;
    this.sharedStarts = sharedStarts;
    this.random = new SplittableRandom(seed);
    this.network = new Network(time, random.split());
    Map<String, Double> limits = new HashMap<>();
    TEAMS.forEach(team -> limits.put(team, 60.0));
    this.checker = new InvariantChecker(time::nowMs, limits, CANCEL_MS);
    this.state = new StateModel(time, random.split(), STATE_RPS, STATE_WRITE_RPS);
    this.cloud =
        new CloudModel(time, random.split(), Scenario.ZONES, MACHINES_A_ZONE, this::createWorker);
    directory.put("state", state);
    directory.put("cloud", cloud);
    for (int i = 0; i < NODES; i++) {
      SimulatedEnvironment host =
          new SimulatedEnvironment(
              time,
              network,
              endpoint -> directory.get(endpoint.host()),
              i,
              "n" + i,
              zoneOf(i),
              0,
              0);
      hosts.add(host);
      directory.put(host.name, host);
    }
    network.controllers = hosts;
    this.users = new UserModel(time, network, random.split(), hosts, checker);
    users.workerByAddress =
        address ->
            directory.get(address.substring(0, address.indexOf(':'))) instanceof WorkerModel w
                ? w
                : null;
  }

  /** Plays it to its end. */
  public void run() {
    for (int i = 0; i < NODES; i++) {
      int node = i;
      at(10 + 20 * i, () -> startNode(node));
    }
    submitJobs();
    new RatingModel(time, random.split(), users, checker, state.store()).scheduleJobs(6, 50_000);
    scheduleFaults();
    while (time.nowMs() < END_MS) {
      long until = time.nowUs() + STEP_US;
      while (time.runNext(until)) {
        // Each step is an event.
      }
    }
  }

  private void at(long ms, Runnable task) {
    time.schedule(ms * 1000, null, task);
  }

  private static String zoneOf(int node) {
    return Scenario.ZONES.get(node % Scenario.ZONES.size());
  }

  private WorkerModel createWorker(String[] nameAndZone) {
    int index = directory.size();
    WorkerModel worker =
        new WorkerModel(
            time,
            network,
            random.split(),
            hosts,
            users,
            checker,
            2_000,
            13_000,
            index,
            nameAndZone[0],
            nameAndZone[1]);
    worker.servesImages = index % 4 != 0;
    directory.put("w" + index, worker);
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
    at(20_000, () -> users.queryUnknownJob("job-999999"));
    for (int i = 0; i < 60; i++) {
      int count = i;
      at(12_000 + 1_300L * i, () -> users.sendOddRequest(count));
    }
  }

  private void submit(
      String id,
      String taskClass,
      int tasks,
      String zone,
      boolean gang,
      long atMs,
      long fetchMs,
      long cancelAfterMs) {
    String team = TEAMS.get(tasks % TEAMS.size());
    double cpus = gang ? 4 : 2;
    InvariantChecker.SubmittedJob job =
        new InvariantChecker.SubmittedJob(id, team, taskClass, tasks, cpus, zone, gang, gang, atMs);
    long runMs = 3_000 + 500L * tasks;
    String priority = tasks % 3 == 0 ? "urgent" : "normal";
    at(atMs, () -> users.submitJob(job, priority, runMs, fetchMs, cancelAfterMs, null));
  }

  private void scheduleFaults() {
    cutFor(26_000, 12_000, 1, Network.Kind.STATE);
    cutFor(44_000, 8_000, 0, Network.Kind.WORKER);
    cutFor(56_000, 6_000, 2, Network.Kind.CLOUD);
    at(66_000, () -> crash(leader()));
    at(82_000, () -> state.refusedNode = 0);
    at(90_000, () -> state.refusedNode = -1);
    at(END_MS - 5_000, () -> hosts.forEach(this::askForMetrics));
  }

  private void askForMetrics(SimulatedEnvironment host) {
    RequestSender.ResponseHandler ignored =
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {}

          @Override
          public void onFailure(boolean sent) {}
        };
    network.call(users, host, "GET", "/metrics", new byte[0], 1_000, ignored);
  }

  /** Cuts a controller, or the one so many places after the leader, off from a kind of party. */
  private void cutFor(long atMs, long forMs, int afterLeader, Network.Kind party) {
    at(
        atMs,
        () -> {
          int node = (leader() + afterLeader) % NODES;
          Runnable lift =
              network.cut(
                  new Network.PartySelector(Network.Kind.NODE, node, null),
                  new Network.PartySelector(party, -1, null),
                  Network.Mode.REFUSE);
          Runnable liftBack =
              network.cut(
                  new Network.PartySelector(party, -1, null),
                  new Network.PartySelector(Network.Kind.NODE, node, null),
                  Network.Mode.REFUSE);
          at(
              forMs,
              () -> {
                lift.run();
                liftBack.run();
              });
        });
  }

  private int leader() {
    return state.store().value("leader") == null
        ? 0
        : hosts.stream()
            .filter(h -> h.name.equals(state.store().value("leader").path("node").asText()))
            .findFirst()
            .orElseThrow()
            .index;
  }

  private void crash(int node) {
    hosts.get(node).terminate();
    at(
        3_000,
        () -> {
          hosts.get(node).restart(0);
          startNode(node);
        });
  }

  private void startNode(int node) {
    OperatorSettings operator =
        OperatorSettings.defaults()
            .with(new RecordPolicy(sharedStarts))
            .with(LinkPolicy.defaults());
    SimulatedEnvironment host = hosts.get(node);
    try {
      Node process = new Node(new ClusterConfig(settings(node), operator), new RecordingHost(host));
      time.schedule(0, host, process::startOnEventLoop);
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

  /** A controller's process of which all that leaves it is told. */
  private final class RecordingHost implements NodeEnvironment {
    private final SimulatedEnvironment host;

    RecordingHost(SimulatedEnvironment host) {
      this.host = host;
    }

    @Override
    public EventLoop loop() {
      return host.loop();
    }

    @Override
    public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
      RequestSender caller = host.requestSender(to, type, maxOpen, maxBody);
      Party party = party(to);
      return new RequestSender() {
        @Override
        public void send(
            String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
          listener.onRequest(host.index, party, method, path, body == null ? new byte[0] : body);
          caller.send(method, path, body, timeoutMs, answer);
        }

        @Override
        public void close() {
          caller.close();
        }
      };
    }

    private Party party(Endpoint to) {
      return switch (to.host().charAt(0)) {
        case 's' -> Party.STATE;
        case 'c' -> Party.CLOUD;
        case 'n' -> Party.CONTROLLERS;
        default -> Party.WORKERS;
      };
    }

    @Override
    public void listen(RequestHandler front) {
      host.listen(
          new RequestHandler() {
            @Override
            public void onRequest(IncomingRequest request) {
              Party from = request.path().equals("/v1/report") ? Party.WORKERS : Party.USERS;
              front.onRequest(new RecordedRequest(host.index, from, request));
            }

            @Override
            public void onPeerMessage(IncomingRequest message) {
              front.onPeerMessage(new RecordedRequest(host.index, Party.CONTROLLERS, message));
            }
          });
    }

    @Override
    public long bufferedBodyBytes() {
      return host.bufferedBodyBytes();
    }

    @Override
    public String boundAddress(int index) {
      return host.boundAddress(index);
    }

    @Override
    public Thread loopThread() {
      return host.loopThread();
    }

    @Override
    public void stop() {
      host.stop();
    }
  }

  /** A request of which the answer is told. */
  private final class RecordedRequest implements IncomingRequest {
    private final int node;
    private final Party from;
    private final IncomingRequest request;

    RecordedRequest(int node, Party from, IncomingRequest request) {
      this.node = node;
      this.from = from;
      this.request = request;
    }

    @Override
    public String method() {
      return request.method();
    }

    @Override
    public String path() {
      return request.path();
    }

    @Override
    public byte[] body() {
      return request.body();
    }

    @Override
    public void respond(int status, String type, byte[] body, boolean later) {
      listener.onResponse(node, from, method(), path(), status, type, later, body);
      request.respond(status, type, body, later);
    }
  }
}
