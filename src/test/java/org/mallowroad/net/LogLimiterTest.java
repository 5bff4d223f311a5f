package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A broken party causes a bounded number of lines, whatever it sends. */
final class LogLimiterTest {
  @Test
  void linesAreBoundedInEachStretchAndTheRestIsCounted() {
    LogLimiter s = new LogLimiter(3, 1_000);
    int lines = 0;
    long left = 0;
    for (long now = 0; now < 10_000; now++) {
      if (s.tryAcquire(now)) {
        lines++;
        left += s.suppressed();
      }
    }
    assertEquals(30, lines);
    assertEquals(9 * 997, left);
    assertTrue(s.tryAcquire(10_000));
    assertEquals(997, s.suppressed());
  }
}
