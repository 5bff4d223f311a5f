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
 * Serves pictures of one node. All of it runs on one thread of its own, so it answers while the
 * node's loop is stuck; what it keeps is the newest picture and a bounded past. Sockets, requests
 * that wait and their time are bounded; only GET is known, and no body is read.
 */
public final class ConsoleServer {
  private static final Logger LOG = LoggerFactory.getLogger(ConsoleServer.class);

  /** One who asks waits no longer than this for a fresh picture, then gets the one there is. */
  private static final long WAIT_MS = 250;

  private static final long BEAT_MS = 500;

  private static final int MOST_SOCKETS = 32;

  /** Questions about single jobs, with a burst of two seconds' worth. */
  private static final double JOBS_PER_S = 5;

  /** Requests that wait for the loop at a time; further ones get what there is. */
  private static final int MOST_WAITING = 64;

  private final ConsoleSettings settings;
  private final SnapshotSource subject;
  private final XnioWorker worker;
  private final XnioEventLoop own;
  private final Undertow server;
  private final EventLoopProbe probe = new EventLoopProbe();
  private final List<Waiter> waiters = new ArrayList<>();
  private final MetricHistory past;
  private final RateLimiter jobs;
  private int jobsAsked;
  private NodeSnapshot picture;
  private long pictureMs;
  private boolean asked;

  /** A console of a node; it does not listen before {@link #start()}. */
  public ConsoleServer(ConsoleSettings settings, SnapshotSource subject) throws IOException {
    this.settings = settings;
    this.subject = subject;
    this.past = new MetricHistory(settings.history());
    this.worker = XnioEventLoop.createWorker("console");
    this.own = new XnioEventLoop(worker.getIoThread());
    this.jobs = new RateLimiter(JOBS_PER_S, 2 * JOBS_PER_S, own.now());
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
            .setSocketOption(Options.CONNECTION_HIGH_WATER, MOST_SOCKETS)
            .setSocketOption(Options.CONNECTION_LOW_WATER, MOST_SOCKETS - 4)
            .build();
  }

  /** Begins to listen and to look at the loop. */
  public void start() {
    server.start();
    own.every(BEAT_MS, this::beat);
    own.every(settings.everyMs(), this::ask);
    own.submit(this::ask);
    LOG.info("event=console_started node={} listen={}", subject.nodeName(), address());
  }

  /** Where it listens once it has started; port 0 in the settings is any port. */
  public String address() {
    InetSocketAddress a = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return a.getHostString() + ":" + a.getPort();
  }

  /** Ends the listener and its thread. */
  public void stop() {
    own.close();
    server.stop();
    worker.shutdown();
  }

  private void beat() {
    if (probe.send(own.now())) {
      subject.submit(
          () -> {
            long ran = own.now();
            own.submit(() -> probe.back(ran));
          });
    }
  }

  /** Asks the loop for a picture, once at a time: a stuck loop must not find a queue of them. */
  private void ask() {
    if (!asked) {
      asked = true;
      subject.requestSnapshot(p -> own.submit(() -> take(p)));
    }
  }

  private void take(NodeSnapshot p) {
    asked = false;
    picture = p;
    pictureMs = own.now();
    past.take(p, pictureMs);
    List<Waiter> all = List.copyOf(waiters);
    waiters.clear();
    all.forEach(Waiter::answer);
  }

  /** One who waits for a fresh picture. */
  private final class Waiter {
    private final HttpServerExchange exchange;
    private EventLoop.Timer timer;
    private boolean over;

    Waiter(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    void answer() {
      if (!over) {
        over = true;
        timer.cancel();
        sight(exchange);
      }
    }

    void late() {
      waiters.remove(this);
      answer();
    }
  }

  private void handle(HttpServerExchange x) {
    String path = x.getRequestPath();
    if (!x.getRequestMethod().equals(Methods.GET)) {
      send(x, 405, ConsoleCodec.encode(new Refusal("only GET is known here")));
    } else if (path.equals(ConsoleCodec.PATH_PREFIX + "picture")) {
      picture(x);
    } else if (path.equals(ConsoleCodec.PATH_PREFIX + "history")) {
      send(x, 200, ConsoleCodec.encode(past.points()));
    } else if (path.startsWith(ConsoleCodec.PATH_PREFIX + "jobs/")) {
      job(x, path.substring((ConsoleCodec.PATH_PREFIX + "jobs/").length()));
    } else {
      send(x, 404, ConsoleCodec.encode(new Refusal("no such page")));
    }
  }

  /** Why a request was not served. */
  private record Refusal(String error) {}

  private void picture(HttpServerExchange x) {
    boolean fresh = picture != null && own.now() - pictureMs <= settings.freshMs();
    if (fresh || probe.stuck(own.now()) || waiters.size() >= MOST_WAITING) {
      sight(x);
      return;
    }
    x.dispatch(
        own.ioThread(),
        () -> {
          Waiter w = new Waiter(x);
          w.timer = own.after(WAIT_MS, w::late);
          waiters.add(w);
          ask();
        });
  }

  private void sight(HttpServerExchange x) {
    long now = own.now();
    List<String> stack = probe.stuck(now) ? EventLoopProbe.stack(subject.loopThread()) : List.of();
    NodeStatus s =
        new NodeStatus(
            NodeSnapshot.FORMAT_VERSION,
            subject.nodeName(),
            probe.lateMs(now),
            stack,
            picture == null ? -1 : (now - pictureMs) / 1000.0,
            picture);
    send(x, 200, ConsoleCodec.encode(s));
  }

  private void job(HttpServerExchange x, String id) {
    if (!JobCodec.ID_PATTERN.matcher(id).matches()) {
      send(x, 404, ConsoleCodec.encode(new Refusal("not a job id")));
      return;
    }
    if (probe.stuck(own.now()) || jobsAsked >= MOST_WAITING) {
      send(x, 503, ConsoleCodec.encode(new Refusal("the loop does not answer")));
      return;
    }
    // Each costs the loop a look at all machines, and a picture serves many where this serves one.
    if (!jobs.tryAcquire(1, own.now())) {
      send(x, 429, ConsoleCodec.encode(new Refusal("too many questions about single jobs")));
      return;
    }
    x.dispatch(
        own.ioThread(),
        () -> {
          JobWaiter w = new JobWaiter(x);
          jobsAsked++;
          w.timer = own.after(WAIT_MS, w::late);
          subject.requestJob(id, p -> own.submit(() -> w.answer(p)));
        });
  }

  /** One who waits for a job. */
  private final class JobWaiter {
    private final HttpServerExchange exchange;
    private EventLoop.Timer timer;
    private boolean over;

    JobWaiter(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    void answer(JobSnapshot p) {
      jobsAsked--;
      if (!over) {
        over = true;
        timer.cancel();
        send(exchange, p.job() == null ? 404 : 200, ConsoleCodec.encode(p));
      }
    }

    /** The loop still has the question: it counts as asked until it is answered. */
    void late() {
      if (!over) {
        over = true;
        send(exchange, 503, ConsoleCodec.encode(new Refusal("the loop does not answer")));
      }
    }
  }

  private static void send(HttpServerExchange x, int status, byte[] body) {
    x.setStatusCode(status);
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (status == 503 || status == 429) {
      x.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
    }
    x.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
