package org.mallowroad.peer;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;

/**
 * Sends calls to an external service directly or, while this node cannot reach the service, through
 * a peer ({@link RouteSelector}). Confined to the event loop.
 *
 * <p><b>Why a relayed call violates no invariant.</b> A relayed call is the same call, made by
 * another node and possibly later.
 *
 * <ol>
 *   <li><i>Transactions</i> are conditional on the leader's record and on the version of each key,
 *       so a transaction that a peer delays for minutes fails like any late transaction. Without a
 *       response its outcome is {@code UNKNOWN}, as it is for a direct call.
 *   <li><i>Reads</i> are executed after this node sent them, and every time limit counts from the
 *       time at which this node sent the read ({@code ServiceHealth.lastExecutedCallSentMs}), so a
 *       response is never older than this node assumes.
 *   <li><i>Lease renewals</i> count from the time at which this node sent them ({@code
 *       LeaderElection.lastRenewalSentMs}). A late renewal can only extend the lease beyond the
 *       time that its holder assumes, which delays the next election and gives no node any
 *       authority.
 *   <li><i>Rental requests</i> carry their recorded names, and the cloud rents nothing for a name
 *       that it has seen before; deletions are idempotent.
 *   <li><i>A call is sent twice</i> only if the first request was certainly not executed (503, not
 *       sent) or if the call is idempotent: reads and renewals.
 *   <li><i>No loops:</i> a peer makes a relayed call over its own direct path only ({@link
 *       RelayTransport}).
 *   <li><i>The write rate limit</i> is applied by the node that issues the write; a relaying peer
 *       applies none.
 * </ol>
 */
public final class RelayingRequestSender implements RequestSender {
  /**
   * Calls with a longer timeout, in ms, are long polls, which wait for an event; they are failed
   * when the route changes.
   */
  private static final long LONG_POLL_TIMEOUT_MS = 4_000;

  /** The minimum remaining time in ms for sending a call again, through a peer. */
  private static final long MIN_RELAY_TIME_MS = 200;

  private static final long ROUTE_CHECK_INTERVAL_MS = 250;

  /** Relays calls to external services through peers. */
  @FunctionalInterface
  public interface CallRelay {
    /** Sends a call through a peer; the body is null if there is none. */
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
  private final RequestSender directSender;
  private final ExternalService service;
  private final RouteSelector route;
  private final CallRelay callRelay;
  private final long hedgeDelayMs;
  private final ObjectLinkedOpenHashSet<Call> longPolls = new ObjectLinkedOpenHashSet<>();

  /**
   * Creates a sender to one external service.
   *
   * @param directSender sends requests to the service without a peer
   * @param hedgeDelayMs the time after which an unanswered direct call that is idempotent is also
   *     sent through a peer
   */
  public RelayingRequestSender(
      EventLoop loop,
      RequestSender directSender,
      ExternalService service,
      RouteSelector route,
      CallRelay callRelay,
      long hedgeDelayMs) {
    this.loop = loop;
    this.directSender = directSender;
    this.service = service;
    this.route = route;
    this.callRelay = callRelay;
    this.hedgeDelayMs = hedgeDelayMs;
    loop.every(ROUTE_CHECK_INTERVAL_MS, this::failStaleLongPolls);
  }

  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
    new Call(method, path, body, timeoutMs, handler).start();
  }

  @Override
  public void close() {
    directSender.close();
  }

  /** Fails long polls that were sent before a route change, so that callers use the new route. */
  private void failStaleLongPolls() {
    route.chooseRoute(loop.now());
    for (Call call : new ArrayList<>(longPolls)) {
      if (call.routeChangesAtStart != route.routeChangeCount()) {
        call.complete(() -> call.handler.onFailure(true));
      }
    }
  }

  /** Whether a call may be executed twice, as reads and lease renewals may. */
  private static boolean isIdempotent(String method, String path) {
    return (method.equals("GET") && !path.startsWith("/follow")) || path.endsWith("/extend");
  }

  /** One call, for which up to two requests may be in flight. */
  private final class Call {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler handler;
    private final long startMs = loop.now();
    private final long deadlineMs;
    private final List<EventLoop.Timer> timers = new ArrayList<>(1);

