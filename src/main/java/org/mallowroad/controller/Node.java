package org.mallowroad.controller;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.mallowroad.api.HttpRouter;
import org.mallowroad.api.Reply;
import org.mallowroad.api.Responder;
import org.mallowroad.api.UserApi;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.config.Settings;
import org.mallowroad.console.ConsoleServer;
import org.mallowroad.console.SnapshotSource;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.admission.Admission;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.net.XnioEnvironment;
import org.mallowroad.peer.PeerMessenger;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.worker.HeartbeatApi;
import org.mallowroad.worker.HeartbeatResponder;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: listens, takes part in the election and, while elected, leads. */
public final class Node {
  /** With less than this the view of cancellations is stale after any hiccup. */
  private static final long SHORT_VIEW_MS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger(Node.class);

  /** Ended jobs remembered for each MB of memory: at about 120 bytes each, a twentieth of it. */
  private static final int ENDS_PER_MB = 400;

  /**
   * Connections to the state service: while many answers are lost each keeps one until its call is
   * given up, and renewals and commits have to find a free one even then.
   */
  private static final int STATE_CONNECTIONS = 128;

  private static final long SECOND_MS = 1_000;

  /** Copies of late transactions, as a part of the state service's calls, for all nodes. */
  private static final double REPEATED_SHARE = 0.3;

  private static final double LEAST_REPEATS_PER_S = 4;

  private final ClusterConfig clusterConfig;
  private final NodeEnvironment host;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final KeyValueStore state;
  private final LeaderElection election;
  private final WorkerClient workers;
  private final UserApi users;
  private final HeartbeatApi reports;
  private final PeerMessenger peers;
  private final MachineTypeCache types;
  private final HttpRouter router;
  private final ConsoleServer console;

  private final CancellationPropagation cancellations;

  /** What goes round cuts; null where it is off. */
  private final LinkMonitor links;

  private final Admission admission;

  /** Which peers have said that their build reads shared records of starts. */
  private final boolean[] readsShared;

  private Leader leader;
  private PrometheusMeterRegistry registry;

  /** A node on this machine. */
  public Node(ClusterConfig clusterConfig) throws IOException {
    this(clusterConfig, new XnioEnvironment(clusterConfig.settings()));
  }

  /** Wires a node together; nothing runs before {@link #start()}. */
  public Node(ClusterConfig clusterConfig, NodeEnvironment host) throws IOException {
    this.clusterConfig = clusterConfig;
    this.host = host;
    this.loop = host.loop();
    Settings s = clusterConfig.settings();
    String json = "application/json";
    // The largest answer of an outside service: a small part of the memory.
    int ram = (int) (s.ramMb() * 1024 * 1024);
    RequestSender stateCaller = host.requestSender(s.state(), json, STATE_CONNECTIONS, ram / 8);
    RequestSender cloudCaller = host.requestSender(s.cloud(), json, 8, ram / 8);
    RequestSender follower = host.requestSender(s.state(), json, 8, ram / 8);
    boolean on = clusterConfig.operator.links().isPresent() && !s.members().isEmpty();
    this.links =
        on
            ? new LinkMonitor(
                host, clusterConfig, clusterConfig.operator.links().get(), stateCaller, cloudCaller)
            : null;
    this.state =
        on
            ? new KeyValueStore(loop, links.state(stateCaller), links.state(follower))
            : new KeyValueStore(loop, stateCaller, follower);
    state.setRetriesPerSecond(
        Math.max(LEAST_REPEATS_PER_S, s.stateRps() * REPEATED_SHARE / s.nodes()));
    long now = loop.now();
    this.admission = new Admission(now);
    this.cloud =
        new CloudClient(
            loop,
            on ? links.cloud() : cloudCaller,
            new RateLimiter(s.cloudRps() * 0.8, s.cloudRps(), now),
            clusterConfig.types,
            clusterConfig.zones);
    this.types = new MachineTypeCache(loop, state, clusterConfig);
    this.workers = new WorkerClient(host, Math.max(16, s.maxSockets() / 8));
    double reads = Math.max(4, s.stateRps() * 0.6 / s.nodes());
    this.users =
        new UserApi(
            loop,
            state,
            // Beside them go accepts, commits, renewals and watches; beyond the limit the service
            // refuses whoever comes, and a leader without renewals is none.
            new RateLimiter(reads, reads, now),
            reads,
            new RateLimiter(s.stateWriteRps() * 0.45, s.stateWriteRps() * 0.6, now),
            new RateLimiter(s.stateWriteRps() * 0.45 / s.nodes(), 4, now),
            new NodeJobs(),
            s.valueKb(),
            4 * s.txnOps(),
            (int) (s.ramMb() * ENDS_PER_MB));
    this.election =
        new LeaderElection(
            loop,
            state,
            s.node(),
            s.node().hashCode(),
            () -> links == null ? 0 : links.handicapMs(),
            new ElectionListener());
    this.reports = new HeartbeatApi(loop, new NodeReports());
    this.peers = new PeerMessenger(host, s.members(), new NodePeers());
    this.readsShared = new boolean[peers.count()];
    this.cancellations = new CancellationPropagation(loop, s, peers);
    users.onCancelled(this::learntCancelled);
    // Not even its classes are loaded where it is off.
    this.console =
        clusterConfig.operator.console().isEmpty()
            ? null
            : new ConsoleServer(
                clusterConfig.operator.console().get(),
                new Watched(
                    new SnapshotPublisher(loop, clusterConfig, state, election, () -> leader)));
    this.router = new HttpRouter(this::serve, reports::receive, this::healthy, this::metrics);
    if (on) {
      peers.forwarding(links.forwarding());
      workers.setRelay(links.forwarding()::commands);
    }
  }

