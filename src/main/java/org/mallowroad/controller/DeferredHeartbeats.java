package org.mallowroad.controller;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.net.EventLoop;
import org.mallowroad.worker.HeartbeatResponder;

/**
 * Holds heartbeats that arrive before a new leader has read the records of the previous term. The
 * leader must not answer them yet, but a worker waits up to 4 s for its answer and most takeovers
 * complete within that time. So each heartbeat is deferred for a while, and its worker is told to
 * retry only if the takeover takes longer. The contents of a deferred heartbeat are as old as the
 * heartbeat, as with one that was delayed in the network.
 *
 * <p>Runs on the event loop only.
 */
final class DeferredHeartbeats {
  /**
   * Half of a worker's timeout of 4 s; the rest is left for the network, including relaying through
   * a peer.
   */
  private static final long MAX_DEFERRAL_MS = 2_000;

  /** The number of workers that one leader can serve; heartbeats beyond it are rejected at once. */
  private static final int MAX_DEFERRED = 4_000;

  /**
   * Number of heartbeats handled per turn of the event loop, so that lease renewals and user
   * requests run in between.
   */
  private static final int HEARTBEATS_PER_TURN = 24;

  private record Deferred(
      Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder, long receivedMs) {}

  /** Handles heartbeats whose deferral has ended. */
  interface Handler {
    /** Handles the heartbeat as if it had just arrived. */
    void handle(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder);
  }

  /** Deferred heartbeats by machine name, in order of arrival. */
  private final Object2ObjectLinkedOpenHashMap<String, Deferred> deferred =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * By machine name, the latest heartbeat whose deferral expired; kept so that the machine is
   * registered nevertheless.
   */
  private final Object2ObjectLinkedOpenHashMap<String, Heartbeat> expiredHeartbeats =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * Defers a heartbeat. An earlier one from the same machine is rejected, since its worker no
   * longer waits for the answer.
   */
  void add(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder, long now) {
    Deferred previous = deferred.remove(heartbeat.machine());
    if (previous != null) {
      previous.responder.retryLater();
    }
    if (deferred.size() >= MAX_DEFERRED) {
      responder.retryLater();
      return;
    }
    deferred.put(heartbeat.machine(), new Deferred(heartbeat, relayPeer, responder, now));
  }

  /** Rejects the heartbeats that have been deferred for longer than {@link #MAX_DEFERRAL_MS}. */
  void expire(long now) {
    while (!deferred.isEmpty()
        && now - deferred.get(deferred.firstKey()).receivedMs > MAX_DEFERRAL_MS) {
      Deferred oldest = deferred.removeFirst();
      if (expiredHeartbeats.size() < MAX_DEFERRED) {
        expiredHeartbeats.put(oldest.heartbeat.machine(), oldest.heartbeat);
      }
      oldest.responder.retryLater();
    }
  }

  /**
   * Handles all deferred heartbeats once the records are read, a few per turn of the event loop.
   *
   * @param registerMachine registers the machine of a heartbeat whose deferral expired
   */
  void drain(EventLoop loop, Consumer<Heartbeat> registerMachine, Handler handler) {
    expiredHeartbeats.values().forEach(registerMachine);
    expiredHeartbeats.clear();
    Deque<Deferred> remaining = new ArrayDeque<>(deferred.values());
    deferred.clear();
    drainBatch(loop, remaining, handler);
  }

  private static void drainBatch(EventLoop loop, Deque<Deferred> remaining, Handler handler) {
    for (int i = 0; i < HEARTBEATS_PER_TURN && !remaining.isEmpty(); i++) {
      Deferred next = remaining.poll();
      handler.handle(next.heartbeat, next.relayPeer, next.responder);
    }
    if (!remaining.isEmpty()) {
      loop.submit(() -> drainBatch(loop, remaining, handler));
    }
  }
}
