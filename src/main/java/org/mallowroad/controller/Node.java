package org.mallowroad.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.mallowroad.api.Answerer;
import org.mallowroad.api.Door;
import org.mallowroad.api.Reply;
import org.mallowroad.api.UserApi;
import org.mallowroad.cloud.CloudApi;
import org.mallowroad.config.Settings;
import org.mallowroad.console.ConsoleServer;
import org.mallowroad.console.Subject;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.WorkerReport;
import org.mallowroad.core.explain.JobPicture;
import org.mallowroad.core.explain.Picture;
import org.mallowroad.core.health.Health;
import org.mallowroad.election.Election;
import org.mallowroad.net.Budget;
import org.mallowroad.net.HttpCaller;
import org.mallowroad.net.Loop;
import org.mallowroad.peer.Peers;
import org.mallowroad.state.StateStore;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.worker.ReportApi;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** One controller: listens, takes part in the election and, while elected, leads. */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);

  /** Ended jobs remembered for each MB of memory: at about 120 bytes each, a twentieth of it. */
  private static final int ENDS_PER_MB = 400;

  private final Site site;
  private final XnioWorker worker;
  private final Loop loop;
  private final CloudApi cloud;
  private final StateStore state;
  private final Election election;
  private final WorkerClient workers;
  private final UserApi users;
  private final ReportApi reports;
  private final Peers peers;
  private final Door door;
  private final Undertow server;
  private final ConsoleServer console;
  private Leader leader;
  private PrometheusMeterRegistry registry;

  /** Wires a node together; nothing runs before {@link #start()}. */
  public Node(Site site) throws IOException {
    this.site = site;
    Settings s = site.settings();
    this.worker = Loop.worker("loop");
    this.loop = new Loop(worker.getIoThread());
    ByteBufferPool buffers = new DefaultByteBufferPool(false, 16 * 1024, 64, 0);
    String json = "application/json";
    // What all bodies that are being read may hold together, and the largest answer of an outside
    // service: each a small part of the memory, so that even all at once stay clear of its end.
    int ram = (int) (s.ramMb() * 1024 * 1024);
    this.state =
        new StateStore(
            loop,
            new HttpCaller(loop, buffers, s.state(), json, 32, ram / 8),
            new HttpCaller(loop, buffers, s.state(), json, 8, ram / 8));
    long now = loop.now();
    this.cloud =
        new CloudApi(
            loop,
            new HttpCaller(loop, buffers, s.cloud(), json, 8, ram / 8),
            new Budget(s.cloudRps() * 0.8, s.cloudRps(), now),
            site.types,
            site.zones);
    this.workers = new WorkerClient(loop, buffers, Math.max(16, s.maxSockets() / 8));
    this.users =
        new UserApi(
            loop,
            state,
            new Budget(s.stateRps() * 0.8 / s.nodes(), s.stateRps() * 0.8 / s.nodes(), now),
            new Budget(s.stateWriteRps() * 0.25, s.stateWriteRps() * 0.6, now),
            new Budget(s.stateWriteRps() * 0.25 / s.nodes(), 1, now),
            new NodeJobs(),
            s.valueKb(),
            (int) (s.ramMb() * ENDS_PER_MB));
    this.election = new Election(loop, state, s.node(), s.node().hashCode(), new Office());
    this.reports = new ReportApi(loop, new NodeReports());
    this.peers = new Peers(loop, buffers, s.members(), new NodePeers());
    // Not even its classes are loaded where it is off.
    this.console =
        site.operator.console().isEmpty()
            ? null
            : new ConsoleServer(
                site.operator.console().get(),
                new Watched(new Sketcher(loop, site, state, election, () -> leader)));
    this.door = new Door(this::serve, reports, this::healthy, this::metrics, ram / 16);
    this.server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(s.listen().port(), s.listen().host(), door)
            .addHttpListener(s.peerListen().port(), s.peerListen().host(), peers)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) Door.MOST_BODY)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
            // Workers and users; an eighth is for direct orders, the rest for the outside parties.
            .setSocketOption(Options.CONNECTION_HIGH_WATER, s.maxSockets() * 13 / 16)
            .setSocketOption(Options.CONNECTION_LOW_WATER, s.maxSockets() * 13 / 16 - 10)
            .build();
  }

  /** Begins to serve. */
  public void start() throws IOException {
    // All of it on the loop, while the calling thread only waits: one thread at a time reads files
    // and sockets, also while the process starts.
    CompletableFuture<Void> started = new CompletableFuture<>();
    worker
        .getIoThread()
        .execute(
            () -> {
              try {
                server.start();
                startConsole();
                types();
                election.start();
                started.complete(null);
              } catch (RuntimeException e) {
                started.completeExceptionally(e);
              }
            });
    try {
      started.join();
    } catch (CompletionException e) {
      stop();
      throw new IOException(site.settings().listen() + ": " + e.getCause().getMessage(), e);
    }
    LOG.info("event=started node={} listen={}", site.settings.node(), site.settings.listen());
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
          site.operator.console().get().listen(),
          e.getMessage());
    }
  }

  /** On which everything of this node runs. */
  Loop loop() {
    return loop;
  }

  /** Where users and workers reach this node once it has started. */
  public String address() {
    return bound(0);
  }

  /** Where the other controllers reach this node once it has started. */
  public String peerAddress() {
    return bound(1);
  }

  /** Where the console listens once it has started; empty while it is off. */
  public String consoleAddress() {
    return console == null ? "" : console.address();
  }

  /** The listeners in the order in which they were added; a port 0 in the settings is any port. */
  private String bound(int listener) {
    InetSocketAddress a = (InetSocketAddress) server.getListenerInfo().get(listener).getAddress();
    return a.getHostString() + ":" + a.getPort();
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
    server.stop();
    worker.shutdown();
  }

  private void types() {
    cloud.types(
        t -> {
          if (t != null && !t.isEmpty()) {
            site.machineTypes(t);
            loop.after(60_000, this::types);
          } else {
            loop.after(500, this::types);
          }
        });
  }

  /** Serves a user's request here or, without the state service, through a peer that has it. */
  private void serve(String method, String path, byte[] body, Answerer answerer) {
    if (site.settings().members().isEmpty()) {
      users.serve(method, path, body, answerer);
    } else if (state.failing()) {
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

  private boolean healthy() {
    return !site.machineTypes().isEmpty();
  }

  private String metrics() {
    if (registry == null) {
      // Made on the first request: a start must not pay for it.
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      gauge("mallowroad.leading", n -> n.leader == null ? 0 : 1);
      gauge("mallowroad.term", n -> n.election.seenTerm());
      gauge("mallowroad.jobs.open", n -> n.leader == null ? 0 : n.leader.ledger().jobs().size());
      gauge("mallowroad.machines", n -> n.leader == null ? 0 : n.leader.ledger().machines().size());
      gauge(
          "mallowroad.records.uncommitted",
          n -> n.leader == null ? 0 : n.leader.ledger().dirty().size());
      gauge(
          "mallowroad.records.urgent",
          n -> n.leader == null ? 0 : n.leader.ledger().urgent().size());
      gauge(
          "mallowroad.tasks.completed", n -> n.leader == null ? 0 : n.leader.ledger().completed());
      gauge("mallowroad.machines.late", n -> n.watched(h -> h.silence().lateCount()));
      gauge("mallowroad.machines.doubted", n -> n.watched(h -> h.paces().doubted()));
      gauge("mallowroad.machines.slow.refused", n -> n.watched(h -> h.paces().refused()));
      gauge("mallowroad.zones.cut", n -> n.watched(h -> h.silence().cuts()));
      gauge("mallowroad.stood.still", n -> n.watched(h -> h.still().count()));
      gauge("mallowroad.stood.still.longest.ms", n -> n.watched(h -> h.still().longestMs()));
      gauge("mallowroad.loop.lag.ms", n -> n.leader == null ? 0 : n.leader.lagMs());
      gauge("mallowroad.state.silence.ms", n -> n.loop.now() - n.state.contactMs());
      gauge("mallowroad.garbled.state", n -> n.state.wrong());
      gauge("mallowroad.garbled.cloud", n -> n.cloud.wrong());
      gauge("mallowroad.garbled.peers", n -> n.peers.wrong());
      gauge("mallowroad.garbled.workers", n -> n.reports.wrong());
      memory();
    }
    return registry.scrape();
  }

  /** What the leader on this node suspects; 0 elsewhere. */
  private double watched(ToDoubleFunction<Health> f) {
    return leader == null ? 0 : f.applyAsDouble(leader.ledger().health());
  }

  /**
   * The process's memory as the system counts it, and what of it are the heap and the collector.
   */
  private void memory() {
    gauge("mallowroad.memory.limit.bytes", n -> n.site.settings().ramMb() * 1024 * 1024);
    gauge("mallowroad.memory.process.bytes", n -> Memory.processBytes());
    gauge("mallowroad.memory.heap.bytes", n -> Memory.heapBytes());
    gauge("mallowroad.collector.share", n -> Memory.collectorShare());
    gauge("mallowroad.bodies.bytes", n -> n.door.bytes());
    gauge("mallowroad.kept.ends", n -> n.users.ends());
    gauge("mallowroad.kept.names", n -> n.site.names());
    gauge("mallowroad.kept.callers", n -> n.workers.kept());
  }

  private void gauge(String name, ToDoubleFunction<Node> f) {
    Gauge.builder(name, this, f).register(registry);
  }

  /** This node as its console sees it. */
  private final class Watched implements Subject {
    private final Sketcher sketcher;

    Watched(Sketcher sketcher) {
      this.sketcher = sketcher;
    }

    @Override
    public String node() {
      return site.settings.node();
    }

    @Override
    public void picture(Consumer<Picture> done) {
      loop.soon(() -> sketcher.picture(done));
    }

    @Override
    public void job(String id, Consumer<JobPicture> done) {
      loop.soon(
          () -> {
            // Whoever asked is answered in any case: a console counts the questions that are out.
            JobPicture p = new JobPicture(id, null, "", List.of(), 0);
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
      return loop.thread();
    }
  }

  private final class Office implements Election.Listener {
    @Override
    public void elected(long term, long mark) {
      leader =
          new Leader(
              loop,
              state,
              cloud,
              site,
              election,
              term,
              mark,
              workers,
              job -> users.ended(job.spec.id(), true));
      leader.start();
      // After the takeover's first reads are under way: they matter more.
      loop.after(100, () -> peers.announce(site.settings().node(), term));
    }

    @Override
    public void deposed() {
      if (leader != null) {
        leader.stop();
        leader = null;
      }
    }
  }

  private final class NodeJobs implements UserApi.Jobs {
    @Override
    public JobSpec check(JsonNode submission) throws BadMessage {
      return site.codec.check(submission);
    }

    @Override
    public boolean ready() {
      return !site.machineTypes().isEmpty();
    }

    @Override
    public String hopeless(JobSpec spec) {
      return site.hopeless(spec);
    }

    @Override
    public int[] counts(String id) {
      Job j = leader == null ? null : leader.job(id);
      return j == null ? null : new int[] {j.doneCount(), j.runningCount()};
    }
  }

  private final class NodePeers implements Peers.Listener {
    @Override
    public void announced(String node, long term) {
      election.announced(node, term);
    }

    @Override
    public void relayed(String method, String path, byte[] body, Answerer answerer) {
      users.serve(method, path, body, answerer);
    }
  }

  private final class NodeReports implements ReportApi.Reports {
    @Override
    public void sawToken(long token) {
      election.sawTerm(token);
    }

    @Override
    public boolean leading() {
      return leader != null;
    }

    @Override
    public String leader() {
      String l = election.leader();
      return l == null || l.equals(site.settings.node()) ? null : l;
    }

    @Override
    public void report(WorkerReport r, Consumer<ObjectNode> reply) {
      leader.report(r, reply);
    }
  }
}