  /** Begins to serve. */
  public void start() throws IOException {
    // All of it on the loop, while the calling thread only waits: one thread at a time reads files
    // and sockets, also while the process starts.
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.soon(
        () -> {
          try {
            begin();
            started.complete(null);
          } catch (RuntimeException e) {
            started.completeExceptionally(e);
          }
        });
    try {
      started.join();
    } catch (CompletionException e) {
      stop();
      throw new IOException(
          clusterConfig.settings().listen() + ": " + e.getCause().getMessage(), e);
    }
    LOG.info(
        "event=started node={} listen={}",
        clusterConfig.settings.node(),
        clusterConfig.settings.listen());
  }

  /** The same on the loop itself. */
  public void begin() {
    host.listen(new Inlet());
    long most =
        CancellationView.mostAgeMs(
            clusterConfig.settings.leaseS(), clusterConfig.settings.cancelS());
    if (most < SHORT_VIEW_MS) {
      // Kept even so; but a moment without the state service costs the fleet its leases.
      LOG.warn("event=cancel_s_short most_view_ms={}", most);
    }
    startConsole();
    types();
    types.start();
    if (links != null) {
      links.start(election, workers, new LinkListener());
    }
    election.start();
    loop.every(
        SECOND_MS,
        () ->
            admission.stateService(
                loop.now() - state.health().lastThrottledMs() < SECOND_MS, loop.now()));
  }

  /**
   * A leader of an earlier build would start again what stands in shared records alone. So they are
   * written only once every other controller has said that its build reads them, in a roll too.
   */
  private void shareStarts(Leader of) {
    if (leader != of) {
      return;
    }
    boolean all = true;
    for (int p = 0; p < readsShared.length; p++) {
      if (!readsShared[p]) {
        all = false;
        int peer = p;
        peers.readsSharedStarts(peer, yes -> readsShared[peer] |= yes);
      }
    }
    if (all) {
      of.shareStarts();
    } else {
      loop.after(SECOND_MS, () -> shareStarts(of));
    }
  }

  private final class Inlet implements NodeEnvironment.RequestHandler {
    @Override
    public void request(IncomingRequest x) {
      router.request(x);
    }

    @Override
    public void message(IncomingRequest x) {
      peers.message(x);
    }
  }

