package org.mallowroad.core.linkstate;

/**
 * One link as its own end sees it. A use counts by when it was sent: an answer may have waited in a
 * socket, so when it was read says nothing of the time since.
 */
final class Link {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private long okMs = NEVER;
  private long failedMs = NEVER;
  private long changedMs;
  private boolean down;

  Link(long now) {
    changedMs = now;
  }

  /** A use that was sent then has worked; true when the link was down until now. */
  boolean ok(long sentMs, long now) {
    okMs = Math.max(okMs, sentMs);
    // A success that was sent before the failure says nothing against it.
    if (!down || okMs < failedMs) {
      return false;
    }
    down = false;
    changedMs = now;
    return true;
  }

  /** A use that was sent then has failed; true when the link was up until now. */
  boolean failed(long sentMs, long now) {
    failedMs = Math.max(failedMs, sentMs);
    // What was sent later has worked already: this was one lost message.
    if (down || okMs > sentMs) {
      return false;
    }
    down = true;
    changedMs = now;
    return true;
  }

  boolean down() {
    return down;
  }

  /** Since when it is as it is. */
  long changedMs() {
    return changedMs;
  }

  /** Age of the newest use that worked; -1 while down or before the first. */
  long ageMs(long now) {
    return down || okMs == NEVER ? -1 : Math.max(0, now - okMs);
  }
}
