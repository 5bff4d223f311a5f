package org.mallowroad.console;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether a loop turns, as seen from another thread: a beat is sent through it, and the next one
 * only when that is back. Confined to the console's thread; times are of the steady clock.
 */
final class EventLoopProbe {
  /** A beat that is out for longer means that the loop is stuck. */
  static final long STUCK_MS = 1_000;

  private static final int FRAMES = 16;

  private long sentMs = -1;
  private long lateMs;

  /** True when a beat is to be sent now. */
  boolean send(long now) {
    if (sentMs >= 0) {
      return false;
    }
    sentMs = now;
    return true;
  }

  /** The beat came back; it had run on the loop at {@code ranMs}. */
  void back(long ranMs) {
    lateMs = Math.max(0, ranMs - sentMs);
    sentMs = -1;
  }

  /** How late the loop is: the beat that is out, or the one before when that is longer. */
  long lateMs(long now) {
    return Math.max(lateMs, sentMs < 0 ? 0 : now - sentMs);
  }

  /** True while a beat has been out for too long. */
  boolean stuck(long now) {
    return sentMs >= 0 && now - sentMs > STUCK_MS;
  }

  /** Where a stuck loop is: the innermost frames. */
  static List<String> stack(Thread t) {
    List<String> out = new ArrayList<>();
    for (StackTraceElement e : t.getStackTrace()) {
      if (out.size() == FRAMES) {
        break;
      }
      out.add(e.toString());
    }
    return out;
  }
}
