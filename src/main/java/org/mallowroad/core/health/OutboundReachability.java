package org.mallowroad.core.health;

/**
 * Detects that messages of this controller do not reach a machine whose heartbeats arrive.
 *
 * <p>With such a one-way link the machine looks alive, although its lease expires, its tasks die
 * with each incarnation and new tasks placed on it never start. The machine's own heartbeats reveal
 * the fault: they lack the fencing token of an earlier answer, do not list launches that an answer
 * carried, or begin a new incarnation although the heartbeats of the previous one were answered.
 * This is evidence only and frees no attempt.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class OutboundReachability {
  /**
   * Number of consecutive heartbeats that must fail to reflect the preceding answers before the
   * link counts as broken.
   */
  static final int MIN_UNACKNOWLEDGED = 3;

  /**
   * Minimum time between the first and the last of these heartbeats, in ms, since a single answer
   * may be lost by chance.
   */
  static final long MIN_UNACKNOWLEDGED_PERIOD_MS = 4_000;

  /**
   * Interval in ms at which a machine with a broken link is offered a higher fencing token. The
   * first heartbeat with that token shows that the link works again.
   */
  static final long PROBE_INTERVAL_MS = 10_000;

  private int unacknowledgedCount;
  private long unacknowledgedSinceMs;
  private long lastProbeMs;
  private boolean broken;

  /** Records a heartbeat with content that the worker can only have from this controller. */
  public void recordAcknowledged() {
    unacknowledgedCount = 0;
    broken = false;
  }

  /** Records a heartbeat that does not reflect the preceding answer. */
  public void recordUnacknowledged(long now) {
    if (unacknowledgedCount++ == 0) {
      unacknowledgedSinceMs = now;
    }
    if (unacknowledgedCount >= MIN_UNACKNOWLEDGED
        && now - unacknowledgedSinceMs >= MIN_UNACKNOWLEDGED_PERIOD_MS
        && !broken) {
      broken = true;
      lastProbeMs = now;
    }
  }

  /**
   * Records that the worker's incarnation ended although this controller had answered its
   * heartbeats within the lease, which shows that the answers did not arrive.
   */
  public void recordIncarnationLost(long now) {
    broken = true;
    lastProbeMs = now;
  }

  /** True when the heartbeats indicate that no message reaches the machine. */
  public boolean isBroken() {
    return broken;
  }

  /**
   * Returns true when the caller must send a probe now, which is once in {@link #PROBE_INTERVAL_MS}
   * while the link is broken. Starts the next interval in that case.
   */
  public boolean startProbeIfDue(long now) {
    if (!broken || now - lastProbeMs < PROBE_INTERVAL_MS) {
      return false;
    }
    lastProbeMs = now;
    return true;
  }
}
