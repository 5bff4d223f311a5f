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
 * One controller of the cluster: serves requests, takes part in the leader election and, while
 * elected, leads. This class starts and stops the node; {@link NodeComponents} builds its
 * components.
 *
 * <p>All work runs on the node's event loop. The public methods may be called from any thread,
 * except {@link #startOnEventLoop()}, which is for callers that already run on the loop.
 */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);

  /**
   * Below this maximum age, the view of cancellations becomes stale after any brief interruption.
   */
  private static final long MIN_CANCELLATION_VIEW_AGE_MS = 5_000;

  private static final long ADMISSION_INTERVAL_MS = 1_000;

  private final NodeComponents components;
  private final ClusterConfig clusterConfig;
  private final NodeEnvironment environment;
  private final EventLoop loop;
  private final LocalLeadership leadership;
  private final HttpRouter router;

  /** Null if the operator has disabled the console. */
  private final ConsoleServer console;

  /** Creates a node that uses the sockets of this machine. */
  public Node(ClusterConfig clusterConfig) throws IOException {
    this(clusterConfig, new XnioEnvironment(clusterConfig.settings()));
  }

  /** Connects the components of a node; nothing runs before {@link #start()}. */
  public Node(ClusterConfig clusterConfig, NodeEnvironment environment) throws IOException {
    this.components = new NodeComponents(clusterConfig, environment);
    this.clusterConfig = clusterConfig;
    this.environment = components.environment;
    this.loop = components.loop;
    this.leadership = components.leadership;
    this.console = newConsole();
    this.router =
        new HttpRouter(
            new UserRequestRouter(components),
            components.heartbeatApi::handle,
            this::isHealthy,
            new NodeMetrics(components)::scrape);
  }

  /** Creates the console; if it is disabled, not even its classes are loaded. */
  private ConsoleServer newConsole() throws IOException {
    if (clusterConfig.operatorSettings.console().isEmpty()) {
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
        clusterConfig.operatorSettings.console().get(),
        new NodeSnapshotSource(environment, clusterConfig.settings.node(), publisher));
  }

  /**
   * Starts the node.
   *
   * @throws IOException if the node cannot listen on its addresses
   */
  public void start() throws IOException {
    // All steps run on the event loop while the calling thread waits, so that only one thread at a
    // time accesses files and sockets, even during startup.
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.submit(
        () -> {
          try {
            startOnEventLoop();
            started.complete(null);
          } catch (RuntimeException e) {
            // Any exception must reach the waiting thread.
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

  /** Starts the node like {@link #start()}, for a caller that runs on the event loop. */
  public void startOnEventLoop() {
    environment.listen(new RequestDispatcher());
    warnIfCancellationViewAgeTooShort();
    startConsole();
    components.machineTypes.start();
    if (components.links != null) {
      components.links.start(components.election, components.workers, new LinkListener());
    }
    components.election.start();
    loop.every(ADMISSION_INTERVAL_MS, this::updateAdmission);
  }

  /** Stops all work and closes all connections. */
  public void stop() {
    loop.submit(
        () -> {
          leadership.stop();
          loop.close();
        });
    if (console != null) {
      console.stop();
    }
    environment.stop();
  }

  /** The event loop on which all components of this node run. */
  EventLoop loop() {
    return loop;
  }

  /** The address for users and workers, known once the node has started. */
  public String address() {
    return environment.boundAddress(0);
  }

  /** The address for the other controllers, known once the node has started. */
  public String peerAddress() {
    return environment.boundAddress(1);
  }

  /** The address of the console, known once it has started; empty if it is disabled. */
  public String consoleAddress() {
    return console == null ? "" : console.address();
  }

  private void warnIfCancellationViewAgeTooShort() {
    Settings settings = clusterConfig.settings;
    long maxAgeMs = CancellationView.maxAgeMs(settings.leaseS(), settings.cancelS());
    if (maxAgeMs < MIN_CANCELLATION_VIEW_AGE_MS) {
      // The setting is applied nevertheless, but a brief outage of the state service will make the
      // workers' leases expire.
      LOG.warn("event=cancel_s_too_short max_view_age_ms={}", maxAgeMs);
    }
  }

  /** Starts the console; the node runs without it if it cannot listen. */
  private void startConsole() {
    if (console == null) {
      return;
    }
    try {
      console.start();
    } catch (RuntimeException e) {
      // Any exception of the HTTP server: the controller runs without the console.
      LOG.error(
          "event=console_not_started listen={} reason=\"{}\"",
          clusterConfig.operatorSettings.console().get().listen(),
          e.getMessage());
    }
  }

  private void updateAdmission() {
    AdmissionRateLimiter admission = components.admission;
    long now = loop.now();
    admission.recordStateServiceRefusals(
        now - components.state.health().lastThrottledMs() < ADMISSION_INTERVAL_MS, now);
  }

  /**
   * False while no machine types are known, or while the node can reach neither the state service
   * nor any peer, so that users turn to other nodes.
   */
  private boolean isHealthy() {
    return !clusterConfig.machineTypes().isEmpty()
        && (components.links == null || !components.links.isIsolated());
  }

  private final class RequestDispatcher implements NodeEnvironment.RequestHandler {
    @Override
    public void onRequest(IncomingRequest request) {
      router.route(request);
    }

    @Override
    public void onPeerMessage(IncomingRequest request) {
      components.peers.handleMessage(request);
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
