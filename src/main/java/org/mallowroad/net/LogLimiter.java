package org.mallowroad.net;

/**
 * Bounds what a broken party can make us log: a few lines in each stretch of time, then one that
 * says how many were left out. Not thread-safe: for the one loop.
 */
public final class LogLimiter {
  private final int most;
  private final long everyMs;
  private long fromMs = Long.MIN_VALUE / 2;
  private int lines;
  private long left;

  /** At most {@code most} lines in {@code everyMs}. */
  public LogLimiter(int most, long everyMs) {
    this.most = most;
    this.everyMs = everyMs;
  }

  /** The usual bound: five lines in ten seconds. */
  public static LogLimiter usual() {
    return new LogLimiter(5, 10_000);
  }

  /**
   * Asks for a line.
   *
   * @return how many were left out since the last one, or -1 when this one is left out as well
   */
  public long line(long now) {
    if (now - fromMs >= everyMs) {
      fromMs = now;
      lines = 0;
    }
    if (lines >= most) {
      left++;
      return -1;
    }
    lines++;
    long out = left;
    left = 0;
    return out;
  }
}
