package org.mallowroad.controller;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.mallowroad.api.HttpRouter;
import org.mallowroad.config.Settings;
import org.mallowroad.console.ConsoleServer;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.admission.AdmissionRateLimiter;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.XnioEnvironment;
import org.mallowroad.worker.HeartbeatResponder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: listens, takes part in the election and, while elected, leads. This class starts
 * and stops it; {@link NodeComponents} builds its parts.
 *
 * <p>Everything runs on the node's event loop. The public methods may be called from any thread,
 * except {@link #startOnEventLoop()}, which is for callers that run the loop themselves.
 */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);

  /**
   * With a shorter limit than this the view of cancellations is stale after any brief interruption.
   */
  private static final long SHORT_CANCELLATION_VIEW_MS = 5_000;

  private static final long ADMISSION_INTERVAL_MS = 1_000;

  private final NodeComponents components;
  private final ClusterConfig clusterConfig;
  private final NodeEnvironment host;
  private final EventLoop loop;
  private final LocalLeadership leadership;
  private final HttpRouter router;

  /** Null where the operator has the console off. */
  private final ConsoleServer console;

  /** A node on this machine. */
  public Node(ClusterConfig clusterConfig) throws IOException {
    this(clusterConfig, new XnioEnvironment(clusterConfig.settings()));
  }

  /** Connects the parts of a node; nothing runs before {@link #start()}. */
  public Node(ClusterConfig clusterConfig, NodeEnvironment host) throws IOException {
    this.components = new NodeComponents(clusterConfig, host);
    this.clusterConfig = clusterConfig;
    this.host = host;
    this.loop = components.loop;
    this.leadership = components.leadership;
    this.console = newConsole();
    this.router =
        new HttpRouter(
            new UserRequestRouter(components),
            components.heartbeatApi::receive,
            this::isHealthy,
            new NodeMetrics(components)::scrape);
  }

  /** Not even the console's classes are loaded where it is off. */
  private ConsoleServer newConsole() throws IOException {
    if (clusterConfig.operator.console().isEmpty()) {
      return null;
    }
    SnapshotPublisher publisher =
        new SnapshotPublisher(
            loop,
            clusterConfig,
            components.state,
            components.election,
            components.leadership::leader);
    return new ConsoleServer(
        clusterConfig.operator.console().get(),
        new NodeSnapshotSource(host, clusterConfig.settings.node(), publisher));
  }

  /**
   * Begins to serve.
   *
   * @throws IOException when the node cannot listen
   */
  public void start() throws IOException {
    // All of it on the loop, while the calling thread only waits: one thread at a time reads files
    // and sockets, also while the process starts.
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.soon(
        () -> {
          try {
            startOnEventLoop();
            started.complete(null);
          } catch (RuntimeException e) {
            // Whatever it is, the thread that waits has to hear of it.
            started.completeExceptionally(e);
          }
        });
    Settings settings = clusterConfig.settings();
    try {
      started.join();
    } catch (CompletionException e) {
      stop();
      throw new IOException(settings.listen() + ": " + e.getCause().getMessage(), e);
    }
    LOG.info("event=started node={} listen={}", settings.node(), settings.listen());
  }

  /** As {@link #start()}, for a caller that runs on the loop itself. */
  public void startOnEventLoop() {
    host.listen(new Requests());
    warnOfShortCancellationView();
    startConsole();
    components.machineTypes.start();
    if (components.links != null) {
      components.links.start(components.election, components.workers, new LinkListener());
    }
    components.election.start();
    loop.every(ADMISSION_INTERVAL_MS, this::updateAdmission);
  }

  /** Ends all duties and connections. */
  public void stop() {
    loop.soon(
        () -> {
          leadership.stop();
          loop.close();
        });
    if (console != null) {
      console.stop();
    }
    host.stop();
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

  private void warnOfShortCancellationView() {
    Settings settings = clusterConfig.settings;
    long maxAgeMs = CancellationView.maxAgeMs(settings.leaseS(), settings.cancelS());
    if (maxAgeMs < SHORT_CANCELLATION_VIEW_MS) {
      // Kept even so; but a moment without the state service costs the fleet its leases.
      LOG.warn("event=cancel_s_too_short max_view_age_ms={}", maxAgeMs);
    }
  }

  /** A console that cannot listen keeps no controller from its work. */
  private void startConsole() {
    if (console == null) {
      return;
    }
    try {
      console.start();
    } catch (RuntimeException e) {
      // Whatever the HTTP server throws, the controller goes on without it.
      LOG.error(
          "event=console_not_started listen={} reason=\"{}\"",
          clusterConfig.operator.console().get().listen(),
          e.getMessage());
    }
  }

  private void updateAdmission() {
    AdmissionRateLimiter admission = components.admission;
    long now = loop.now();
    admission.recordStateServiceRefusals(
        now - components.state.health().lastThrottledMs() < ADMISSION_INTERVAL_MS, now);
  }

  /** A node that is cut off from the state service and from all who have it sends users away. */
  private boolean isHealthy() {
    return !clusterConfig.machineTypes().isEmpty()
        && (components.links == null || !components.links.isIsolated());
  }

  private final class Requests implements NodeEnvironment.RequestHandler {
    @Override
    public void request(IncomingRequest request) {
      router.route(request);
    }

    @Override
    public void message(IncomingRequest request) {
      components.peers.receive(request);
    }
  }

  private final class LinkListener implements LinkMonitor.Listener {
    @Override
    public boolean isLeading() {
      return leadership.isLeading();
    }

    @Override
    public void handleHeartbeat(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder) {
      leadership.leader().handleHeartbeat(heartbeat, relayPeer, responder);
    }
  }
}
