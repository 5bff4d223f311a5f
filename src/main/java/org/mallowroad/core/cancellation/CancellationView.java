package org.mallowroad.core.cancellation;

import java.util.ArrayDeque;

/**
 * Age of a leader's view of the cancellations, and by it whether the leader may still renew a
 * worker's lease.
 *
 * <p>Any controller may confirm a cancellation, so a leader learns of most of them by reading the
 * state service. A reading is a list of the open jobs, or an event of a watch that follows one. It
 * contains all that was committed before its request was <i>sent</i>, however long the answer took.
 * It counts once it is applied in full: the answer itself, and all that the leader had to read
 * because of it. Other calls do not count, however recent: the renewal of the leader's lease shows
 * that the state service works, not that the leader has seen any cancellation.
 *
 * <p><b>Proof.</b> Let a cancellation be committed at {@code k}, and {@code c >= k} its
 * confirmation. A leader whose view is of {@code v >= k} puts the stop into each answer. One whose
 * view is of {@code v < k} answers a heartbeat at {@code d} only while {@code d - v <= maxAge}. The
 * heartbeat was sent at {@code s <= d}, so its worker's lease ends at {@code s + lease * drift <= v
 * + maxAge + lease * drift < k + maxAge + lease * drift <= c + cancel}: {@link #maxAgeMs} is what
 * is left of {@code cancel}. Neither a slow answer nor a leader that pauses after its check adds to
 * the sum, since a lease counts from the sending of the heartbeat. docs/cancellation.md describes
 * the rest of the protocol.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class CancellationView {
  /**
   * Margin for timers that fire late, here and at the worker. A worker that kills its tasks later
   * than that violates its own protocol.
   */
  public static final long MARGIN_MS = 1_500;

  /** Two monotonic clocks drift apart by up to 0.05%, each of them in either direction. */
  private static final double MAX_DRIFT = 1.001;

  /** Most readings that are tracked; further ones are merged into the newest. */
  static final int MAX_READINGS = 64;

  private final long maxAgeMs;

  /** Readings that are not applied in full yet, oldest first. */
  private final ArrayDeque<ViewRead> readings = new ArrayDeque<>();

  private boolean hasView;

  /** Sending time of the newest reading that counts. */
  private long viewMs;

  /** A reading whose answer has come, until it is applied in full. */
  public final class ViewRead {
    private long sentMs;
    private int outstanding = 1;

    private ViewRead(long sentMs) {
      this.sentMs = sentMs;
    }

    /** Something more has to be read and applied before this reading counts. */
    public void awaitFollowUpRead() {
      outstanding++;
    }

    /** The answer itself, or one of the further reads, is applied. */
    public void markApplied() {
      outstanding--;
      advance();
    }
  }

  /** Creates a view that may be at most that old when a worker's lease is renewed. */
  public CancellationView(long maxAgeMs) {
    this.maxAgeMs = maxAgeMs;
  }

  /**
   * Greatest age of the view at which a worker's lease may be renewed, in ms; see the proof above.
   * Not positive when {@code cancelS} is too short to be kept at all. There is no lower bound,
   * since one would break the inequality.
   *
   * @param leaseS length of a worker's lease, in seconds
   * @param cancelS time within which the tasks of a cancelled job must have stopped, in seconds
   */
  public static long maxAgeMs(double leaseS, double cancelS) {
    return (long) ((cancelS / MAX_DRIFT - leaseS * MAX_DRIFT) * 1000) - MARGIN_MS;
  }

  /**
   * Begins to apply an answer. Answers are passed in their order.
   *
   * @param sentMs when the request was sent
   */
  public ViewRead beginRead(long sentMs) {
    if (readings.size() >= MAX_READINGS) {
      ViewRead newest = readings.peekLast();
      newest.sentMs = Math.max(newest.sentMs, sentMs);
      newest.outstanding++;
      return newest;
    }
    ViewRead reading = new ViewRead(sentMs);
    readings.add(reading);
    return reading;
  }

  /** Counts applied readings in order: a later one does not repeat what an earlier one showed. */
  private void advance() {
    while (!readings.isEmpty() && readings.peek().outstanding <= 0) {
      ViewRead reading = readings.poll();
      viewMs = hasView ? Math.max(viewMs, reading.sentMs) : reading.sentMs;
      hasView = true;
    }
  }

  /** Age of the view, in ms; {@link Long#MAX_VALUE} before the first reading counts. */
  public long ageMs(long now) {
    return hasView ? now - viewMs : Long.MAX_VALUE;
  }

  /** True when no worker's lease may be renewed, since that could keep cancelled tasks running. */
  public boolean isStale(long now) {
    return ageMs(now) > maxAgeMs;
  }
}
