package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a faulty peer flooding the log: the number of lines per period is limited. */
final class LogLimiterTest {
  @Test
  void linesAreLimitedPerPeriodAndSuppressedLinesAreCounted() {
    LogLimiter limiter = new LogLimiter(3, 1_000);
    int lines = 0;
    long suppressed = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs++) {
      if (limiter.tryAcquire(nowMs)) {
        lines++;
        suppressed += limiter.suppressedLines();
      }
    }
    assertEquals(30, lines);
    assertEquals(9 * 997, suppressed);
    assertTrue(limiter.tryAcquire(10_000));
    assertEquals(997, limiter.suppressedLines());
  }
}
