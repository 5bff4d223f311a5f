package org.mallowroad.peer;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;

/**
 * Sends calls to an external service directly or, while this node does not reach it, through a peer
 * ({@link RouteSelector}). Confined to the event loop.
 *
 * <p><b>Why a relayed call breaks no rule.</b> A relayed call is the same call, made by another
 * node and possibly later.
 *
 * <ol>
 *   <li><i>Transactions</i> are conditional on the leader's record and on the version of each key,
 *       so one that a peer holds and sends minutes later fails like any late one; without an answer
 *       its outcome is {@code UNKNOWN}, as it is on the direct way.
 *   <li><i>Reads</i> are done after they were sent, and every time limit counts from the sending
 *       here ({@code KeyValueStore.contactMs}), so an answer is never older than it seems.
 *   <li><i>Lease renewals</i> count from the sending here ({@code LeaderElection.renewedMs}); one
 *       that arrives late can only let the lease live longer than its holder believes, which delays
 *       the next election and grants nothing.
 *   <li><i>Rental requests</i> carry their recorded names, and a repeated name rents nothing;
 *       deletions can be repeated.
 *   <li><i>A call is sent twice</i> only when the first was certainly not executed (503, not sent)
 *       or when it may be repeated: reads and renewals.
 *   <li><i>No loops:</i> a peer makes a relayed call by its own direct way only ({@link
 *       RelayTransport}).
 *   <li><i>The write limit</i> is that of the node that decides the write; a peer adds none.
 * </ol>
 */
public final class RelayingRequestSender implements RequestSender {
  /** Calls with a longer time-out wait for an event, and are given up when the route changes. */
  private static final long LONG_POLL_TIMEOUT_MS = 4_000;

  /** The least time that must remain for a call to be sent once more, through a peer. */
  private static final long MIN_RELAY_TIME_MS = 200;

  private static final long ROUTE_CHECK_INTERVAL_MS = 250;

  /** Relays calls to external services through peers. */
  @FunctionalInterface
  public interface CallRelay {
    /** Sends a call through a peer; the body is null for none. */
    void relayCall(
        int peer,
        ExternalService service,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        ResponseHandler handler);
  }

  private final EventLoop loop;
  private final RequestSender direct;
  private final ExternalService service;
  private final RouteSelector route;
  private final CallRelay relay;
  private final long hedgeMs;
  private final ObjectLinkedOpenHashSet<Call> longPolls = new ObjectLinkedOpenHashSet<>();

