package org.mallowroad.simulation;

import java.util.function.Function;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;

/** A controller's process in the world: its loop turns with the timeline, its clocks drift. */
final class SimulatedEnvironment extends Network.Party implements NodeEnvironment {
  private static final byte[] NOTHING = new byte[0];

  /** The beginning of time in all worlds. */
  private static final long EPOCH_MS = 1_800_000_000_000L;

  private final EventQueue time;
  private final Network network;
  private final Function<Endpoint, Network.Party> directory;
  private final double drift;

  /** A message that this node's build does not know; empty for none. */
  String unknownMessage = "";

  private long wallOffMs;
  private RequestHandler front;
  private Life loop;

  SimulatedEnvironment(
      EventQueue time,
      Network network,
      Function<Endpoint, Network.Party> directory,
      int index,
      String name,
      String zone,
      double drift,
      long wallOffMs) {
    super(Network.Kind.NODE, index, name, zone);
    this.time = time;
    this.network = network;
    this.directory = directory;
    this.drift = drift;
    this.wallOffMs = wallOffMs;
    this.loop = new Life();
  }

  /** A new process after an end; the time of day has wandered meanwhile. */
  void restart(long wallNowOffMs) {
    wallOffMs = wallNowOffMs;
    revive();
    front = null;
    loop = new Life();
  }

  @Override
  boolean isListening() {
    return isAlive() && front != null;
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    if (target.equals(unknownMessage)) {
      reply.answer(404, NOTHING);
      return;
    }
    IncomingRequest x = new Arrived(method, target, body, reply);
    if (from.kind == Network.Kind.NODE) {
      front.onPeerMessage(x);
    } else {
      front.onRequest(x);
    }
  }

  @Override
  public EventLoop loop() {
    return loop;
  }

  @Override
  public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
    Network.Party party = directory.apply(to);
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
            body == null ? NOTHING : body,
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
  public void listen(RequestHandler f) {
    front = f;
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

  private record Arrived(String method, String path, byte[] body, Network.Reply reply)
      implements IncomingRequest {
    @Override
    public void respond(int status, String type, byte[] body, boolean later) {
      reply.answer(status, body);
    }
  }

  private final class Life extends EventLoop {
    @Override
    public long nanoTime() {
      return (long) (time.nowUs() * 1000L * (1 + drift)) + 1_000_000_000_000L;
    }

    @Override
    public long wallMs() {
      return EPOCH_MS + time.nowMs() + wallOffMs;
    }

    @Override
    protected void execute(Runnable task) {
      time.schedule(0, SimulatedEnvironment.this, task);
    }

    @Override
    protected Timer schedule(long ms, Runnable task) {
      boolean[] over = new boolean[1];
      time.schedule(
          (long) (ms * 1000 / (1 + drift)),
          SimulatedEnvironment.this,
          () -> {
            if (!over[0]) {
              over[0] = true;
              task.run();
            }
          });
      return () -> {
        boolean ran = over[0];
        over[0] = true;
        return !ran;
      };
    }
  }
}