    /** The count of route changes when the call was sent. */
    private long routeChangesAtStart;

    private int inFlight;
    private boolean completed;

    /** Whether any failed request may have been executed. */
    private boolean mayHaveExecuted;

    Call(String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
      this.deadlineMs = startMs + timeoutMs;
    }

    void start() {
      int peer = route.chooseRoute(startMs);
      routeChangesAtStart = route.routeChangeCount();
      if (deadlineMs - startMs > LONG_POLL_TIMEOUT_MS) {
        longPolls.add(this);
      }
      if (peer != RouteSelector.DIRECT) {
        sendThroughPeer(peer);
        return;
      }
      if (isIdempotent(method, path) && deadlineMs - startMs > 2 * hedgeDelayMs) {
        timers.add(loop.after(hedgeDelayMs, this::sendHedge));
      }
      sendDirect();
    }

    private long remainingMs() {
      return deadlineMs - loop.now();
    }

    private void sendDirect() {
      inFlight++;
      long sentMs = loop.now();
      directSender.send(method, path, body, deadlineMs - sentMs, new DirectResponseHandler(sentMs));
    }

    /** Sends the call a second time, through a peer, if a peer is likely to be faster. */
    private void sendHedge() {
      int peer = route.chooseHedgePeer(loop.now());
      if (!completed && peer != RouteSelector.DIRECT) {
        sendThroughPeer(peer);
      }
    }

    private void sendThroughPeer(int peer) {
      inFlight++;
      callRelay.relayCall(
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
              complete(() -> handler.onResponse(status, bytes));
            }

            @Override
            public void onFailure(boolean sent) {
              route.recordRelayedCall(peer, false, loop.now());
              inFlight--;
              mayHaveExecuted |= sent;
              failUnlessInFlight(null);
            }
          });
    }

    /**
     * Fails the call unless another request is still in flight.
     *
     * @param refusal if not null, passes on the service's error response instead of failing the
     *     call, provided that the call was certainly not executed
     */
    private void failUnlessInFlight(Runnable refusal) {
      if (inFlight == 0) {
        boolean receiverMayHaveExecuted = mayHaveExecuted;
        complete(
            refusal != null && !receiverMayHaveExecuted
                ? refusal
                : () -> handler.onFailure(receiverMayHaveExecuted));
      }
    }

    private void complete(Runnable callback) {
      if (completed) {
        return;
      }
      completed = true;
      timers.forEach(EventLoop.Timer::cancel);
      longPolls.remove(this);
      callback.run();
    }

    /** Records the outcome of the direct request, and sends the call through a peer if possible. */
    private final class DirectResponseHandler implements ResponseHandler {
      private final long sentMs;

      DirectResponseHandler(long sentMs) {
        this.sentMs = sentMs;
      }

      @Override
      public void onResponse(int status, byte[] responseBody) {
        // The state service serves either all nodes or none; the only exception is a node that it
        // rejects with 503, which means that this node is partitioned from it. A 503 of the cloud
        // is a response like any other.
        boolean refused = service == ExternalService.STATE && status == 503;
        route.recordDirectCall(!refused, sentMs, loop.now());
        if (refused) {
          relayOrFail(false, () -> handler.onResponse(status, responseBody));
        } else {
          complete(() -> handler.onResponse(status, responseBody));
        }
      }

      @Override
      public void onFailure(boolean sent) {
        route.recordDirectCall(false, sentMs, loop.now());
        relayOrFail(sent, null);
      }

      @Override
      public void onNoFreeConnection() {
        // All connections are in use, which does not indicate that the service is unreachable.
        relayOrFail(false, null);
      }

      private void relayOrFail(boolean sent, Runnable refusal) {
        inFlight--;
        mayHaveExecuted |= sent;
        int peer = route.chooseRoute(loop.now());
        if (!completed
            && inFlight == 0
            && !mayHaveExecuted
            && peer != RouteSelector.DIRECT
            && remainingMs() > MIN_RELAY_TIME_MS) {
          sendThroughPeer(peer);
        } else {
          failUnlessInFlight(refusal);
        }
      }
    }
  }
}
