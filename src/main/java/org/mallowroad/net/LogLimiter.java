package org.mallowroad.net;

/**
 * Limits the log lines that a faulty peer can cause in each period. The first line of a later
 * period can report how many lines were suppressed. Confined to the event loop.
 */
public final class LogLimiter {
  private static final int DEFAULT_MAX_LINES = 5;
  private static final long DEFAULT_PERIOD_MS = 10_000;

  private final int maxLines;
  private final long periodMs;
  private long periodStartMs = Long.MIN_VALUE / 2;
  private int linesInPeriod;
  private long suppressedSinceLastLine;
  private long suppressedLines;

  /** Allows at most {@code maxLines} lines in {@code periodMs} milliseconds. */
  public LogLimiter(int maxLines, long periodMs) {
    this.maxLines = maxLines;
    this.periodMs = periodMs;
  }

  /** Creates a limiter with the default limit of five lines in ten seconds. */
  public static LogLimiter withDefaultLimits() {
    return new LogLimiter(DEFAULT_MAX_LINES, DEFAULT_PERIOD_MS);
  }

  /** Whether a line may be logged now; a suppressed line is counted ({@link #suppressedLines}). */
  public boolean tryAcquire(long nowMs) {
    if (nowMs - periodStartMs >= periodMs) {
      periodStartMs = nowMs;
      linesInPeriod = 0;
    }
    if (linesInPeriod >= maxLines) {
      suppressedSinceLastLine++;
      return false;
    }
    linesInPeriod++;
    suppressedLines = suppressedSinceLastLine;
    suppressedSinceLastLine = 0;
    return true;
  }

  /** The number of lines that were suppressed between the last two lines that were allowed. */
  public long suppressedLines() {
    return suppressedLines;
  }
}
