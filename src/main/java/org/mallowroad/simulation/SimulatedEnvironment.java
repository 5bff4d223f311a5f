package org.mallowroad.simulation;

import java.util.function.Function;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;

/**
 * The process of a simulated controller: its event loop runs on the event queue, its monotonic
 * clock drifts and its wall clock has an offset.
 */
final class SimulatedEnvironment extends Network.Party implements NodeEnvironment {
  private static final byte[] EMPTY_BODY = new byte[0];

  /** Wall-clock time at the start of every simulation, in milliseconds since 1970. */
  private static final long EPOCH_MS = 1_800_000_000_000L;

  private final EventQueue eventQueue;
  private final Network network;
  private final Function<Endpoint, Network.Party> resolver;
  private final double clockDrift;

  /** Path that gets 404, as from a build that does not know the message; empty for none. */
  String unknownMessagePath = "";

  private long wallClockOffsetMs;
  private RequestHandler requestHandler;
  private SimulatedEventLoop loop;

  SimulatedEnvironment(
      EventQueue eventQueue,
      Network network,
      Function<Endpoint, Network.Party> resolver,
      int index,
      String name,
      String zone,
      double clockDrift,
      long wallClockOffsetMs) {
    super(Network.Kind.NODE, index, name, zone);
    this.eventQueue = eventQueue;
    this.network = network;
    this.resolver = resolver;
    this.clockDrift = clockDrift;
    this.wallClockOffsetMs = wallClockOffsetMs;
    this.loop = new SimulatedEventLoop();
  }

  /** Starts a new process after the previous one ended, with a new wall-clock offset. */
  void restart(long newWallClockOffsetMs) {
    wallClockOffsetMs = newWallClockOffsetMs;
    revive();
    requestHandler = null;
    loop = new SimulatedEventLoop();
  }

  @Override
  boolean isListening() {
    return isAlive() && requestHandler != null;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    if (target.equals(unknownMessagePath)) {
      reply.answer(404, EMPTY_BODY);
      return;
    }
    IncomingRequest request = new SimulatedRequest(method, target, body, reply);
    if (from.kind == Network.Kind.NODE) {
      requestHandler.onPeerMessage(request);
    } else {
      requestHandler.onRequest(request);
    }
  }

  @Override
  public EventLoop loop() {
    return loop;
  }

  @Override
  public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
    Network.Party party = resolver.apply(to);
    return new RequestSender() {
      private int open;

      @Override
      public void send(
          String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
        if (open >= maxOpen || party == null) {
          answer.onFailure(false);
          return;
        }
        open++;
        network.call(
            SimulatedEnvironment.this,
            party,
            method,
            path,
            body == null ? EMPTY_BODY : body,
            timeoutMs,
            new ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] bytes) {
                open--;
                if (bytes.length > maxBody) {
                  answer.onFailure(true);
                } else {
                  answer.onResponse(status, bytes);
                }
              }

              @Override
              public void onFailure(boolean sent) {
                open--;
                answer.onFailure(sent);
              }
            });
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void listen(RequestHandler handler) {
    requestHandler = handler;
  }

  @Override
  public long bufferedBodyBytes() {
    return 0;
  }

  @Override
  public String boundAddress(int listener) {
    return name;
  }

  @Override
  public Thread loopThread() {
    return Thread.currentThread();
  }

  @Override
  public void stop() {
    terminate();
  }

  private record SimulatedRequest(String method, String path, byte[] body, Network.Reply reply)
      implements IncomingRequest {
    @Override
    public void respond(int status, String type, byte[] body, boolean later) {
      reply.answer(status, body);
    }
  }

  private final class SimulatedEventLoop extends EventLoop {
    @Override
    public long nanoTime() {
      return (long) (eventQueue.nowUs() * 1000L * (1 + clockDrift)) + 1_000_000_000_000L;
    }

    @Override
    public long wallMs() {
      return EPOCH_MS + eventQueue.nowMs() + wallClockOffsetMs;
    }

    @Override
    protected void execute(Runnable task) {
      eventQueue.schedule(0, SimulatedEnvironment.this, task);
    }

    @Override
    protected Timer schedule(long delayMs, Runnable task) {
      boolean[] completed = new boolean[1];
      eventQueue.schedule(
          (long) (delayMs * 1000 / (1 + clockDrift)),
          SimulatedEnvironment.this,
          () -> {
            if (!completed[0]) {
              completed[0] = true;
              task.run();
            }
          });
      return () -> {
        boolean alreadyCompleted = completed[0];
        completed[0] = true;
        return !alreadyCompleted;
      };
    }
  }
}
