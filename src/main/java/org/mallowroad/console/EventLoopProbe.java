package org.mallowroad.console;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects from another thread whether an event loop is stuck. A probe task is submitted to the
 * loop, and the next one only after the previous one has completed. Confined to the console's
 * thread; all times are in milliseconds of the monotonic clock.
 */
final class EventLoopProbe {
  /** If a probe has been pending for longer than this, the loop is considered stuck. */
  static final long STUCK_AFTER_MS = 1_000;

  private static final int MAX_FRAMES = 16;

  private long pendingSinceMs = -1;
  private long latencyMs;

  /**
   * Starts a probe unless one is pending; returns true if the caller must submit the probe task to
   * the loop.
   */
  boolean tryStart(long nowMs) {
    if (pendingSinceMs >= 0) {
      return false;
    }
    pendingSinceMs = nowMs;
    return true;
  }

  /** Completes the pending probe, whose task ran on the loop at {@code executedMs}. */
  void complete(long executedMs) {
    latencyMs = Math.max(0, executedMs - pendingSinceMs);
    pendingSinceMs = -1;
  }

  /**
   * The loop's latency in milliseconds: the latency of the last completed probe, or the time for
   * which the current probe has been pending if that is longer.
   */
  long latencyMs(long nowMs) {
    return Math.max(latencyMs, pendingSinceMs < 0 ? 0 : nowMs - pendingSinceMs);
  }

  /** True if the current probe has been pending for more than {@link #STUCK_AFTER_MS}. */
  boolean isStuck(long nowMs) {
    return pendingSinceMs >= 0 && nowMs - pendingSinceMs > STUCK_AFTER_MS;
  }

  /** The innermost frames of a thread's stack trace, which show where a stuck loop is blocked. */
  static List<String> innermostFrames(Thread thread) {
    List<String> frames = new ArrayList<>();
    for (StackTraceElement element : thread.getStackTrace()) {
      if (frames.size() == MAX_FRAMES) {
        break;
      }
      frames.add(element.toString());
    }
    return frames;
  }
}
