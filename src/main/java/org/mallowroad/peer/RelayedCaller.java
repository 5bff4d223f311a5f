package org.mallowroad.peer;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;

/**
 * A caller of an outside party that goes through a peer while its own way is cut ({@link
 * RouteSelector}).
 *
 * <p><b>Why a detour breaks no rule.</b> A call that goes through a peer is the same call, made by
 * somebody else and possibly later. (1) <i>Transactions</i> carry the marks of whoever leads and of
 * each key, so one that a peer holds and lets go minutes later fails like any late one; no answer
 * is {@code UNKNOWN}, as it is on the direct way. (2) <i>Reads</i> are done after they were sent,
 * and all that counts with time counts from the sending here ({@code KeyValueStore.contactMs}), so
 * an answer is never older than it seems. (3) <i>Lease renewals</i> count from the sending here
 * ({@code LeaderElection.renewedMs}); one that arrives late can only let the lease live longer than
 * its holder believes, which delays the next election and hands nothing out. (4) <i>Rents</i> carry
 * their recorded names, and a repeated name rents nothing; deletions can be repeated. (5) <i>A call
 * is sent twice</i> only when the first was certainly not done (503, not sent) or when it may be
 * repeated: reads and renewals. (6) <i>No loops:</i> a peer serves a detour by its own direct way
 * only ({@link RelayTransport}). (7) <i>The write budget</i> is that of whoever decides the write;
 * a peer adds none of its own.
 */
public final class RelayedCaller implements RequestSender {
  /** Calls longer than this wait for something to happen, and are given up when the way changes. */
  private static final long LONG_MS = 4_000;

  /** What a peer is given beyond the call's own time. */
  private static final long GRACE_MS = 200;

  private static final long BEAT_MS = 250;

  /** The peers, as ways to outside parties. */
  public interface Ways {
    /** Sends the call by way of a peer. */
    void forward(
        int peer,
        ExternalService party,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        ResponseHandler answer);
  }

  private final EventLoop loop;
  private final RequestSender direct;
  private final ExternalService party;
  private final RouteSelector route;
  private final Ways ways;
  private final long hedgeMs;
  private final ObjectLinkedOpenHashSet<Call> waiting = new ObjectLinkedOpenHashSet<>();

  /** Over the direct way to a party. */
  public RelayedCaller(
      EventLoop loop,
      RequestSender direct,
      ExternalService party,
      RouteSelector route,
      Ways ways,
      long hedgeMs) {
    this.loop = loop;
    this.direct = direct;
    this.party = party;
    this.route = route;
    this.ways = ways;
    this.hedgeMs = hedgeMs;
    loop.every(BEAT_MS, this::beat);
  }

  @Override
  public void call(
      String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
    new Call(method, path, body, timeoutMs, answer).start();
  }

  @Override
  public void close() {
    direct.close();
  }

  /** What waits for long on a way that has changed since is asked again on the new one. */
  private void beat() {
    route.choose(loop.now());
    for (Call c : new ArrayList<>(waiting)) {
      if (c.turns != route.routeChanges()) {
        c.end(() -> c.answer.failed(true));
      }
    }
  }

  /** Reads and renewals may be done twice. */
  private static boolean repeatable(String method, String path) {
    return (method.equals("GET") && !path.startsWith("/follow")) || path.endsWith("/extend");
  }

  private final class Call {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler answer;
    private final long sentMs = loop.now();
    private final long untilMs;
    private final List<EventLoop.Timer> timers = new ArrayList<>(1);
    private long turns;
    private int out;
    private boolean over;
    private boolean sentAny;

    Call(String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.answer = answer;
      this.untilMs = sentMs + timeoutMs;
    }

    void start() {
      int peer = route.choose(sentMs);
      turns = route.routeChanges();
      if (untilMs - sentMs > LONG_MS) {
        waiting.add(this);
      }
      if (peer != RouteSelector.DIRECT) {
        through(peer);
        return;
      }
      if (repeatable(method, path) && untilMs - sentMs > 2 * hedgeMs) {
        timers.add(loop.after(hedgeMs, this::beside));
      }
      straight();
    }

    private void straight() {
      out++;
      long from = loop.now();
      direct.call(
          method,
          path,
          body,
          untilMs - from,
          new ResponseHandler() {
            @Override
            public void answered(int status, byte[] bytes) {
              // The state service serves every node or none, but for the one that it refuses; a
              // cloud's 503 is an answer like another.
              boolean refused = party == ExternalService.STATE && status == 503;
              route.recordDirectCall(!refused, from, loop.now());
              if (!refused) {
                end(() -> answer.answered(status, bytes));
              } else {
                failed(false, () -> answer.answered(status, bytes));
              }
            }

            @Override
            public void failed(boolean sent) {
              route.recordDirectCall(false, from, loop.now());
              failed(sent, null);
            }

            @Override
            public void exhausted() {
              failed(false, null); // No sign of a cut.
            }

            private void failed(boolean sent, Runnable otherwise) {
              out--;
              sentAny |= sent;
              int peer = route.choose(loop.now());
              if (!over
                  && out == 0
                  && !sentAny
                  && peer != RouteSelector.DIRECT
                  && left() > GRACE_MS) {
                through(peer);
              } else {
                lost(otherwise);
              }
            }
          });
    }

    private long left() {
      return untilMs - loop.now();
    }

    private void beside() {
      int peer = route.chooseHedge(loop.now());
      if (!over && peer != RouteSelector.DIRECT) {
        through(peer);
      }
    }

    private void through(int peer) {
      out++;
      ways.forward(
          peer,
          party,
          method,
          path,
          body,
          left(),
          new ResponseHandler() {
            @Override
            public void answered(int status, byte[] bytes) {
              route.recordRelayedCall(peer, true, loop.now());
              end(() -> answer.answered(status, bytes));
            }

            @Override
            public void failed(boolean sent) {
              route.recordRelayedCall(peer, false, loop.now());
              out--;
              sentAny |= sent;
              lost(null);
            }
          });
    }

    /** Nothing that is still out can bring an answer. */
    private void lost(Runnable otherwise) {
      if (out == 0) {
        boolean sent = sentAny;
        end(otherwise != null && !sent ? otherwise : () -> answer.failed(sent));
      }
    }

    private void end(Runnable last) {
      if (over) {
        return;
      }
      over = true;
      timers.forEach(EventLoop.Timer::cancel);
      waiting.remove(this);
      last.run();
    }
  }
}
