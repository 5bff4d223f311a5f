package org.mallowroad.core.cancellation;

import java.util.ArrayDeque;

/**
 * Tracks the age of a leader's view of cancellations, which decides whether the leader may still
 * renew a worker's lease.
 *
 * <p>Any controller may confirm a cancellation to a user, so a leader learns of most cancellations
 * by reading the state service. A read is either a list of the open jobs, or an event of the watch
 * that follows a list. It contains everything that was committed before its request was
 * <i>sent</i>, however long the response took. A read counts once it is fully applied: the response
 * itself and all follow-up reads that it caused. Other calls do not count, however recent they are.
 * For example, a renewal of the leader's own lease shows that the state service works, but not that
 * the leader has seen any cancellation.
 *
 * <p><b>Proof</b> that a cancelled task stops within {@code cancel} of the confirmation. Let a
 * cancellation be committed at {@code k} and confirmed at {@code c >= k}. A leader whose view is as
 * of {@code v >= k} includes the stop command in each heartbeat response. A leader whose view is as
 * of {@code v < k} responds to a heartbeat at {@code d} only if {@code d - v <= maxAge}. The worker
 * sent that heartbeat at {@code s <= d}, so its lease ends at {@code s + lease * drift <= v +
 * maxAge + lease * drift < k + maxAge + lease * drift <= c + cancel}. The last step holds because
 * {@link #maxAgeMs} is what remains of {@code cancel} after {@code lease * drift}. A slow response,
 * or a leader that pauses after its check, adds nothing to the sum, since a lease runs from the
 * time at which the heartbeat was sent. docs/cancellation.md describes the rest of the protocol.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class CancellationView {
  /**
   * Margin for timers that fire late, in the leader and in the worker. A worker that stops its
   * tasks later than this after the end of its lease violates the protocol.
   */
  public static final long TIMER_MARGIN_MS = 1_500;

  /** Bound of the rate ratio of two monotonic clocks, each of which may drift by 0.05%. */
  private static final double MAX_CLOCK_RATE_RATIO = 1.001;

  /** Most reads that are tracked at a time; further ones are merged into the newest. */
  static final int MAX_PENDING_READS = 64;

  private final long maxAgeMs;

  /** Reads that are not fully applied, or that follow one that is not; the oldest first. */
  private final ArrayDeque<ViewRead> pendingReads = new ArrayDeque<>();

  private boolean hasView;

  /** When the request of the newest fully applied read was sent. */
  private long viewMs;

  /** A read whose response has arrived and is being applied. */
  public final class ViewRead {
    private long sentMs;
    private int unappliedParts = 1;

    private ViewRead(long sentMs) {
      this.sentMs = sentMs;
    }

    /** Adds a follow-up read that must be applied before this read counts. */
    public void awaitFollowUpRead() {
      unappliedParts++;
    }

    /** Records that the response itself, or one of the follow-up reads, was applied. */
    public void markApplied() {
      unappliedParts--;
      advanceView();
    }
  }

  /**
   * Creates a view without any read.
   *
   * @param maxAgeMs greatest age of the view at which a worker's lease may be renewed
   */
  public CancellationView(long maxAgeMs) {
    this.maxAgeMs = maxAgeMs;
  }

  /**
   * Greatest age of the view at which a worker's lease may be renewed, in milliseconds; see the
   * proof above. The result is not positive when {@code cancelS} is too short to be guaranteed. It
   * is not raised to a minimum, since that would break the inequality of the proof.
   *
   * @param leaseS length of a worker's lease, in seconds
   * @param cancelS time within which the tasks of a cancelled job must have stopped, in seconds
   */
  public static long maxAgeMs(double leaseS, double cancelS) {
    return (long) ((cancelS / MAX_CLOCK_RATE_RATIO - leaseS * MAX_CLOCK_RATE_RATIO) * 1000)
        - TIMER_MARGIN_MS;
  }

  /**
   * Begins to apply the response of a read; called in the order of the responses.
   *
   * @param sentMs when the request was sent
   */
  public ViewRead beginRead(long sentMs) {
    if (pendingReads.size() >= MAX_PENDING_READS) {
      ViewRead newest = pendingReads.peekLast();
      newest.sentMs = Math.max(newest.sentMs, sentMs);
      newest.unappliedParts++;
      return newest;
    }
    ViewRead read = new ViewRead(sentMs);
    pendingReads.add(read);
    return read;
  }

  /**
   * Counts fully applied reads, in order. A read does not count before all earlier ones do, since
   * it does not contain the changes that those showed.
   */
  private void advanceView() {
    while (!pendingReads.isEmpty() && pendingReads.peek().unappliedParts <= 0) {
      ViewRead read = pendingReads.poll();
      viewMs = hasView ? Math.max(viewMs, read.sentMs) : read.sentMs;
      hasView = true;
    }
  }

  /** Age of the view in milliseconds; {@link Long#MAX_VALUE} before the first read counts. */
  public long ageMs(long now) {
    return hasView ? now - viewMs : Long.MAX_VALUE;
  }

  /**
   * True when the view is too old to renew workers' leases: a renewal could keep tasks of a
   * cancelled job running for too long.
   */
  public boolean isStale(long now) {
    return ageMs(now) > maxAgeMs;
  }
}
