package org.mallowroad.core.linkstate;

/**
 * State of one link of this node, up or down, derived from the outcomes of calls over the link.
 *
 * <p>Each outcome is dated to the time at which the call was sent. The time at which the answer was
 * read is no evidence of the link's state at that time, because the answer may have waited in a
 * socket.
 */
final class Link {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** When the newest successful call was sent. */
  private long newestSuccessSentMs = NEVER;

  /** When the newest failed call was sent. */
  private long newestFailureSentMs = NEVER;

  private long changedMs;
  private boolean down;

  /** Creates a link that counts as up since {@code now}. */
  Link(long now) {
    changedMs = now;
  }

  /** Records the success of a call; returns true when this brought the link up. */
  boolean recordSuccess(long sentMs, long now) {
    newestSuccessSentMs = Math.max(newestSuccessSentMs, sentMs);
    // The success of a call that was sent before the failed one does not refute the failure.
    if (!down || newestSuccessSentMs < newestFailureSentMs) {
      return false;
    }
    down = false;
    changedMs = now;
    return true;
  }

  /** Records the failure of a call; returns true when this took the link down. */
  boolean recordFailure(long sentMs, long now) {
    newestFailureSentMs = Math.max(newestFailureSentMs, sentMs);
    // A call that was sent later has already succeeded, so only a single message was lost.
    if (down || newestSuccessSentMs > sentMs) {
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

  /** Age of the newest successful call in ms; -1 while the link is down or before the first one. */
  long ageMs(long now) {
    return down || newestSuccessSentMs == NEVER ? -1 : Math.max(0, now - newestSuccessSentMs);
  }
}
