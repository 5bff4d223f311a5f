package org.mallowroad.console;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.config.ConsoleSettings;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.XnioEventLoop;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.JobCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Serves snapshots of one node over HTTP. The server runs on its own thread, so it responds even
 * while the node's event loop is stuck. It keeps the latest snapshot and a bounded history. The
 * number of sockets, the number of pending requests and their waiting time are bounded; only GET is
 * supported, and request bodies are not read.
 */
public final class ConsoleServer {
  private static final Logger LOG = LoggerFactory.getLogger(ConsoleServer.class);

  /**
   * The longest time that a request waits for the event loop. A status request is then answered
   * with the latest snapshot, and a job request with 503.
   */
  private static final long MAX_WAIT_MS = 250;

  private static final long PROBE_INTERVAL_MS = 500;

  private static final int MAX_SOCKETS = 32;

  /** The rate limit for requests about single jobs; the burst is two seconds' worth of requests. */
  private static final double JOB_REQUESTS_PER_SECOND = 5;

  /**
   * The maximum number of requests of one kind that wait for the event loop. Further status
   * requests get the latest snapshot, and further job requests get 503.
   */
  private static final int MAX_PENDING_REQUESTS = 64;

  private final ConsoleSettings settings;
  private final SnapshotSource snapshotSource;
  private final XnioWorker worker;
  private final XnioEventLoop consoleLoop;
  private final Undertow server;
  private final EventLoopProbe probe = new EventLoopProbe();
  private final List<PendingStatusRequest> pendingStatusRequests = new ArrayList<>();
  private final MetricHistory history;
  private final RateLimiter jobRateLimiter;
  private int pendingJobRequests;
  private NodeSnapshot snapshot;
  private long snapshotReceivedMs;
  private boolean snapshotRequested;

