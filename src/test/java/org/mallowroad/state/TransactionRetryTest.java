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

/** Transactions whose answers are lost, and what their callers hear of them. */
final class TransactionRetryTest {
  private static final class Here {
    private final VirtualTimeHarness c = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process p = c.new Process();
    private final KeyValueStore state = new KeyValueStore(p, p, p);
    private final List<String> heard = new ArrayList<>();
    private int copies;

    Here() {
      // The service's usual time is known.
      for (int i = 0; i < 40; i++) {
        state.get("a/" + i, (result, item) -> {});
        c.advance(10);
      }
    }

    private void put(String key) {
      Transaction transaction = new Transaction().requireVersion(key, 0).put(key, Json.object());
      long sent = c.nowMs;
      state.compareAndSwapWithRetry(
          transaction,
          () -> copies++,
          (result, revision, failed) -> heard.add(result + " after " + (c.nowMs - sent) / 100));
    }
  }

  private static DynamicTest rule(String name, Consumer<Here> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Here()));
  }

  @TestFactory
  Stream<DynamicTest> answers() {
    return Stream.of(
        rule(
            "an answer in time needs no copy",
            h -> {
              h.put("k");
              h.c.advance(5_000);
              assertEquals(List.of("OK after 0"), h.heard);
              assertEquals(0, h.copies);
            }),
        rule(
            "a lost answer is known within a part of a second: the copy finds the key written",
            h -> {
              h.c.transactionResponsesToLose = 1;
              h.put("k");
              h.c.advance(5_000);
              assertEquals(List.of("CONDITION_FAILED after 0"), h.heard);
              assertEquals(1, h.copies);
            }),
        rule(
            "with all answers lost it is unknown, said once, after a few copies",
            h -> {
              h.c.loseTransactionResponses = true;
              h.put("k");
              h.c.advance(10_000);
              assertEquals(1, h.heard.size());
              assertTrue(h.heard.get(0).startsWith("UNKNOWN"), h.heard.toString());
              assertEquals(2, h.copies);
            }),
        rule(
            "a refusal is an answer; while calls are refused nothing is sent again",
            h -> {
              h.c.rateLimitedUntilMs = h.c.nowMs + 1_000;
              h.put("k");
              h.c.advance(500);
              assertEquals(List.of("NOT_EXECUTED after 0"), h.heard);
              h.c.rateLimitedUntilMs = 0;
              h.c.transactionResponsesToLose = 1;
              h.put("l");
              h.c.advance(300);
              assertEquals(0, h.copies);
            }),
        rule(
            "copies are bounded, however many answers are lost",
            h -> {
              h.c.loseTransactionResponses = true;
              for (int i = 0; i < 200; i++) {
                h.put("k" + i);
                h.c.advance(10);
              }
              assertTrue(h.copies <= 30, "copies: " + h.copies);
            }));
  }
}
