package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against waits for a token bucket that never end. */
final class RateLimiterTest {
  static Stream<Arguments> requests() {
    return Stream.of(
        arguments(10.0, 10.0, 4.0, 4.0, 0L),
        arguments(10.0, 10.0, 10.0, 5.0, 500L),
        // A request for more permits than the bucket holds once blocked a leader's commits forever.
        arguments(10.0, 10.0, 10.0, 24.0, 1000L),
        arguments(10.0, 10.0, 0.0, 24.0, 0L));
  }

  @ParameterizedTest
  @MethodSource("requests")
  void waitIsFiniteEvenForMoreThanTheBucketHolds(
      double permitsPerSecond,
      double burst,
      double acquired,
      double requested,
      long expectedWaitMs) {
    RateLimiter limiter = new RateLimiter(permitsPerSecond, burst, 0);
    limiter.forceAcquire(acquired, 0);
    assertEquals(expectedWaitMs, limiter.millisUntilAvailable(requested, 0));
  }
}