  private final class LinkListener implements LinkMonitor.Listener {
    @Override
    public boolean leading() {
      return leader != null;
    }

    @Override
    public void report(Heartbeat r, int via, HeartbeatResponder reply) {
      leader.report(r, via, reply);
    }
  }

  /** A console that cannot listen keeps no controller from its work. */
  private void startConsole() {
    try {
      if (console != null) {
        console.start();
      }
    } catch (RuntimeException e) {
      LOG.error(
          "event=console_not_started listen={} reason=\"{}\"",
          clusterConfig.operator.console().get().listen(),
          e.getMessage());
    }
  }

  /** On which everything of this node runs. */
  EventLoop loop() {
    return loop;
  }

  /** Where users and workers reach this node once it has started. */
  public String address() {
    return host.boundAddress(0);
  }

  /** Where the other controllers reach this node once it has started. */
  public String peerAddress() {
    return host.boundAddress(1);
  }

  /** Where the console listens once it has started; empty while it is off. */
  public String consoleAddress() {
    return console == null ? "" : console.address();
  }

  /** Ends all duties and connections. */
  public void stop() {
    loop.soon(
        () -> {
          if (leader != null) {
            leader.stop();
          }
          loop.close();
        });
    if (console != null) {
      console.stop();
    }
    host.stop();
  }

  private void types() {
    cloud.listMachineTypes(
        types -> {
          if (types.isPresent() && !types.get().isEmpty()) {
            clusterConfig.replaceMachineTypes(types.get());
            loop.after(60_000, this::types);
          } else {
            loop.after(500, this::types);
          }
        });
  }

  /** Serves a user's request here or, without the state service, through a peer that has it. */
  private void serve(String method, String path, byte[] body, Responder answerer) {
    if (clusterConfig.settings().members().isEmpty()) {
      users.serve(method, path, body, answerer);
    } else if (links != null && links.stateRoute().astray()) {
      // One hop to a peer that has the state service; with none at hand nobody waits to hear it.
      Runnable none = () -> answerer.answer(503, Reply.reason("state service not reached"), true);
      int peer = links.stateRoute().choose(loop.now());
      if (peer == RouteSelector.DIRECT) {
        none.run();
      } else {
        peers.relayTo(peer, method, path, body, answerer, none);
      }
    } else if (state.health().isFailing()) {
      peers.relay(
          method,
          path,
          body,
          answerer,
          () -> answerer.answer(503, Reply.reason("state service not reached"), true));
    } else {
      users.serve(
          method,
          path,
          body,
          (status, answer, later) -> {
            if (status == 503) {
              peers.relay(
                  method, path, body, answerer, () -> answerer.answer(status, answer, later));
            } else {
              answerer.answer(status, answer, later);
            }
          });
    }
  }

  /** A node that is cut off from the state service and from all who have it sends users away. */
  private boolean healthy() {
    return !clusterConfig.machineTypes().isEmpty() && (links == null || !links.isolated());
  }

