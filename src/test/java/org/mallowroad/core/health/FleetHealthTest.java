package org.mallowroad.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.health.MachineHealth.Suspicion;

/** Which machines and zones the detectors of this package suspect, and which they must not. */
final class FleetHealthTest {
  private static final long HEARTBEAT_INTERVAL_MS = 4_000;

  /** Two zones of machines that send a heartbeat every 4 s, and the baseline of one job. */
  private static final class TestCluster {
    final FleetHealth health =
        new FleetHealth(HealthPolicy.defaults(), 2, HEARTBEAT_INTERVAL_MS / 1000.0, 0);
    final List<MachineHealth> machines = new ArrayList<>();
    final RunTimeBaseline job = new RunTimeBaseline(15);
    long now;

    TestCluster(int a, int b) {
      for (int i = 0; i < a + b; i++) {
        MachineHealth m = new MachineHealth("n-" + i, i < a ? 0 : 1);
        health.register(m, now);
        machines.add(m);
      }
    }

    /** Lets time pass; all machines but {@code from} to {@code to} (exclusive) send heartbeats. */
    void pass(long ms, int from, int to) {
      for (long end = now + ms; now < end; now += 500) {
        health.pauseDetector().recordActivity(now);
        health.pauseDetector().recordTick();
        for (int i = 0; i < machines.size(); i++) {
          if ((i < from || i >= to) && (now / 500) % 8 == i % 8) {
            health.recordHeartbeat(machines.get(i), now);
          }
        }
        health.failureDetector().evaluate(now);
      }
    }

    /** A task with an estimate of 40 s ends on a machine after that many times the estimate. */
    void task(int machine, double times) {
      health.recordTaskFinished(machines.get(machine), job, 0, (long) (40_000 * times), 40, now);
    }

    Suspicion suspicion(int machine) {
      return machines.get(machine).suspicion();
    }
  }

  private interface Case {
    void run(TestCluster simulation);
  }

  private static DynamicTest testCase(String name, Case body) {
    return DynamicTest.dynamicTest(name, () -> body.run(new TestCluster(10, 10)));
  }