  /**
   * Sends calls to one service.
   *
   * @param direct sends without a peer
   * @param hedgeMs after which an unanswered direct call that may be repeated is also relayed
   */
  public RelayingRequestSender(
      EventLoop loop,
      RequestSender direct,
      ExternalService service,
      RouteSelector route,
      CallRelay relay,
      long hedgeMs) {
    this.loop = loop;
    this.direct = direct;
    this.service = service;
    this.route = route;
    this.relay = relay;
    this.hedgeMs = hedgeMs;
    loop.every(ROUTE_CHECK_INTERVAL_MS, this::checkRoute);
  }

  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
    new Call(method, path, body, timeoutMs, handler).start();
  }

  @Override
  public void close() {
    direct.close();
  }

  /** Fails long polls on a route that has changed since, so that they are sent on the new one. */
  private void checkRoute() {
    route.chooseRoute(loop.now());
    for (Call c : new ArrayList<>(longPolls)) {
      if (c.routeChanges != route.routeChangeCount()) {
        c.finish(() -> c.handler.onFailure(true));
      }
    }
  }

  /** Whether a call may be executed twice: reads and lease renewals. */
  private static boolean isRepeatable(String method, String path) {
    return (method.equals("GET") && !path.startsWith("/follow")) || path.endsWith("/extend");
  }

  /** One call, of which up to two requests are in flight. */
  private final class Call {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler handler;
    private final long startMs = loop.now();
    private final long deadlineMs;
    private final List<EventLoop.Timer> timers = new ArrayList<>(1);

    /** The count of route changes when the call was sent. */
    private long routeChanges;

    private int inFlight;
    private boolean finished;

    /** Whether any failed request may have been executed. */
    private boolean maybeExecuted;

    Call(String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
      this.deadlineMs = startMs + timeoutMs;
    }

    void start() {
      int peer = route.chooseRoute(startMs);
      routeChanges = route.routeChangeCount();
      if (deadlineMs - startMs > LONG_POLL_TIMEOUT_MS) {
        longPolls.add(this);
      }
      if (peer != RouteSelector.DIRECT) {
        sendThrough(peer);
        return;
      }
      if (isRepeatable(method, path) && deadlineMs - startMs > 2 * hedgeMs) {
        timers.add(loop.after(hedgeMs, this::hedge));
      }
      sendDirect();
    }

    private long remainingMs() {
      return deadlineMs - loop.now();
    }

    private void sendDirect() {
      inFlight++;
      long sentMs = loop.now();
      direct.send(method, path, body, deadlineMs - sentMs, new DirectResponseHandler(sentMs));
    }

    /** Sends the call a second time, through a peer, where one seems to be faster. */
    private void hedge() {
      int peer = route.chooseHedgePeer(loop.now());
      if (!finished && peer != RouteSelector.DIRECT) {
        sendThrough(peer);
      }
    }

    private void sendThrough(int peer) {
      inFlight++;
      relay.relayCall(
          peer,
          service,
          method,
          path,
          body,
          remainingMs(),
          new ResponseHandler() {
            @Override
            public void onResponse(int status, byte[] bytes) {
              route.recordRelayedCall(peer, true, loop.now());
              finish(() -> handler.onResponse(status, bytes));
            }

            @Override
            public void onFailure(boolean sent) {
              route.recordRelayedCall(peer, false, loop.now());
              inFlight--;
              maybeExecuted |= sent;
              failUnlessInFlight(null);
            }
          });
    }

    /**
     * Fails the call unless another request may still be answered.
     *
     * @param refusal passes on the service's refusal instead, where the call was surely not
     *     executed; or null
     */
    private void failUnlessInFlight(Runnable refusal) {
      if (inFlight == 0) {
        boolean executed = maybeExecuted;
        finish(refusal != null && !executed ? refusal : () -> handler.onFailure(executed));
      }
    }

    private void finish(Runnable lastStep) {
      if (finished) {
        return;
      }
      finished = true;
      timers.forEach(EventLoop.Timer::cancel);
      longPolls.remove(this);
      lastStep.run();
    }

    /** Tells the route how the direct request went, and sends the call through a peer if it may. */
    private final class DirectResponseHandler implements ResponseHandler {
      private final long sentMs;

      DirectResponseHandler(long sentMs) {
        this.sentMs = sentMs;
      }

      @Override
      public void onResponse(int status, byte[] bytes) {
        // The state service serves all nodes or none, except for one that it refuses with 503: that
        // node is cut off. A cloud's 503 is an answer like any other.
        boolean refused = service == ExternalService.STATE && status == 503;
        route.recordDirectCall(!refused, sentMs, loop.now());
        if (refused) {
          relayOrFail(false, () -> handler.onResponse(status, bytes));
        } else {
          finish(() -> handler.onResponse(status, bytes));
        }
      }

      @Override
      public void onFailure(boolean sent) {
        route.recordDirectCall(false, sentMs, loop.now());
        relayOrFail(sent, null);
      }

      @Override
      public void onNoFreeConnection() {
        // All connections are in use: no sign that the service is not reached.
        relayOrFail(false, null);
      }

      private void relayOrFail(boolean sent, Runnable refusal) {
        inFlight--;
        maybeExecuted |= sent;
        int peer = route.chooseRoute(loop.now());
        if (!finished
            && inFlight == 0
            && !maybeExecuted
            && peer != RouteSelector.DIRECT
            && remainingMs() > MIN_RELAY_TIME_MS) {
          sendThrough(peer);
        } else {
          failUnlessInFlight(refusal);
        }
      }
    }
  }
}
