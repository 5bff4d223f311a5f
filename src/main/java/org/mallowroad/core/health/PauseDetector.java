package org.mallowroad.core.health;

/**
 * Detects pauses of this process: a frozen host, a long garbage collection, a starved core.
 *
 * <p>The clock runs on during a pause, so all other machines seem silent afterwards, and messages
 * that waited in the sockets look new. A failure detector that checks its own health first (as in
 * Lifeguard, 2017) draws no conclusion from its own pause.
 *
 * <p>Every turn of the event loop and every message is passed to {@link #recordActivity}. A gap
 * that is longer than the limit is a pause. Messages that are read within two ticks after it may
 * have waited through it, so {@link #latestArrivalMs} dates them to its beginning; and silence of
 * others counts from its end at the earliest ({@link #listeningSinceMs}).
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class PauseDetector {
  /** Ticks of the event loop after which the messages that waited in the sockets are read. */
  private static final int TICKS_TO_SETTLE = 2;

  private final long limitMs;
  private long lastActivityMs;
  private long pauseBeganMs;
  private long pauseEndedMs;
  private int ticksSincePause = TICKS_TO_SETTLE;
  private long pauseCount;
  private long longestPauseMs;

  /**
   * Creates a detector whose first activity is now.
   *
   * @param limitMs longest gap between two activities, in ms, that is not a pause
   */
  public PauseDetector(long limitMs, long now) {
    this.limitMs = limitMs;
    this.lastActivityMs = now;
    this.pauseBeganMs = now;
    this.pauseEndedMs = now;
  }

  /**
   * Records a turn of the event loop or a message.
   *
   * @return the length in ms of a pause that ended just now, or 0
   */
  public long recordActivity(long now) {
    long gapMs = now - lastActivityMs;
    lastActivityMs = now;
    if (gapMs <= limitMs) {
      return 0;
    }
    pauseBeganMs = now - gapMs;
    pauseEndedMs = now;
    ticksSincePause = 0;
    pauseCount++;
    longestPauseMs = Math.max(longestPauseMs, gapMs);
    return gapMs;
  }

  /**
   * Records a regular tick of the event loop, in addition to {@link #recordActivity}: the sockets
   * are read between two ticks.
   */
  public void recordTick() {
    if (ticksSincePause < TICKS_TO_SETTLE) {
      ticksSincePause++;
    }
  }

  /** The time by which a message that is read now had certainly arrived. */
  public long latestArrivalMs(long now) {
    return isSettled() ? now : pauseBeganMs;
  }

  /** False while messages that are read may have waited through a pause. */
  public boolean isSettled() {
    return ticksSincePause >= TICKS_TO_SETTLE;
  }

  /** Since when this process has been listening without a pause. */
  public long listeningSinceMs() {
    return pauseEndedMs;
  }

  /** Number of pauses so far. */
  public long pauseCount() {
    return pauseCount;
  }

  /** Length of the longest pause so far, in ms. */
  public long longestPauseMs() {
    return longestPauseMs;
  }
}