  @TestFactory
  Stream<DynamicTest> failureDetector() {
    return Stream.of(
        testCase(
            "a zone without heartbeats while the other reports is partitioned until it is back",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(7_000, 0, 10);
              assertTrue(w.health.failureDetector().isPartitioned(0));
              assertFalse(w.health.failureDetector().isPartitioned(1));
              assertTrue(w.health.isPartitionedAway(w.machines.get(3)));
              w.pass(5_000, 0, 0);
              assertFalse(w.health.failureDetector().isPartitioned(0));
              assertFalse(w.health.isPartitionedAway(w.machines.get(3)));
            }),
        testCase(
            "a zone without any heartbeat is partitioned before most of its machines are overdue",
            w -> {
              for (int i = 20; i < 220; i++) {
                MachineHealth m = new MachineHealth("n-" + i, i % 2);
                w.health.register(m, w.now);
                w.machines.add(m);
              }
              w.machines.sort(java.util.Comparator.comparingInt(MachineHealth::zone));
              w.pass(20_000, 0, 0);
              w.pass(3_500, 0, 110);
              assertTrue(w.health.failureDetector().overdueMachineCount() < 65);
              assertTrue(w.health.failureDetector().isPartitioned(0));
              assertFalse(w.health.failureDetector().isPartitioned(1));
              w.pass(3_000, 0, 0);
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "heartbeats bunched by a common boot, with half an interval between, are no partition",
            w -> {
              // All of zone 0 report within one second of each four.
              for (int i = 0; i < 40; i++) {
                w.now += 500;
                for (MachineHealth m : w.machines) {
                  if (m.zone() == 1 ? i % 2 == 0 : i % 8 < 2) {
                    w.health.recordHeartbeat(m, w.now);
                  }
                }
                assertEquals(List.of(), w.health.failureDetector().evaluate(w.now));
              }
            }),
        testCase(
            "the loss of half of a zone's machines is no partition while the others report",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(30_000, 0, 6);
              assertEquals(6, w.health.failureDetector().overdueMachineCount());
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "equally many dead machines in both zones are no partition",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(20_000, 5, 15);
              assertEquals(10, w.health.failureDetector().overdueMachineCount());
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "when no machine reports the controller is likely isolated",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(20_000, 0, 20);
              assertTrue(w.health.failureDetector().isLikelyIsolated(w.now));
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "when no zone reports the controller is likely isolated before many are overdue",
            ignored -> {
              TestCluster w = new TestCluster(40, 40);
              w.pass(20_000, 0, 0);
              assertFalse(w.health.failureDetector().isLikelyIsolated(w.now));
              w.now += 2_700;
              w.health.failureDetector().evaluate(w.now);
              int late = w.health.failureDetector().overdueMachineCount();
              assertTrue(late > 0 && 2 * late < w.health.failureDetector().knownMachineCount());
              assertTrue(w.health.failureDetector().isLikelyIsolated(w.now));
            }),
        testCase(
            "a zone whose first heartbeat comes by a peer gets time to find that route",
            w -> {
              w.pass(20_000, 0, 0);
              w.now += 9_000;
              FailureDetector s = w.health.failureDetector();
              s.evaluate(w.now);
              assertEquals(s.knownMachineCount(), s.overdueMachineCount());
              s.resetZoneSilence(0, w.now);
              w.now += 4_000;
              s.evaluate(w.now);
              for (MachineHealth m : w.machines) {
                assertEquals(m.zone() != 0, s.isOverdue(m));
                assertEquals(m.zone() != 0, s.silentMs(m, w.now) > 8_000);
              }
            }),
        testCase(
            "a zone that never reported to a new leader is detected as partitioned",
            w -> {
              w.pass(12_000, 0, 10);
              assertTrue(w.health.failureDetector().isPartitioned(0));
            }),
        testCase(
            "the removal of its machines ends a partition and leaves no counts behind",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(10_000, 0, 10);
              w.machines.subList(0, 10).forEach(w.health::remove);
              w.health.failureDetector().evaluate(w.now);
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
              assertEquals(10, w.health.failureDetector().knownMachineCount());
              assertEquals(0, w.health.failureDetector().overdueMachineCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> pauseDetector() {
    return Stream.of(
        testCase(
            "a gap in activity is a pause, and messages read after it are dated to its beginning",
            w -> {
              w.pass(10_000, 0, 0);
              long before = w.now - 500;
              w.now += 30_000;
              assertEquals(30_500, w.health.pauseDetector().recordActivity(w.now));
              assertEquals(before, w.health.recordHeartbeat(w.machines.get(0), w.now));
              w.health.pauseDetector().recordTick();
              w.health.pauseDetector().recordTick();
              assertEquals(w.now, w.health.recordHeartbeat(w.machines.get(0), w.now));
              assertEquals(w.now, w.health.pauseDetector().listeningSinceMs());
              assertEquals(30_500, w.health.pauseDetector().longestPauseMs());
            }),
        testCase(
            "after a pause of the controller no machine is overdue before it had time to report",
            w -> {
              w.pass(10_000, 0, 0);
              w.now += 30_000;
              assertTrue(w.health.pauseDetector().recordActivity(w.now) > 0);
              w.health.failureDetector().resetSilence(w.now);
              w.health.failureDetector().evaluate(w.now + 6_000);
              assertEquals(0, w.health.failureDetector().overdueMachineCount());
              w.health.failureDetector().evaluate(w.now + 9_000);
              assertEquals(20, w.health.failureDetector().overdueMachineCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> stragglerDetector() {
    return Stream.of(
        testCase(
            "a machine whose tasks take several times as long as their peers is slow",
            w -> {
              for (int i = 0; i < 8; i++) {
                w.task(1, 1);
                w.task(2, 1.2);
                w.task(0, 4);
              }
              assertEquals(Suspicion.SLOW, w.suspicion(0));
              assertEquals(Suspicion.NONE, w.suspicion(1));
              assertEquals(1, w.health.stragglerDetector().suspectCount());
              assertTrue(w.machines.get(0).slowdown() > 3);
            }),
        testCase(
            "a few slow samples do not make a machine slow",
            w -> {
              for (int i = 0; i < 10; i++) {
                w.task(1, 1);
              }
              for (int i = 0; i < 4; i++) {
                w.task(0, 9);
              }
              assertEquals(Suspicion.NONE, w.suspicion(0));
            }),
        testCase(
            "a wrong estimate makes no machine suspect",
            w -> {
              for (int i = 0; i < 200; i++) {
                w.task(i % 20, 6);
              }
              assertEquals(0, w.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "a job whose run times vary widely makes no machine suspect",
            w -> {
              for (int i = 0; i < 400; i++) {
                w.task(i % 20, i % 3 == 0 ? 3 : 0.8 + i % 7 / 5.0);
              }
              assertEquals(0, w.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "when all tasks become slow at most a tenth of the machines is suspect",
            w -> {
              for (int i = 0; i < 200; i++) {
                w.task(i % 20, 1);
              }
              for (int i = 0; i < 400; i++) {
                w.task(i % 20, 4);
              }
              assertTrue(w.health.stragglerDetector().suspectCount() <= 2);
            }),
        testCase(
            "overdue running tasks make a machine slow",
            w -> {
              for (int i = 0; i < 10; i++) {
                w.task(1, 1);
              }
              assertFalse(w.health.stragglerDetector().isTaskOverdue(w.job, 60_000, 40));
              assertTrue(w.health.stragglerDetector().isTaskOverdue(w.job, 100_000, 40));
              w.health.setOverdueTasks(w.machines.get(0), 4, w.now);
              assertEquals(Suspicion.NONE, w.suspicion(0));
              w.health.setOverdueTasks(w.machines.get(0), 5, w.now);
              assertEquals(Suspicion.SLOW, w.suspicion(0));
            }),
        testCase(
            "a suspicion ends by good tasks or by expiry",
            w -> {
              for (int machine = 0; machine < 2; machine++) {
                for (int i = 0; i < 6; i++) {
                  w.task(5, 1);
                  w.task(6, 1);
                  w.task(machine, 5);
                }
                assertEquals(Suspicion.SLOW, w.suspicion(machine));
              }
              for (int i = 0; i < 12; i++) {
                w.task(0, 1);
              }
              assertEquals(Suspicion.NONE, w.suspicion(0));
              w.now += HealthPolicy.defaults().suspicionExpiryMs() + 1;
              w.health.recordHeartbeat(w.machines.get(1), w.now);
              assertEquals(Suspicion.NONE, w.suspicion(1));
              assertEquals(0, w.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "failures of several jobs make a machine faulty, those of one or of a bad job do not",
            w -> {
              MachineHealth m = w.machines.get(0);
              for (int i = 0; i < 9; i++) {
                w.health.recordTaskFailed(m, 7, false, w.now);
                w.health.recordTaskFailed(m, 100 + i, true, w.now);
              }
              assertEquals(Suspicion.NONE, m.suspicion());
              w.health.recordTaskFailed(m, 8, false, w.now);
              w.health.recordTaskFailed(m, 9, false, w.now);
              assertEquals(Suspicion.FAULTY, m.suspicion());
            }),
        testCase(
            "an image fetch makes a machine suspect only after many times its expected time",
            w -> {
              MachineHealth m = w.machines.get(0);
              w.health.recordImageWait(m, 60_000, 10_000, w.now);
              assertEquals(Suspicion.NONE, m.suspicion());
              w.health.recordImageWait(m, 91_000, 10_000, w.now);
              assertEquals(Suspicion.NO_IMAGE, m.suspicion());
            }),
        testCase(
            "task classes are bounded, and unused ones are dropped",
            w -> {
              for (int c = 0; c < 5_000; c++) {
                w.health.recordTaskFinished(
                    w.machines.get(0), new RunTimeBaseline(1), c, 1_000, 1, w.now);
              }
              assertEquals(
                  StragglerDetector.MAX_CLASSES, w.health.stragglerDetector().taskClassCount());
              BitSet used = new BitSet();
              used.set(3);
              w.health.stragglerDetector().retainTaskClasses(used);
              assertEquals(1, w.health.stragglerDetector().taskClassCount());
            }),
        testCase(
            "changes of suspicion that are not taken are bounded and counted",
            w -> {
              for (int i = 0; i < 100; i++) {
                MachineHealth m = w.machines.get(0);
                w.health.recordImageWait(m, 1_000_000, 1, w.now);
                w.now += HealthPolicy.defaults().suspicionExpiryMs() + 1;
                w.health.recordHeartbeat(m, w.now);
              }
              assertEquals(64, w.health.takeChanges().size());
              assertEquals(136, w.health.takeDroppedChangeCount());
              assertEquals(0, w.health.takeChanges().size());
            }));
  }

  /** Whenever deletions are asked for, no lease-long interval has more than twice the share. */
  @Property(tries = 200, seed = "42")
  void deletionsPerLeaseAreBounded(
      @ForAll @IntRange(min = 1, max = 2_000) int fleet,
      @ForAll @Size(min = 1, max = 200) List<@LongRange(min = 0, max = 5_000) Long> gaps) {
    TokenBucket bucket = new TokenBucket(0.25, 8, 26_000, 0);
    List<Long> taken = new ArrayList<>();
    long now = 0;
    for (long gap : gaps) {
      now += gap;
      for (int i = 0; i < 50; i++) {
        if (bucket.tryTake(fleet, now)) {
          taken.add(now);
        }
      }
    }
    assertTrue(taken.size() >= Math.min(50, 8)); // A full bucket is not refused.
    int from = 0;
    for (int i = 0; i < taken.size(); i++) {
      while (taken.get(i) - taken.get(from) >= 26_000) {
        from++;
      }
      assertTrue(i - from + 1 <= 2 * Math.max(8, 0.25 * fleet) + 1);
    }
  }

  /** Whichever tasks end and fail in whatever order, only the stated share is suspect. */
  @Property(tries = 200, seed = "43")
  void suspectShareIsBounded(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 3_999) Integer> events) {
    TestCluster w = new TestCluster(20, 20);
    for (int e : events) {
      int machine = e % 40;
      double times = Math.pow(2, e / 40 % 8 - 2);
      if (e / 320 % 4 == 3) {
        w.health.recordTaskFailed(w.machines.get(machine), e, false, w.now);
      } else {
        w.task(machine, times);
        w.task(machine, times);
      }
      int counted = 0;
      for (MachineHealth m : w.machines) {
        counted += m.isSuspect() ? 1 : 0;
      }
      assertEquals(counted, w.health.stragglerDetector().suspectCount());
      assertTrue(counted <= 4);
    }
  }

  /** After any sequence of registrations, heartbeats and removals the counts are exact. */
  @Property(tries = 200, seed = "44")
  void overdueAndKnownCountsMatchTheMachines(
      @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 0, max = 2_399) Integer> events) {
    FailureDetector s = new FailureDetector(2, 4, HealthPolicy.defaults(), 0);
    List<MachineHealth> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      all.add(new MachineHealth("n-" + i, i % 2));
    }
    BitSet registered = new BitSet();
    long now = 0;
    for (int e : events) {
      MachineHealth m = all.get(e % 30);
      now += e / 30 % 20 * 100L;
      switch (e / 600) {
        case 0 -> {
          s.remove(m);
          registered.clear(e % 30);
        }
        case 1 -> {
          s.register(m, now);
          registered.set(e % 30);
        }
        default -> {
          s.recordHeartbeat(m, now);
          registered.set(e % 30);
        }
      }
      s.evaluate(now);
      int late = 0;
      for (int i = registered.nextSetBit(0); i >= 0; i = registered.nextSetBit(i + 1)) {
        late += s.isOverdue(all.get(i)) ? 1 : 0;
      }
      assertEquals(registered.cardinality(), s.knownMachineCount());
      assertEquals(late, s.overdueMachineCount());
    }
  }
}
