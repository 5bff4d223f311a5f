package org.mallowroad.core.health;

/**
 * Detects that messages of this controller do not reach a machine whose heartbeats arrive.
 *
 * <p>With such a one-way link the machine looks alive, although its lease expires, its tasks die
 * with each incarnation and whatever is placed on it never starts. Its own heartbeats show it: they
 * do not have the fencing token of an earlier answer, do not list launches that an answer carried,
 * or begin a new incarnation although the heartbeats of the last one were answered. This is
 * evidence only and frees no attempt.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class OutboundReachability {
  /** Consecutive heartbeats that must miss the content of the answers before them. */
  static final int MIN_UNACKNOWLEDGED = 3;

  /** Least time between the first and the last of them: one answer may be lost by chance. */
  static final long MIN_UNACKNOWLEDGED_MS = 4_000;

  /**
   * Interval at which a machine with a broken link is offered a higher fencing token; the first
   * heartbeat that has the token shows that the link works again.
   */
  static final long PROBE_INTERVAL_MS = 10_000;

  private int unacknowledged;
  private long unacknowledgedSinceMs;
  private long probedMs;
  private boolean broken;

  /** A heartbeat shows something that only a message of this controller can have told. */
  public void recordAcknowledged() {
    unacknowledged = 0;
    broken = false;
  }

  /** A heartbeat does not show what the answer before it said. */
  public void recordUnacknowledged(long now) {
    if (unacknowledged++ == 0) {
      unacknowledgedSinceMs = now;
    }
    if (unacknowledged >= MIN_UNACKNOWLEDGED
        && now - unacknowledgedSinceMs >= MIN_UNACKNOWLEDGED_MS
        && !broken) {
      broken = true;
      probedMs = now;
    }
  }

  /** The worker's incarnation ended although its heartbeats were answered within its lease. */
  public void recordIncarnationLost(long now) {
    broken = true;
    probedMs = now;
  }

  /** True when no message reaches the machine, as far as its heartbeats show. */
  public boolean isBroken() {
    return broken;
  }

  /** True once in {@link #PROBE_INTERVAL_MS} while the link is broken: a probe is to be sent. */
  public boolean startProbeIfDue(long now) {
    if (!broken || now - probedMs < PROBE_INTERVAL_MS) {
      return false;
    }
    probedMs = now;
    return true;
  }
}