  private String metrics() {
    if (registry == null) {
      // Made on the first request: a start must not pay for it.
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      gauge("mallowroad.leading", n -> n.leader == null ? 0 : 1);
      gauge("mallowroad.term", n -> n.election.seenTerm());
      gauge(
          "mallowroad.jobs.open",
          n -> n.leader == null ? 0 : n.leader.schedulerState().jobs().size());
      gauge(
          "mallowroad.machines",
          n -> n.leader == null ? 0 : n.leader.schedulerState().machines().size());
      gauge(
          "mallowroad.records.uncommitted",
          n -> n.leader == null ? 0 : n.leader.schedulerState().dirtyRecords().size());
      gauge(
          "mallowroad.records.urgent",
          n -> n.leader == null ? 0 : n.leader.schedulerState().urgentRecords().size());
      gauge(
          "mallowroad.tasks.completed",
          n -> n.leader == null ? 0 : n.leader.schedulerState().attemptsCompleted());
      gauge("mallowroad.machines.late", n -> n.watched(h -> h.failureDetector().overdueCount()));
      gauge(
          "mallowroad.machines.doubted", n -> n.watched(h -> h.stragglerDetector().suspectCount()));
      gauge(
          "mallowroad.machines.slow.refused",
          n -> n.watched(h -> h.stragglerDetector().refusedSuspicions()));
      gauge(
          "mallowroad.zones.cut", n -> n.watched(h -> h.failureDetector().partitionedZoneCount()));
      gauge("mallowroad.stood.still", n -> n.watched(h -> h.pauseDetector().pauseCount()));
      gauge(
          "mallowroad.stood.still.longest.ms",
          n -> n.watched(h -> h.pauseDetector().longestPauseMs()));
      gauge("mallowroad.loop.lag.ms", n -> n.leader == null ? 0 : n.leader.lagMs());
      gauge("mallowroad.cancellations.view.ms", n -> n.leader == null ? 0 : n.leader.viewMs());
      gauge("mallowroad.admission.limited", n -> n.admission.limited() ? 1 : 0);
      gauge("mallowroad.admission.refused", n -> n.admission.refused());
      gauge("mallowroad.state.silence.ms", n -> n.loop.now() - n.state.health().lastContactMs());
      if (links != null) {
        gauge("mallowroad.links.down", n -> n.links.links().downCount());
        gauge("mallowroad.links.rows", n -> n.links.links().freshRows(n.loop.now()));
        gauge("mallowroad.links.state.via", n -> n.links.stateRoute().via());
        gauge(
            "mallowroad.links.state.age.ms",
            n -> n.links.links().ageMs(ExternalService.STATE, n.loop.now()));
        gauge("mallowroad.detours", n -> n.links.detours());
        gauge("mallowroad.reports.carried", n -> n.links.carriage().carried());
        gauge("mallowroad.reports.sent.on", n -> n.links.carriage().sentOn());
        gauge("mallowroad.kept.guests", n -> n.links.carriage().size());
      }
      gauge("mallowroad.garbled.state", n -> n.state.health().malformedResponses());
      gauge("mallowroad.garbled.cloud", n -> n.cloud.invalidResponses());
      gauge("mallowroad.garbled.peers", n -> n.peers.wrong());
      gauge("mallowroad.garbled.workers", n -> n.reports.invalidMessages());
      memory();
    }
    return registry.scrape();
  }

  /** What the leader on this node suspects; 0 elsewhere. */
  private double watched(ToDoubleFunction<FleetHealth> f) {
    return leader == null ? 0 : f.applyAsDouble(leader.schedulerState().health());
  }

  /**
   * The process's memory as the system counts it, and what of it are the heap and the collector.
   */
  private void memory() {
    gauge("mallowroad.memory.limit.bytes", n -> n.clusterConfig.settings().ramMb() * 1024 * 1024);
    gauge("mallowroad.memory.process.bytes", n -> MemoryMetrics.processBytes());
    gauge("mallowroad.memory.heap.bytes", n -> MemoryMetrics.heapBytes());
    gauge("mallowroad.collector.share", n -> MemoryMetrics.collectorShare());
    gauge("mallowroad.bodies.bytes", n -> n.host.bufferedBodyBytes());
    gauge("mallowroad.kept.ends", n -> n.users.ends());
    gauge("mallowroad.kept.opens", n -> n.users.opens());
    gauge("mallowroad.kept.names", n -> n.clusterConfig.names());
    gauge("mallowroad.kept.callers", n -> n.workers.connectedWorkers());
  }

  private void gauge(String name, ToDoubleFunction<Node> f) {
    Gauge.builder(name, this, f).register(registry);
  }

  /** This node as its console sees it. */
  private final class Watched implements SnapshotSource {
    private final SnapshotPublisher sketcher;

    Watched(SnapshotPublisher sketcher) {
      this.sketcher = sketcher;
    }

    @Override
    public String node() {
      return clusterConfig.settings.node();
    }

    @Override
    public void picture(Consumer<NodeSnapshot> done) {
      loop.soon(() -> sketcher.picture(done));
    }

