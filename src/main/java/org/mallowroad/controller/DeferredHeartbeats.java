package org.mallowroad.controller;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.net.EventLoop;
import org.mallowroad.worker.HeartbeatResponder;

/**
 * Reports that come before a new leader has read the records. Nothing may be answered to them yet,
 * but a worker waits up to 4 s for its answer, and most takeovers are over by then: so a report is
 * held for a while, and its worker is turned away only when that was not enough. What a held report
 * says is as old as it is, as with any that was long on its way.
 */
final class DeferredHeartbeats {
  /** Half of what a worker waits: the rest is for the way, also by a peer. */
  private static final long HOLD_MS = 2_000;

  /** As many workers as one leader can answer; those beyond are turned away at once. */
  private static final int MOST = 4_000;

  /** Reports that are taken in one turn of the loop, so that renewals and users go between. */
  private static final int TURN = 24;

  private record Early(Heartbeat report, int via, HeartbeatResponder reply, long atMs) {}

  /** Where a held report goes in the end. */
  interface Listener {
    /** Takes the report as one that came just now. */
    void report(Heartbeat r, int via, HeartbeatResponder reply);
  }

  /** By machine, in the order in which they came. */
  private final Object2ObjectLinkedOpenHashMap<String, Early> held =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The newest of each machine that was turned away: it is known of even so. */
  private final Object2ObjectLinkedOpenHashMap<String, Heartbeat> seen =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Holds a report; an older one of the same machine has nobody waiting for it any more. */
  void add(Heartbeat r, int via, HeartbeatResponder reply, long now) {
    Early before = held.remove(r.machine());
    if (before != null) {
      before.reply.retryLater();
    }
    if (held.size() >= MOST) {
      reply.retryLater();
      return;
    }
    held.put(r.machine(), new Early(r, via, reply, now));
  }

  /** Turns away whose report was held for long enough. */
  void turnAway(long now) {
    while (!held.isEmpty() && now - held.get(held.firstKey()).atMs > HOLD_MS) {
      Early e = held.removeFirst();
      if (seen.size() < MOST) {
        seen.put(e.report.machine(), e.report);
      }
      e.reply.retryLater();
    }
  }

  /** The records are read: all that is held is taken, a few in a turn. */
  void take(EventLoop loop, Consumer<Heartbeat> known, Listener listener) {
    seen.values().forEach(known);
    seen.clear();
    Deque<Early> all = new ArrayDeque<>(held.values());
    held.clear();
    some(loop, all, listener);
  }

  private static void some(EventLoop loop, Deque<Early> all, Listener listener) {
    for (int i = 0; i < TURN && !all.isEmpty(); i++) {
      Early e = all.poll();
      listener.report(e.report, e.via, e.reply);
    }
    if (!all.isEmpty()) {
      loop.soon(() -> some(loop, all, listener));
    }
  }
}
