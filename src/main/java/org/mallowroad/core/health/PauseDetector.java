package org.mallowroad.core.health;

/**
 * Detects pauses of this process, caused for example by a frozen host, a long garbage collection or
 * a lack of CPU time.
 *
 * <p>The clock continues during a pause, so all other machines seem silent afterwards, and messages
 * that waited in the sockets look new. A failure detector that checks its own health first (as in
 * Lifeguard, 2017) draws no conclusion from its own pause.
 *
 * <p>Every tick of the event loop and, before it is handled, every message is passed to {@link
 * #recordActivity} (see {@code net.ObservedEnvironment}). A gap that is longer than the limit is a
 * pause. Messages that are read within two ticks after the pause may have been waiting since before
 * it, so {@link #assumedArrivalMs} dates them to the beginning of the pause. The silence of other
 * machines counts from the end of the pause at the earliest ({@link #listeningSinceMs}).
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class PauseDetector {
  /**
   * Number of ticks of the event loop after which the messages that waited in the sockets have been
   * read.
   */
  private static final int TICKS_TO_SETTLE = 2;

  private final long limitMs;
  private long lastActivityMs;
  private long pauseBeganMs;
  private long pauseEndedMs;
  private int ticksSincePause = TICKS_TO_SETTLE;
  private long pauseCount;
  private long longestPauseMs;

  /**
   * Creates a detector, with {@code now} as its first activity.
   *
   * @param limitMs longest gap between two activities, in ms, that does not count as a pause
   */
  public PauseDetector(long limitMs, long now) {
    this.limitMs = limitMs;
    this.lastActivityMs = now;
    this.pauseBeganMs = now;
    this.pauseEndedMs = now;
  }

  /**
   * Records an iteration of the event loop or the reading of a message.
   *
   * @return the length in ms of a pause that this activity ends, or 0
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
   * Records a regular tick of the event loop, in addition to {@link #recordActivity}. The sockets
   * are read between two ticks.
   */
  public void recordTick() {
    if (ticksSincePause < TICKS_TO_SETTLE) {
      ticksSincePause++;
    }
  }

  /**
   * The time to assume for the arrival of a message that is read now: {@code now}, or the beginning
   * of the last pause while the message may have waited through it.
   */
  public long assumedArrivalMs(long now) {
    return isSettled() ? now : pauseBeganMs;
  }

  /** False while messages that are read now may have waited through a pause. */
  public boolean isSettled() {
    return ticksSincePause >= TICKS_TO_SETTLE;
  }

  /** The end of the last pause, since when this process has been listening without interruption. */
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
