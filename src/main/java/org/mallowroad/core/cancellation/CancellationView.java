package org.mallowroad.core.cancellation;

import java.util.ArrayDeque;

/**
 * Up to when a leader knows of every cancellation, and whether it may still renew a worker's lease.
 *
 * <p>Any controller may confirm a cancellation, so a leader learns of most of them by reading. A
 * reading (a list of open jobs, or a watch that follows one) holds all that was committed before it
 * was <i>sent</i>, however long its answer took. It counts once it is applied in full: the answer
 * is in the ledger, and whatever it made the leader read besides is as well. Calls of another kind
 * say nothing, however fresh: a renewal that gets through shows that the service is there, not that
 * anything was heard of it.
 *
 * <p><b>Proof.</b> Let a cancellation be committed at {@code k}, and {@code c >= k} its
 * confirmation. A leader whose view is at {@code v >= k} puts the stop into each answer. One whose
 * view is at {@code v < k} answers a report at {@code d} only while {@code d - v <= mostAge}. The
 * report was sent at {@code s <= d}, so its worker's lease ends at {@code s + lease * drift <= v +
 * mostAge + lease * drift < k + mostAge + lease * drift <= c + cancel}: {@link #mostAgeMs} is what
 * is left of {@code cancel}. Neither an answer that takes long nor a leader that stands still
 * behind its check adds to it, since a lease counts from when the report was sent.
 *
 * <p>Not thread-safe; no clock of its own.
 */
public final class CancellationView {
  /**
   * What the sum leaves for timers, here and at the worker, that fire late; a worker that is late
   * to kill its tasks by more breaks its own protocol.
   */
  public static final long MARGIN_MS = 1_500;

  /** Two steady clocks drift apart by up to 0.05%; each counts once towards the other. */
  private static final double DRIFT = 1.001;

  /** Readings that wait for what they made the leader read; more count as one with the newest. */
  static final int MOST_READINGS = 64;

  private final long mostAgeMs;
  private final ArrayDeque<Reading> readings = new ArrayDeque<>();
  private boolean read;
  private long freshMs;

  /** What an answer showed, until all of it is applied. */
  public final class Reading {
    private long sentMs;
    private int left = 1;

    private Reading(long sentMs) {
      this.sentMs = sentMs;
    }

    /** Something more has to be read before this is applied. */
    public void waitsForOneMore() {
      left++;
    }

    /** The answer itself, or one of the things that it waited for, is applied. */
    public void applied() {
      left--;
      settle();
    }
  }

  /** For a view that may be so old at the most. */
  public CancellationView(long mostAgeMs) {
    this.mostAgeMs = mostAgeMs;
  }

  /**
   * How old the view may be when a worker's lease is renewed, in milliseconds; not positive where
   * {@code cancelS} is too short to be kept at all. There is no least: a floor would break the sum.
   */
  public static long mostAgeMs(double leaseS, double cancelS) {
    return (long) ((cancelS / DRIFT - leaseS * DRIFT) * 1000) - MARGIN_MS;
  }

  /** An answer is about to be applied to a request that was sent then; the newest comes last. */
  public Reading answered(long sentMs) {
    if (readings.size() >= MOST_READINGS) {
      Reading last = readings.peekLast();
      last.sentMs = Math.max(last.sentMs, sentMs);
      last.left++;
      return last;
    }
    Reading r = new Reading(sentMs);
    readings.add(r);
    return r;
  }

  /** A later reading does not count before the ones before it: it does not repeat what they had. */
  private void settle() {
    while (!readings.isEmpty() && readings.peek().left <= 0) {
      Reading r = readings.poll();
      freshMs = read ? Math.max(freshMs, r.sentMs) : r.sentMs;
      read = true;
    }
  }

  /** The age of the view, or {@link Long#MAX_VALUE} before the first reading is applied. */
  public long ageMs(long now) {
    return read ? now - freshMs : Long.MAX_VALUE;
  }

  /** True when this leader must not renew a worker's lease: it could keep cancelled tasks alive. */
  public boolean stale(long now) {
    return ageMs(now) > mostAgeMs;
  }
}
