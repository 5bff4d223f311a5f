package org.mallowroad.api;

import java.util.ArrayDeque;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;

/**
 * Users' part of the state service's calls, in the order in which they were asked for. Without an
 * order those that need two calls never had them while others took each single one as it came, and
 * a job was not heard of for as long as its user asked the same node (docs/incidents,
 * polls-starved).
 */
final class ReadQueue {
  /** A user waits 2 s for an answer. */
  private static final long PATIENCE_MS = 1_300;

  private static final int MOST_WAITING = 500;
  private static final long TURN_MS = 15;

  private record Ask(int calls, long sinceMs, Runnable go, Runnable no) {}

  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final ArrayDeque<Ask> waiting = new ArrayDeque<>();
  private boolean turning;

  ReadQueue(EventLoop loop, RateLimiter rateLimiter) {
    this.loop = loop;
    this.rateLimiter = rateLimiter;
  }

  /** Runs {@code go} once so many calls may be made, or {@code no} when that takes too long. */
  void take(int calls, Runnable go, Runnable no) {
    long now = loop.now();
    if (waiting.isEmpty() && rateLimiter.tryAcquire(calls, now)) {
      go.run();
    } else if (waiting.size() >= MOST_WAITING) {
      no.run();
    } else {
      waiting.add(new Ask(calls, now, go, no));
      later();
    }
  }

  /** How long a call that is asked for now waits for its turn. */
  long delayMs() {
    double calls = 1 - rateLimiter.availablePermits(loop.now());
    for (Ask a : waiting) {
      calls += a.calls;
    }
    return calls <= 0 ? 0 : Math.round(1000 * calls / rateLimiter.permitsPerSecond());
  }

  /** Takes a call for what is merely nice to know: only while half of them are unused. */
  boolean spare(double burst) {
    long now = loop.now();
    return waiting.isEmpty()
        && rateLimiter.availablePermits(now) >= burst / 2
        && rateLimiter.tryAcquire(1, now);
  }

  /** A call that was taken and not made. */
  void giveBack() {
    rateLimiter.forceAcquire(-1, loop.now());
  }

  private void later() {
    if (!turning) {
      turning = true;
      loop.after(TURN_MS, this::turn);
    }
  }

  private void turn() {
    turning = false;
    long now = loop.now();
    Ask a;
    while ((a = waiting.peek()) != null) {
      if (now - a.sinceMs > PATIENCE_MS) {
        waiting.poll();
        a.no.run();
      } else if (rateLimiter.tryAcquire(a.calls, now)) {
        waiting.poll();
        a.go.run();
      } else {
        later();
        return;
      }
    }
  }
}
