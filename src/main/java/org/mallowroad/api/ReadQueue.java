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

  private static final int MAX_PENDING = 500;
  private static final long CHECK_INTERVAL_MS = 15;

  private record PendingRequest(int calls, long queuedMs, Runnable onGranted, Runnable onRefused) {}

  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final ArrayDeque<PendingRequest> pending = new ArrayDeque<>();
  private boolean isCheckScheduled;

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
  void acquire(int calls, Runnable onGranted, Runnable onRefused) {
    long nowMs = loop.now();
    if (pending.isEmpty() && rateLimiter.tryAcquire(calls, nowMs)) {
      onGranted.run();
    } else if (pending.size() >= MAX_PENDING) {
      onRefused.run();
    } else {
      pending.add(new PendingRequest(calls, nowMs, onGranted, onRefused));
      scheduleCheck();
    }
  }

  /** How long a call that is requested now would wait, in milliseconds. */
  long estimatedWaitMs() {
    double missingCalls = 1 - rateLimiter.availablePermits(loop.now());
    for (PendingRequest request : pending) {
      missingCalls += request.calls;
    }
    return missingCalls <= 0 ? 0 : Math.round(1000 * missingCalls / rateLimiter.permitsPerSecond());
  }

  /** Takes a call for a read that can be left out: only while half of the burst is unused. */
  boolean tryAcquireSpare(double burst) {
    long nowMs = loop.now();
    return pending.isEmpty()
        && rateLimiter.availablePermits(nowMs) >= burst / 2
        && rateLimiter.tryAcquire(1, nowMs);
  }

  /** Returns a call that was granted and not made. */
  void release() {
    rateLimiter.forceAcquire(-1, loop.now());
  }

  private void scheduleCheck() {
    if (!isCheckScheduled) {
      isCheckScheduled = true;
      loop.after(CHECK_INTERVAL_MS, this::grantPending);
    }
  }

  private void grantPending() {
    isCheckScheduled = false;
    long nowMs = loop.now();
    PendingRequest first;
    while ((first = pending.peek()) != null) {
      if (nowMs - first.queuedMs > MAX_WAIT_MS) {
        pending.poll();
        first.onRefused.run();
      } else if (rateLimiter.tryAcquire(first.calls, nowMs)) {
        pending.poll();
        first.onGranted.run();
      } else {
        scheduleCheck();
        return;
      }
    }
  }
}
