package org.mallowroad.api;

import java.util.ArrayDeque;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;

/**
 * Grants users' requests their part of the calls to the state service, in the order in which they
 * asked. Without an order a request that needs two calls starves while others take each single
 * permit as it comes (docs/incidents, polls-starved).
 */
final class ReadQueue {
  /** The longest wait of a request: its user waits 2 s for the answer. */
  private static final long MAX_WAIT_MS = 1_300;

  private static final int MAX_WAITING = 500;
  private static final long CHECK_INTERVAL_MS = 15;

  private record PendingRequest(int calls, long sinceMs, Runnable granted, Runnable refused) {}

  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
  private boolean checkScheduled;

  ReadQueue(EventLoop loop, RateLimiter rateLimiter) {
    this.loop = loop;
    this.rateLimiter = rateLimiter;
  }

  /**
   * Waits until so many calls may be made.
   *
   * @param granted run when they may be made
   * @param refused run instead when that takes too long
   */
  void acquire(int calls, Runnable granted, Runnable refused) {
    long now = loop.now();
    if (waiting.isEmpty() && rateLimiter.tryAcquire(calls, now)) {
      granted.run();
    } else if (waiting.size() >= MAX_WAITING) {
      refused.run();
    } else {
      waiting.add(new PendingRequest(calls, now, granted, refused));
      scheduleCheck();
    }
  }

  /** How long a call that is requested now would wait, in milliseconds. */
  long delayMs() {
    double calls = 1 - rateLimiter.availablePermits(loop.now());
    for (PendingRequest p : waiting) {
      calls += p.calls;
    }
    return calls <= 0 ? 0 : Math.round(1000 * calls / rateLimiter.permitsPerSecond());
  }

  /** Takes a call for a read that can be left out: only while half of the burst is unused. */
  boolean tryAcquireSpare(double burst) {
    long now = loop.now();
    return waiting.isEmpty()
        && rateLimiter.availablePermits(now) >= burst / 2
        && rateLimiter.tryAcquire(1, now);
  }

  /** Returns a call that was granted and not made. */
  void release() {
    rateLimiter.forceAcquire(-1, loop.now());
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      loop.after(CHECK_INTERVAL_MS, this::check);
    }
  }

  private void check() {
    checkScheduled = false;
    long now = loop.now();
    PendingRequest first;
    while ((first = waiting.peek()) != null) {
      if (now - first.sinceMs > MAX_WAIT_MS) {
        waiting.poll();
        first.refused.run();
      } else if (rateLimiter.tryAcquire(first.calls, now)) {
        waiting.poll();
        first.granted.run();
      } else {
        scheduleCheck();
        return;
      }
    }
  }
}
