package org.mallowroad.net;

/**
 * Bounds how many log lines a faulty peer can cause: a few in each period, and the first line of a
 * later period tells how many were suppressed. Confined to the event loop.
 */
public final class LogLimiter {
  private static final int USUAL_LINES = 5;
  private static final long USUAL_PERIOD_MS = 10_000;

  private final int maxLines;
  private final long periodMs;
  private long periodStartMs = Long.MIN_VALUE / 2;
  private int lines;
  private long refusedSinceLastLine;
  private long suppressed;

  /** Allows at most {@code maxLines} lines in {@code periodMs} milliseconds. */
  public LogLimiter(int maxLines, long periodMs) {
    this.maxLines = maxLines;
    this.periodMs = periodMs;
  }

  /** The usual bound: five lines in ten seconds. */
  public static LogLimiter withDefaultLimits() {
    return new LogLimiter(USUAL_LINES, USUAL_PERIOD_MS);
  }

  /** Whether a line may be written now; a refused one is counted ({@link #suppressed}). */
  public boolean tryAcquire(long now) {
    if (now - periodStartMs >= periodMs) {
      periodStartMs = now;
      lines = 0;
    }
    if (lines >= maxLines) {
      refusedSinceLastLine++;
      return false;
    }
    lines++;
    suppressed = refusedSinceLastLine;
    refusedSinceLastLine = 0;
    return true;
  }

  /** How many lines were refused between the last two that were allowed. */
  public long suppressed() {
    return suppressed;
  }
}
