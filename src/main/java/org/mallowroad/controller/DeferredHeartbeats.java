package org.mallowroad.controller;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.net.EventLoop;
import org.mallowroad.worker.HeartbeatResponder;

/**
 * Heartbeats that come before a new leader has read the records. Nothing may be answered to them
 * yet, but a worker waits up to 4 s for its answer, and most takeovers are over by then: so a
 * heartbeat is deferred for a while, and its worker is turned away only when that was not enough.
 * What a deferred heartbeat says is as old as it is, as with any that was long on its way.
 *
 * <p>Runs on the event loop only.
 */
final class DeferredHeartbeats {
  /** Half of a worker's time-out: the rest is for the network, also by way of a peer. */
  private static final long MAX_DEFERRAL_MS = 2_000;

  /** As many workers as one leader can answer; those beyond are turned away at once. */
  private static final int MAX_DEFERRED = 4_000;

  /** Heartbeats that are handled in one turn of the loop: renewals and users go between. */
  private static final int HEARTBEATS_PER_TURN = 24;

  private record Deferred(
      Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder, long receivedMs) {}

  /** Answers a deferred heartbeat in the end. */
  interface Handler {
    /** Handles the heartbeat as one that came just now. */
    void handle(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder);
  }

  /** By machine, in the order in which they came. */
  private final Object2ObjectLinkedOpenHashMap<String, Deferred> deferred =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The newest of each machine that was turned away: the machine is known even so. */
  private final Object2ObjectLinkedOpenHashMap<String, Heartbeat> expired =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * Defers a heartbeat. An older one of the same machine is turned away: its worker has given it
   * up.
   */
  void add(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder, long now) {
    Deferred before = deferred.remove(heartbeat.machine());
    if (before != null) {
      before.responder.retryLater();
    }
    if (deferred.size() >= MAX_DEFERRED) {
      responder.retryLater();
      return;
    }
    deferred.put(heartbeat.machine(), new Deferred(heartbeat, relayPeer, responder, now));
  }

  /** Turns away the workers whose heartbeat was deferred for long enough. */
  void expire(long now) {
    while (!deferred.isEmpty()
        && now - deferred.get(deferred.firstKey()).receivedMs > MAX_DEFERRAL_MS) {
      Deferred oldest = deferred.removeFirst();
      if (expired.size() < MAX_DEFERRED) {
        expired.put(oldest.heartbeat.machine(), oldest.heartbeat);
      }
      oldest.responder.retryLater();
    }
  }

  /**
   * The records are read: all that is deferred is handled, a few in a turn of the loop.
   *
   * @param addMachine makes the machine of a heartbeat known that was turned away
   */
  void drain(EventLoop loop, Consumer<Heartbeat> addMachine, Handler handler) {
    expired.values().forEach(addMachine);
    expired.clear();
    Deque<Deferred> all = new ArrayDeque<>(deferred.values());
    deferred.clear();
    drainSome(loop, all, handler);
  }

  private static void drainSome(EventLoop loop, Deque<Deferred> all, Handler handler) {
    for (int i = 0; i < HEARTBEATS_PER_TURN && !all.isEmpty(); i++) {
      Deferred d = all.poll();
      handler.handle(d.heartbeat, d.relayPeer, d.responder);
    }
    if (!all.isEmpty()) {
      loop.soon(() -> drainSome(loop, all, handler));
    }
  }
}
