package org.mallowroad.core.health;

/**
 * Notices that this process itself stood still: a frozen host, a long collection, a starved core.
 * Its clocks ran on, so to itself everybody else seems silent, and what waited in its sockets looks
 * new. A detector that doubts itself first (Lifeguard, 2017) concludes nothing from its own pause.
 *
 * <p>Every turn of the loop and every message is told to {@link #turn}. A gap longer than the limit
 * is a standstill. What is read until two beats later may have waited through it, so {@link #heard}
 * dates it to the beginning; and silence counts from its end at the earliest ({@link #since}).
 */
public final class PauseDetector {
  /** Beats of the loop after which what had waited in the sockets has been read. */
  private static final int SETTLE_BEATS = 2;

  private final long limitMs;
  private long lastMs;
  private long fromMs;
  private long untilMs;
  private int beats = SETTLE_BEATS;
  private long count;
  private long longestMs;

  /** A gap of more than {@code limitMs} between two turns counts; the first turn is now. */
  public PauseDetector(long limitMs, long now) {
    this.limitMs = limitMs;
    this.lastMs = now;
    this.fromMs = now;
    this.untilMs = now;
  }

  /**
   * The loop has a turn.
   *
   * @return the length in ms of a standstill that ended with it, or 0
   */
  public long turn(long now) {
    long gap = now - lastMs;
    lastMs = now;
    if (gap <= limitMs) {
      return 0;
    }
    fromMs = now - gap;
    untilMs = now;
    beats = 0;
    count++;
    longestMs = Math.max(longestMs, gap);
    return gap;
  }

  /**
   * The loop's regular beat, in addition to {@link #turn}: sockets are read between two of them.
   */
  public void beat() {
    if (beats < SETTLE_BEATS) {
      beats++;
    }
  }

  /** When a message that is read now had come at the latest that is certain. */
  public long heard(long now) {
    return settled() ? now : fromMs;
  }

  /** False while what is read may have waited through a standstill. */
  public boolean settled() {
    return beats >= SETTLE_BEATS;
  }

  /** Since when this process has been listening without a break. */
  public long since() {
    return untilMs;
  }

  /** Standstills so far. */
  public long count() {
    return count;
  }

  /** The longest one, in ms. */
  public long longestMs() {
    return longestMs;
  }
}
