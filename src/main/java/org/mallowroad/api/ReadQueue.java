package org.mallowroad.api;

import java.util.ArrayDeque;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;

/**
 * Grants read calls to the state service to users' requests, within their rate limit, in FIFO
 * order. Without the order a request that needs two calls would starve, because requests that need
 * one call would take each permit as it becomes available (docs/incidents, polls-starved).
 */
final class ReadQueue {
  /** The longest time that a request is queued; users wait 2 s for the response. */
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
   * Waits until the rate limit allows this number of calls.
   *
   * @param onGranted run when the calls may be made
   * @param onRefused run instead if the wait is too long or the queue is full
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

  /** The estimated wait of a call that is requested now, in ms. */
  long estimatedWaitMs() {
    double missingCalls = 1 - rateLimiter.availablePermits(loop.now());
    for (PendingRequest request : pending) {
      missingCalls += request.calls;
    }
    return missingCalls <= 0 ? 0 : Math.round(1000 * missingCalls / rateLimiter.permitsPerSecond());
  }

  /** Acquires a call for an optional read, only if at least half of the burst is unused. */
  boolean tryAcquireSpare(double burst) {
    long nowMs = loop.now();
    return pending.isEmpty()
        && rateLimiter.availablePermits(nowMs) >= burst / 2
        && rateLimiter.tryAcquire(1, nowMs);
  }

  /** Returns one call that was granted but not made. */
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
