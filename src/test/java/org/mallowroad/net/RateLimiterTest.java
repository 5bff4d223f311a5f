package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Waiting for a token bucket always ends. */
final class RateLimiterTest {
  static Stream<Arguments> waits() {
    return Stream.of(
        arguments(10.0, 10.0, 4.0, 4.0, 0L),
        arguments(10.0, 10.0, 10.0, 5.0, 500L),
        // A request larger than the bucket once stopped a leader's commits for good.
        arguments(10.0, 10.0, 10.0, 24.0, 1000L),
        arguments(10.0, 10.0, 0.0, 24.0, 0L));
  }

  @ParameterizedTest
  @MethodSource("waits")
  void waits(double perSecond, double burst, double taken, double wanted, long waitMs) {
    RateLimiter b = new RateLimiter(perSecond, burst, 0);
    b.forceAcquire(taken, 0);
    assertEquals(waitMs, b.millisUntilAvailable(wanted, 0));
  }
}