  /** Creates the console of a node; it does not listen before {@link #start()}. */
  public ConsoleServer(ConsoleSettings settings, SnapshotSource snapshotSource) throws IOException {
    this.settings = settings;
    this.snapshotSource = snapshotSource;
    this.history = new MetricHistory(settings.historyPoints());
    this.worker = XnioEventLoop.createWorker("console");
    this.consoleLoop = new XnioEventLoop(worker.getIoThread());
    this.jobRateLimiter =
        new RateLimiter(JOB_REQUESTS_PER_SECOND, 2 * JOB_REQUESTS_PER_SECOND, consoleLoop.now());
    HttpHandler handler = this::handle;
    this.server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(new DefaultByteBufferPool(false, 16 * 1024, 8, 0))
            .addHttpListener(settings.listen().port(), settings.listen().host(), handler)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 1024L)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 8 * 1024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 5_000)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_SOCKETS)
            .setSocketOption(Options.CONNECTION_LOW_WATER, MAX_SOCKETS - 4)
            .build();
  }

  /** Starts to listen, to probe the event loop and to request snapshots. */
  public void start() {
    server.start();
    consoleLoop.every(PROBE_INTERVAL_MS, this::probeLoop);
    consoleLoop.every(settings.snapshotIntervalMs(), this::requestSnapshot);
    consoleLoop.submit(this::requestSnapshot);
    LOG.info("event=console_started node={} listen={}", snapshotSource.nodeName(), address());
  }

  /**
   * The address on which the console listens, known once it has started. If the port in the
   * settings is 0, the system assigns one.
   */
  public String address() {
    InetSocketAddress socketAddress =
        (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return socketAddress.getHostString() + ":" + socketAddress.getPort();
  }

  /** Stops the listener and its thread. */
  public void stop() {
    consoleLoop.close();
    server.stop();
    worker.shutdown();
  }

  private void probeLoop() {
    if (probe.tryStart(consoleLoop.now())) {
      snapshotSource.submit(
          () -> {
            long executedMs = consoleLoop.now();
            consoleLoop.submit(() -> probe.complete(executedMs));
          });
    }
  }

  /**
   * Requests a snapshot from the event loop unless a request is pending, so that requests do not
   * queue up while the loop is stuck.
   */
  private void requestSnapshot() {
    if (!snapshotRequested) {
      snapshotRequested = true;
      snapshotSource.requestSnapshot(
          newSnapshot -> consoleLoop.submit(() -> storeSnapshot(newSnapshot)));
    }
  }

  private void storeSnapshot(NodeSnapshot newSnapshot) {
    snapshotRequested = false;
    snapshot = newSnapshot;
    snapshotReceivedMs = consoleLoop.now();
    history.record(newSnapshot, snapshotReceivedMs);
    List<PendingStatusRequest> answered = List.copyOf(pendingStatusRequests);
    pendingStatusRequests.clear();
    answered.forEach(PendingStatusRequest::answer);
  }

  /** A status request that waits for a fresh snapshot. */
  private final class PendingStatusRequest {
    private final HttpServerExchange exchange;
    private EventLoop.Timer timer;
    private boolean completed;

    PendingStatusRequest(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    void answer() {
      if (!completed) {
        completed = true;
        timer.cancel();
        sendStatus(exchange);
      }
    }

    void timeOut() {
      pendingStatusRequests.remove(this);
      answer();
    }
  }

  private void handle(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (!exchange.getRequestMethod().equals(Methods.GET)) {
      send(
          exchange,
          405,
          ConsoleCodec.encode(new ErrorResponse("method not allowed; only GET is supported")));
    } else if (path.equals(ConsoleCodec.PATH_PREFIX + "picture")) {
      handleStatus(exchange);
    } else if (path.equals(ConsoleCodec.PATH_PREFIX + "history")) {
      send(exchange, 200, ConsoleCodec.encode(history.samples()));
    } else if (path.startsWith(ConsoleCodec.PATH_PREFIX + "jobs/")) {
      handleJob(exchange, path.substring((ConsoleCodec.PATH_PREFIX + "jobs/").length()));
    } else {
      send(exchange, 404, ConsoleCodec.encode(new ErrorResponse("unknown path")));
    }
  }

  /** The body of an error response, as JSON. */
  private record ErrorResponse(String error) {}

  private void handleStatus(HttpServerExchange exchange) {
    boolean hasFreshSnapshot =
        snapshot != null && consoleLoop.now() - snapshotReceivedMs <= settings.maxSnapshotAgeMs();
    if (hasFreshSnapshot
        || probe.isStuck(consoleLoop.now())
        || pendingStatusRequests.size() >= MAX_PENDING_REQUESTS) {
      sendStatus(exchange);
      return;
    }
    exchange.dispatch(
        consoleLoop.ioThread(),
        () -> {
          PendingStatusRequest request = new PendingStatusRequest(exchange);
          request.timer = consoleLoop.after(MAX_WAIT_MS, request::timeOut);
          pendingStatusRequests.add(request);
          requestSnapshot();
        });
  }

  private void sendStatus(HttpServerExchange exchange) {
    long nowMs = consoleLoop.now();
    List<String> stack =
        probe.isStuck(nowMs)
            ? EventLoopProbe.innermostFrames(snapshotSource.loopThread())
            : List.of();
    NodeStatus status =
        new NodeStatus(
            NodeSnapshot.FORMAT_VERSION,
            snapshotSource.nodeName(),
            probe.latencyMs(nowMs),
            stack,
            snapshot == null ? -1 : (nowMs - snapshotReceivedMs) / 1000.0,
            snapshot);
    send(exchange, 200, ConsoleCodec.encode(status));
  }

  private void handleJob(HttpServerExchange exchange, String jobId) {
    if (!JobCodec.ID_PATTERN.matcher(jobId).matches()) {
      send(exchange, 404, ConsoleCodec.encode(new ErrorResponse("not a job id")));
      return;
    }
    if (probe.isStuck(consoleLoop.now()) || pendingJobRequests >= MAX_PENDING_REQUESTS) {
      send(
          exchange, 503, ConsoleCodec.encode(new ErrorResponse("the event loop does not respond")));
      return;
    }
    // Each of these requests makes the event loop scan all machines for one client, whereas one
    // snapshot serves many clients.
    if (!jobRateLimiter.tryAcquire(1, consoleLoop.now())) {
      send(
          exchange,
          429,
          ConsoleCodec.encode(new ErrorResponse("too many requests for single jobs")));
      return;
    }
    exchange.dispatch(
        consoleLoop.ioThread(),
        () -> {
          PendingJobRequest request = new PendingJobRequest(exchange);
          pendingJobRequests++;
          request.timer = consoleLoop.after(MAX_WAIT_MS, request::timeOut);
          snapshotSource.requestJob(
              jobId, jobSnapshot -> consoleLoop.submit(() -> request.answer(jobSnapshot)));
        });
  }

  /** A request for one job that waits for the event loop. */
  private final class PendingJobRequest {
    private final HttpServerExchange exchange;
    private EventLoop.Timer timer;
    private boolean completed;

    PendingJobRequest(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    void answer(JobSnapshot jobSnapshot) {
      pendingJobRequests--;
      if (!completed) {
        completed = true;
        timer.cancel();
        send(exchange, jobSnapshot.job() == null ? 404 : 200, ConsoleCodec.encode(jobSnapshot));
      }
    }

    /**
     * Responds with 503. The event loop still has to process the request, so it counts as pending
     * until the loop has answered.
     */
    void timeOut() {
      if (!completed) {
        completed = true;
        send(
            exchange,
            503,
            ConsoleCodec.encode(new ErrorResponse("the event loop does not respond")));
      }
    }
  }

  private static void send(HttpServerExchange exchange, int status, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (status == 503 || status == 429) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