    @Override
    public void job(String id, Consumer<JobSnapshot> done) {
      loop.soon(
          () -> {
            // Whoever asked is answered in any case: a console counts the questions that are out.
            JobSnapshot p = new JobSnapshot(id, null, "", List.of(), 0);
            try {
              p = sketcher.job(id);
            } finally {
              done.accept(p);
            }
          });
    }

    @Override
    public void soon(Runnable task) {
      loop.soon(task);
    }

    @Override
    public Thread thread() {
      return host.thread();
    }
  }

  private final class ElectionListener implements LeaderElection.Listener {
    @Override
    public void elected(long term, long version) {
      leader =
          new Leader(
              loop,
              state,
              cloud,
              clusterConfig,
              election,
              term,
              version,
              workers,
              users.folding(),
              () -> links == null ? 0 : links.links().freshRows(loop.now()),
              new LeaderDuties(term, version));
      leader.start();
      if (clusterConfig.operator.records().shareStarts()) {
        shareStarts(leader);
      }
      // After the takeover's first reads are under way: they matter more.
      loop.after(100, () -> peers.announce(clusterConfig.settings().node(), term));
    }

    @Override
    public void deposed() {
      if (leader != null) {
        leader.stop();
        leader = null;
      }
    }
  }

  /** What a leader asks of its node. */
  private final class LeaderDuties implements Leader.Listener {
    private final long term;
    private final long version;

    LeaderDuties(long term, long version) {
      this.term = term;
      this.version = version;
    }

    @Override
    public void recordsRead() {
      types.keep(version);
    }

    @Override
    public void overloaded() {
      admission.overloaded(loop.now());
      peers.overloaded(term);
    }

    @Override
    public void ended(Job job) {
      users.ended(job.spec.id(), true);
    }
  }

  private final class NodeJobs implements UserApi.Jobs {
    @Override
    public boolean admits() {
      return admission.admits(loop.now());
    }

    @Override
    public JobSpec check(JsonNode submission) throws InvalidMessageException {
      return clusterConfig.codec.check(submission);
    }

    @Override
    public boolean ready() {
      return !clusterConfig.machineTypes().isEmpty();
    }

    @Override
    public String hopeless(JobSpec spec) {
      return clusterConfig.hopeless(spec);
    }

    @Override
    public int[] counts(String id) {
      Job j = leader == null ? null : leader.job(id);
      return j == null ? null : new int[] {j.doneCount(), j.runningCount()};
    }
  }

  /**
   * Learnt as a fact, from the state service or by a peer's word: the leader's tasks go at once.
   */
  private void learntCancelled(String id) {
    if (leader != null) {
      leader.cancelled(id);
    }
    cancellations.learnt(id, election.leader());
  }

  private final class NodePeers implements PeerMessenger.Listener {
    @Override
    public void cancelled(List<String> jobs) {
      cancellations.heard(jobs, users::ended);
    }

    @Override
    public void overloaded(long term) {
      if (term >= election.seenTerm() || term == election.leaderTerm()) {
        admission.overloaded(loop.now());
      }
    }

    @Override
    public void announced(String node, long term) {
      election.announced(node, term);
    }

    @Override
    public void relayed(String method, String path, byte[] body, Responder answerer) {
      users.serve(method, path, body, answerer);
    }
  }

  private final class NodeReports implements HeartbeatApi.Handler {
    @Override
    public void onFencingToken(long fencingToken) {
      election.sawTerm(fencingToken);
    }

    @Override
    public boolean isLeader() {
      return leader != null;
    }

    @Override
    public String leaderName() {
      String l = election.leader();
      return l == null || l.equals(clusterConfig.settings.node()) ? null : l;
    }

    @Override
    public boolean relayToLeader(IncomingRequest x, Heartbeat r, String to) {
      return links != null && links.carry(x, r, to);
    }

    @Override
    public void onHeartbeat(Heartbeat r, HeartbeatResponder reply) {
      if (links != null) {
        links.heard(r, true);
      }
      leader.report(r, -1, reply);
    }
  }
}
