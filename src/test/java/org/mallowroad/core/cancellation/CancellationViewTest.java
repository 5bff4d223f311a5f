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

/** When a leader may renew leases, and whom a node still has to tell. */
final class CancellationViewTest {
  private static DynamicTest view(String name, Consumer<CancellationView> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new CancellationView(10_000)));
  }

  @TestFactory
  Stream<DynamicTest> ages() {
    return Stream.of(
        view(
            "before the first reading it is stale at any time",
            v -> {
              assertTrue(v.stale(0));
              v.answered(100);
              assertTrue(v.stale(101));
            }),
        view(
            "it counts from the sending, and the last moment is a moment more than it may be old",
            v -> {
              v.answered(1_000).applied();
              assertEquals(5_000, v.ageMs(6_000));
              assertEquals(false, v.stale(11_000));
              assertTrue(v.stale(11_001));
            }),
        view(
            "a reading does not count before what it made the leader read",
            v -> {
              v.answered(1_000).applied();
              CancellationView.Reading r = v.answered(5_000);
              r.waitsForOneMore();
              r.waitsForOneMore();
              r.applied();
              r.applied();
              assertTrue(v.stale(11_001));
              r.applied();
              assertEquals(6_001, v.ageMs(11_001));
            }),
        view(
            "a later reading does not count before an earlier one that is not applied",
            v -> {
              v.answered(1_000).applied();
              CancellationView.Reading first = v.answered(5_000);
              v.answered(9_000).applied();
              assertTrue(v.stale(11_001));
              first.applied();
              assertEquals(2_001, v.ageMs(11_001));
            }),
        view(
            "an answer to an older request makes it no older",
            v -> {
              v.answered(5_000).applied();
              v.answered(4_000).applied();
              assertEquals(0, v.ageMs(5_000));
            }),
        view(
            "readings that wait are bounded, and none of them is lost",
            v -> {
              v.answered(0).applied();
              List<CancellationView.Reading> all =
                  Stream.iterate(1L, i -> i + 1)
                      .limit(3L * CancellationView.MOST_READINGS)
                      .map(v::answered)
                      .toList();
              all.subList(1, all.size()).forEach(CancellationView.Reading::applied);
              assertEquals(300, v.ageMs(300));
              all.get(0).applied();
              assertEquals(300 - 3L * CancellationView.MOST_READINGS, v.ageMs(300));
            }));
  }

  /** The sum of the proof, for settings of all kinds and clocks that drift: never beyond it. */
  @Test
  void whatIsAnsweredAtTheLastMomentIsGoneInTime() {
    SplittableRandom r = new SplittableRandom(7);
    for (int i = 0; i < 100_000; i++) {
      double lease = 1 + r.nextDouble() * 100;
      double cancel = lease + r.nextDouble() * 100;
      double age = CancellationView.mostAgeMs(lease, cancel) / 1000.0;
      double here = 1 + (r.nextDouble() - 0.5) * 0.001;
      double worker = 1 + (r.nextDouble() - 0.5) * 0.001;
      if (age > 0) {
        // True time: the age by this node's clock, the lease by the worker's.
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
  Stream<DynamicTest> whoIsToldWhat() {
    return Stream.of(
        notices(
            "each peer until it has taken it, one message at a time",
            n -> {
              n.learnt("a", 0);
              assertEquals(List.of("a"), n.take(0, 1));
              n.learnt("b", 1);
              assertEquals(List.of(), n.take(0, 2));
              n.answered(0, List.of("a"), false);
              assertEquals(List.of("a", "b"), n.take(0, 3));
              n.answered(0, List.of("a", "b"), true);
              assertEquals(List.of(), n.take(0, 4));
              assertEquals(List.of("a", "b"), n.take(1, 4));
            }),
        notices(
            "one peer alone",
            n -> {
              n.learnt(1, "a", 0);
              assertEquals(List.of(), n.take(0, 1));
              assertEquals(List.of("a"), n.take(1, 1));
            }),
        notices(
            "not for ever",
            n -> {
              n.learnt("a", 0);
              n.learnt("b", 5_000);
              n.learnt("a", 9_000);
              assertEquals(List.of("b"), n.take(0, 10_001));
            }),
        notices(
            "no more than a peer's table and a message hold",
            n -> {
              for (int i = 0; i < PendingCancellationNotices.MOST + 10; i++) {
                n.learnt("j" + i, 0);
              }
              assertEquals(PendingCancellationNotices.MOST, n.untold(0));
              List<String> first = n.take(0, 1);
              assertEquals(PendingCancellationNotices.MOST_AT_ONCE, first.size());
              assertEquals("j10", first.get(0));
            }));
  }
}
