package org.mallowroad.core.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * When a leader's view of cancellations is too old to renew leases, and which cancellation notices
 * a node still has to send to its peers.
 */
final class CancellationViewTest {
  private static DynamicTest viewCase(String name, Consumer<CancellationView> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new CancellationView(10_000)));
  }

  @TestFactory
  Stream<DynamicTest> viewAge() {
    return Stream.of(
        viewCase(
            "the view is stale before the first read is applied",
            view -> {
              assertTrue(view.isStale(0));
              view.beginRead(100);
              assertTrue(view.isStale(101));
            }),
        viewCase(
            "the age counts from the sending of the request, and a view above the maximum age is stale",
            view -> {
              view.beginRead(1_000).markApplied();
              assertEquals(5_000, view.ageMs(6_000));
              assertEquals(false, view.isStale(11_000));
              assertTrue(view.isStale(11_001));
            }),
        viewCase(
            "a read does not count before its follow-up reads are applied",
            view -> {
              view.beginRead(1_000).markApplied();
              CancellationView.ViewRead read = view.beginRead(5_000);
              read.awaitFollowUpRead();
              read.awaitFollowUpRead();
              read.markApplied();
              read.markApplied();
              assertTrue(view.isStale(11_001));
              read.markApplied();
              assertEquals(6_001, view.ageMs(11_001));
            }),
        viewCase(
            "a read does not count before all earlier ones are applied",
            view -> {
              view.beginRead(1_000).markApplied();
              CancellationView.ViewRead firstRead = view.beginRead(5_000);
              view.beginRead(9_000).markApplied();
              assertTrue(view.isStale(11_001));
              firstRead.markApplied();
              assertEquals(2_001, view.ageMs(11_001));
            }),
        viewCase(
            "a late response to an older request does not make the view older",
            view -> {
              view.beginRead(5_000).markApplied();
              view.beginRead(4_000).markApplied();
              assertEquals(0, view.ageMs(5_000));
            }),
        viewCase(
            "pending reads beyond the maximum are merged, and count only once all of them are applied",
            view -> {
              view.beginRead(0).markApplied();
              List<CancellationView.ViewRead> reads =
                  Stream.iterate(1L, i -> i + 1)
                      .limit(3L * CancellationView.MAX_PENDING_READS)
                      .map(view::beginRead)
                      .toList();
              reads.subList(1, reads.size()).forEach(CancellationView.ViewRead::markApplied);
              assertEquals(300, view.ageMs(300));
              reads.get(0).markApplied();
              assertEquals(300 - 3L * CancellationView.MAX_PENDING_READS, view.ageMs(300));
            }));
  }

  /**
   * The inequality of the proof in {@link CancellationView} holds for random settings and drifting
   * clocks, and the maximum age is not much shorter than needed.
   */
  @Test
  void leaseRenewedAtMaximumViewAgeEndsWithinCancellationTime() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 100_000; i++) {
      double leaseS = 1 + random.nextDouble() * 100;
      double cancelS = leaseS + random.nextDouble() * 100;
      double maxAgeS = CancellationView.maxAgeMs(leaseS, cancelS) / 1000.0;
      double leaderClockRate = 1 + (random.nextDouble() - 0.5) * 0.001;
      double workerClockRate = 1 + (random.nextDouble() - 0.5) * 0.001;
      if (maxAgeS > 0) {
        // In true time; the leader's clock measures the age of the view, the worker's its lease.
        double latestStopS =
            maxAgeS / leaderClockRate
                + leaseS / workerClockRate
                + CancellationView.TIMER_MARGIN_MS / 1000.0;
        assertTrue(latestStopS <= cancelS, leaseS + " " + cancelS + " " + latestStopS);
        assertTrue(
            latestStopS > cancelS * 0.997 - 0.4,
            "maximum age is shorter than clock drift and timer margin require");
      }
    }
  }

  private static DynamicTest noticesCase(String name, Consumer<PendingCancellationNotices> test) {
    return DynamicTest.dynamicTest(
        name, () -> test.accept(new PendingCancellationNotices(2, 10_000)));
  }

  @TestFactory
  Stream<DynamicTest> pendingNotices() {
    return Stream.of(
        noticesCase(
            "a notice is sent to each peer until acknowledged, one message at a time",
            notices -> {
              notices.add("a", 0);
              assertEquals(List.of("a"), notices.takeBatch(0, 1));
              notices.add("b", 1);
              assertEquals(List.of(), notices.takeBatch(0, 2));
              notices.completeBatch(0, List.of("a"), false);
              assertEquals(List.of("a", "b"), notices.takeBatch(0, 3));
              notices.completeBatch(0, List.of("a", "b"), true);
              assertEquals(List.of(), notices.takeBatch(0, 4));
              assertEquals(List.of("a", "b"), notices.takeBatch(1, 4));
            }),
        noticesCase(
            "a notice for one peer is not sent to the others",
            notices -> {
              notices.add(1, "a", 0);
              assertEquals(List.of(), notices.takeBatch(0, 1));
              assertEquals(List.of("a"), notices.takeBatch(1, 1));
            }),
        noticesCase(
            "notices that are not acknowledged within the expiry time are dropped",
            notices -> {
              notices.add("a", 0);
              notices.add("b", 5_000);
              notices.add("a", 9_000);
              assertEquals(List.of("b"), notices.takeBatch(0, 10_001));
            }),
        noticesCase(
            "the numbers of notices per peer and per message are bounded",
            notices -> {
              for (int i = 0; i < PendingCancellationNotices.MAX_PENDING + 10; i++) {
                notices.add("j" + i, 0);
              }
              assertEquals(PendingCancellationNotices.MAX_PENDING, notices.pendingCount(0));
              List<String> firstBatch = notices.takeBatch(0, 1);
              assertEquals(PendingCancellationNotices.MAX_BATCH, firstBatch.size());
              assertEquals("j10", firstBatch.get(0));
            }));
  }
}
