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

/** When a leader may renew leases, and which notices a node still has to send. */
final class CancellationViewTest {
  private static DynamicTest view(String name, Consumer<CancellationView> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new CancellationView(10_000)));
  }

  @TestFactory
  Stream<DynamicTest> viewAge() {
    return Stream.of(
        view(
            "the view is stale before the first reading is applied",
            v -> {
              assertTrue(v.isStale(0));
              v.beginRead(100);
              assertTrue(v.isStale(101));
            }),
        view(
            "the age counts from the sending, and the view is stale above the maximum age",
            v -> {
              v.beginRead(1_000).markApplied();
              assertEquals(5_000, v.ageMs(6_000));
              assertEquals(false, v.isStale(11_000));
              assertTrue(v.isStale(11_001));
            }),
        view(
            "a reading does not count before its further reads are applied",
            v -> {
              v.beginRead(1_000).markApplied();
              CancellationView.ViewRead r = v.beginRead(5_000);
              r.awaitFollowUpRead();
              r.awaitFollowUpRead();
              r.markApplied();
              r.markApplied();
              assertTrue(v.isStale(11_001));
              r.markApplied();
              assertEquals(6_001, v.ageMs(11_001));
            }),
        view(
            "a later reading does not count before an earlier one that is not applied",
            v -> {
              v.beginRead(1_000).markApplied();
              CancellationView.ViewRead first = v.beginRead(5_000);
              v.beginRead(9_000).markApplied();
              assertTrue(v.isStale(11_001));
              first.markApplied();
              assertEquals(2_001, v.ageMs(11_001));
            }),
        view(
            "an answer to an older request does not age the view",
            v -> {
              v.beginRead(5_000).markApplied();
              v.beginRead(4_000).markApplied();
              assertEquals(0, v.ageMs(5_000));
            }),
        view(
            "pending readings are bounded, and none of them is lost",
            v -> {
              v.beginRead(0).markApplied();
              List<CancellationView.ViewRead> all =
                  Stream.iterate(1L, i -> i + 1)
                      .limit(3L * CancellationView.MAX_READINGS)
                      .map(v::beginRead)
                      .toList();
              all.subList(1, all.size()).forEach(CancellationView.ViewRead::markApplied);
              assertEquals(300, v.ageMs(300));
              all.get(0).markApplied();
              assertEquals(300 - 3L * CancellationView.MAX_READINGS, v.ageMs(300));
            }));
  }

  /** The inequality of the proof holds for random settings and clocks that drift. */
  @Test
  void leaseRenewedAtTheMaximumAgeEndsWithinTheCancellationTime() {
    SplittableRandom r = new SplittableRandom(7);
    for (int i = 0; i < 100_000; i++) {
      double lease = 1 + r.nextDouble() * 100;
      double cancel = lease + r.nextDouble() * 100;
      double age = CancellationView.maxAgeMs(lease, cancel) / 1000.0;
      double here = 1 + (r.nextDouble() - 0.5) * 0.001;
      double worker = 1 + (r.nextDouble() - 0.5) * 0.001;
      if (age > 0) {
        // True time: the age is by this node's clock, the lease by the worker's.
        double gone = age / here + lease / worker + CancellationView.MARGIN_MS / 1000.0;
        assertTrue(gone <= cancel, lease + " " + cancel + " " + gone);
        assertTrue(gone > cancel * 0.997 - 0.4, "more is given away than clocks can drift");
      }
    }
  }

  private static DynamicTest notices(String name, Consumer<PendingCancellationNotices> test) {
    return DynamicTest.dynamicTest(
        name, () -> test.accept(new PendingCancellationNotices(2, 10_000)));
  }

  @TestFactory
  Stream<DynamicTest> pendingNotices() {
    return Stream.of(
        notices(
            "each peer is sent a notice until it acknowledges, one message at a time",
            n -> {
              n.add("a", 0);
              assertEquals(List.of("a"), n.takeBatch(0, 1));
              n.add("b", 1);
              assertEquals(List.of(), n.takeBatch(0, 2));
              n.completeBatch(0, List.of("a"), false);
              assertEquals(List.of("a", "b"), n.takeBatch(0, 3));
              n.completeBatch(0, List.of("a", "b"), true);
              assertEquals(List.of(), n.takeBatch(0, 4));
              assertEquals(List.of("a", "b"), n.takeBatch(1, 4));
            }),
        notices(
            "a notice may be for one peer only",
            n -> {
              n.add(1, "a", 0);
              assertEquals(List.of(), n.takeBatch(0, 1));
              assertEquals(List.of("a"), n.takeBatch(1, 1));
            }),
        notices(
            "notices expire",
            n -> {
              n.add("a", 0);
              n.add("b", 5_000);
              n.add("a", 9_000);
              assertEquals(List.of("b"), n.takeBatch(0, 10_001));
            }),
        notices(
            "the notices of a peer and of a message are bounded",
            n -> {
              for (int i = 0; i < PendingCancellationNotices.MAX_PENDING + 10; i++) {
                n.add("j" + i, 0);
              }
              assertEquals(PendingCancellationNotices.MAX_PENDING, n.pendingCount(0));
              List<String> first = n.takeBatch(0, 1);
              assertEquals(PendingCancellationNotices.MAX_BATCH, first.size());
              assertEquals("j10", first.get(0));
            }));
  }
}
