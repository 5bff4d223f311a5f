package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A broken party causes a bounded number of lines, whatever it sends. */
final class LogLimiterTest {
  @Test
  void linesAreBoundedInEachStretchAndTheRestIsCounted() {
    LogLimiter s = new LogLimiter(3, 1_000);
    int lines = 0;
    long left = 0;
    for (long now = 0; now < 10_000; now++) {
      long n = s.line(now);
      if (n >= 0) {
        lines++;
        left += n;
      }
    }
    assertEquals(30, lines);
    assertEquals(9 * 997, left);
    assertEquals(997, s.line(10_000));
  }
}
