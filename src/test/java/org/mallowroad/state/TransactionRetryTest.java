package org.mallowroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.wire.Json;

/**
 * Tests the outcomes reported for transactions whose responses are lost, and the number of retries.
 */
final class TransactionRetryTest {
  private static final class RetryFixture {
    private final VirtualTimeHarness clock = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process process = clock.new Process();
    private final KeyValueStore store = new KeyValueStore(process, process, process);
    private final List<String> outcomes = new ArrayList<>();
    private int retries;

    RetryFixture() {
      // Train the latency estimate with the service's usual response time.
      for (int i = 0; i < 40; i++) {
        store.get("a/" + i, (result, item) -> {});
        clock.advance(10);
      }
    }

    private void sendPut(String key) {
      Transaction transaction = new Transaction().requireVersion(key, 0).put(key, Json.object());
      long sentMs = clock.nowMs;
      store.compareAndSwapWithRetry(
          transaction,
          () -> retries++,
          (result, revision, failed) ->
              outcomes.add(result + " after " + (clock.nowMs - sentMs) / 100));
    }
  }

  private static DynamicTest scenario(String name, Consumer<RetryFixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new RetryFixture()));
  }

  @TestFactory
  Stream<DynamicTest> transactionOutcomes() {
    return Stream.of(
        scenario(
            "a response in time causes no retry",
            fixture -> {
              fixture.sendPut("k");
              fixture.clock.advance(5_000);
              assertEquals(List.of("OK after 0"), fixture.outcomes);
              assertEquals(0, fixture.retries);
            }),
        scenario(
            "after a lost response, a retry fails on its condition and reports it within 100 ms",
            fixture -> {
              fixture.clock.transactionResponsesToLose = 1;
              fixture.sendPut("k");
              fixture.clock.advance(5_000);
              assertEquals(List.of("CONDITION_FAILED after 0"), fixture.outcomes);
              assertEquals(1, fixture.retries);
            }),
        scenario(
            "if all responses are lost, the outcome is UNKNOWN, reported once, after two retries",
            fixture -> {
              fixture.clock.loseTransactionResponses = true;
              fixture.sendPut("k");
              fixture.clock.advance(10_000);
              assertEquals(1, fixture.outcomes.size());
              assertTrue(
                  fixture.outcomes.get(0).startsWith("UNKNOWN"), fixture.outcomes.toString());
              assertEquals(2, fixture.retries);
            }),
        scenario(
            "a throttled call counts as answered, and nothing is retried while calls are throttled",
            fixture -> {
              fixture.clock.rateLimitedUntilMs = fixture.clock.nowMs + 1_000;
              fixture.sendPut("k");
              fixture.clock.advance(500);
              assertEquals(List.of("NOT_EXECUTED after 0"), fixture.outcomes);
              fixture.clock.rateLimitedUntilMs = 0;
              fixture.clock.transactionResponsesToLose = 1;
              fixture.sendPut("l");
              fixture.clock.advance(300);
              assertEquals(0, fixture.retries);
            }),
        scenario(
            "the number of retries is bounded, however many responses are lost",
            fixture -> {
              fixture.clock.loseTransactionResponses = true;
              for (int i = 0; i < 200; i++) {
                fixture.sendPut("k" + i);
                fixture.clock.advance(10);
              }
              assertTrue(fixture.retries <= 30, "retries: " + fixture.retries);
            }));
  }
}
