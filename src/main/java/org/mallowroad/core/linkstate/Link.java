package org.mallowroad.core.linkstate;

/**
 * State of one link of this node, up or down, by the outcomes of the calls over it.
 *
 * <p>A call counts by the time at which it was sent. When its answer was read says nothing of the
 * time since, because the answer may have waited in a socket.
 */
final class Link {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Sending time of the newest call that succeeded. */
  private long succeededMs = NEVER;

  /** Sending time of the newest call that failed. */
  private long failedMs = NEVER;

  private long changedMs;
  private boolean down;

  /** A link that is up, as of now. */
  Link(long now) {
    changedMs = now;
  }

  /** Records the success of a call; true when it brought the link up. */
  boolean recordSuccess(long sentMs, long now) {
    succeededMs = Math.max(succeededMs, sentMs);
    // A success that was sent before the failure does not disprove it.
    if (!down || succeededMs < failedMs) {
      return false;
    }
    down = false;
    changedMs = now;
    return true;
  }

  /** Records the failure of a call; true when it took the link down. */
  boolean recordFailure(long sentMs, long now) {
    failedMs = Math.max(failedMs, sentMs);
    // A call that was sent later has succeeded already: this was a single lost message.
    if (down || succeededMs > sentMs) {
      return false;
    }
    down = true;
    changedMs = now;
    return true;
  }

  /** True when the newest evidence is a failure. */
  boolean isDown() {
    return down;
  }

  /** When the link came up or went down, or was created. */
  long changedMs() {
    return changedMs;
  }

  /** Age of the newest call that succeeded, in ms; -1 while down or before the first one. */
  long ageMs(long now) {
    return down || succeededMs == NEVER ? -1 : Math.max(0, now - succeededMs);
  }
}
