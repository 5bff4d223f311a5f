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

/**
 * Tests which evidence makes the detectors of this package suspect machines and zones, and which
 * must not.
 */
final class FleetHealthTest {
  private static final long HEARTBEAT_INTERVAL_MS = 4_000;

  /** Machines in two zones that send a heartbeat every 4 s, and the baseline of one job. */
  private static final class TestCluster {
    final FleetHealth health =
        new FleetHealth(HealthPolicy.defaults(), 2, HEARTBEAT_INTERVAL_MS / 1000.0, 0);
    final List<MachineHealth> machines = new ArrayList<>();
    final RunTimeBaseline jobBaseline = new RunTimeBaseline(15);
    long nowMs;

    TestCluster(int machinesInZone0, int machinesInZone1) {
      for (int i = 0; i < machinesInZone0 + machinesInZone1; i++) {
        MachineHealth machine = new MachineHealth("n-" + i, i < machinesInZone0 ? 0 : 1);
        health.register(machine, nowMs);
        machines.add(machine);
      }
    }

    /**
     * Advances the time. All machines send heartbeats, except those with indices from {@code
     * firstSilent} to {@code endSilent} (exclusive).
     */
    void advance(long ms, int firstSilent, int endSilent) {
      for (long endMs = nowMs + ms; nowMs < endMs; nowMs += 500) {
        health.pauseDetector().recordActivity(nowMs);
        health.pauseDetector().recordTick();
        for (int i = 0; i < machines.size(); i++) {
          if ((i < firstSilent || i >= endSilent) && (nowMs / 500) % 8 == i % 8) {
            health.recordHeartbeat(machines.get(i), nowMs);
          }
        }
        health.failureDetector().evaluate(nowMs);
      }
    }

    /**
     * Finishes a task on the machine whose run time is {@code slowdown} times its 40 s estimate.
     */
    void finishTask(int machineIndex, double slowdown) {
      health.recordTaskFinished(
          machines.get(machineIndex), jobBaseline, 0, (long) (40_000 * slowdown), 40, nowMs);
    }

    Suspicion suspicionOf(int machineIndex) {
      return machines.get(machineIndex).suspicion();
    }
  }

  private interface TestBody {
    void run(TestCluster cluster);
  }

  private static DynamicTest testCase(String name, TestBody body) {
    return DynamicTest.dynamicTest(name, () -> body.run(new TestCluster(10, 10)));
  }

  @TestFactory
  Stream<DynamicTest> failureDetector() {
    return Stream.of(
        testCase(
            "a silent zone is partitioned while the other zone reports, until it reports again",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.advance(7_000, 0, 10);
              assertTrue(cluster.health.failureDetector().isPartitioned(0));
              assertFalse(cluster.health.failureDetector().isPartitioned(1));
              assertTrue(cluster.health.isPartitionedAway(cluster.machines.get(3)));
              cluster.advance(5_000, 0, 0);
              assertFalse(cluster.health.failureDetector().isPartitioned(0));
              assertFalse(cluster.health.isPartitionedAway(cluster.machines.get(3)));
            }),
        testCase(
            "a large silent zone is partitioned before most of its machines are overdue",
            cluster -> {
              for (int i = 20; i < 220; i++) {
                MachineHealth machine = new MachineHealth("n-" + i, i % 2);
                cluster.health.register(machine, cluster.nowMs);
                cluster.machines.add(machine);
              }
              cluster.machines.sort(java.util.Comparator.comparingInt(MachineHealth::zone));
              cluster.advance(20_000, 0, 0);
              cluster.advance(3_500, 0, 110);
              assertTrue(cluster.health.failureDetector().overdueMachineCount() < 65);
              assertTrue(cluster.health.failureDetector().isPartitioned(0));
              assertFalse(cluster.health.failureDetector().isPartitioned(1));
              cluster.advance(3_000, 0, 0);
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "a zone whose machines all report at the same time is not partitioned",
            cluster -> {
              // Machines that booted together report together: those of zone 0 only report within
              // the
              // first second of every four.
              for (int i = 0; i < 40; i++) {
                cluster.nowMs += 500;
                for (MachineHealth machine : cluster.machines) {
                  if (machine.zone() == 1 ? i % 2 == 0 : i % 8 < 2) {
                    cluster.health.recordHeartbeat(machine, cluster.nowMs);
                  }
                }
                assertEquals(List.of(), cluster.health.failureDetector().evaluate(cluster.nowMs));
              }
            }),
        testCase(
            "a zone that loses half of its machines is not partitioned while the others report",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.advance(30_000, 0, 6);
              assertEquals(6, cluster.health.failureDetector().overdueMachineCount());
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "no zone is partitioned when equally many machines die in both zones",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.advance(20_000, 5, 15);
              assertEquals(10, cluster.health.failureDetector().overdueMachineCount());
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "the controller is likely isolated when no machine reports",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.advance(20_000, 0, 20);
              assertTrue(cluster.health.failureDetector().isLikelyIsolated(cluster.nowMs));
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
            }),
        testCase(
            "the controller is likely isolated when no zone reports, before most are overdue",
            ignored -> {
              TestCluster cluster = new TestCluster(40, 40);
              cluster.advance(20_000, 0, 0);
              assertFalse(cluster.health.failureDetector().isLikelyIsolated(cluster.nowMs));
              cluster.nowMs += 2_700;
              cluster.health.failureDetector().evaluate(cluster.nowMs);
              int overdueMachines = cluster.health.failureDetector().overdueMachineCount();
              assertTrue(
                  overdueMachines > 0
                      && 2 * overdueMachines
                          < cluster.health.failureDetector().knownMachineCount());
              assertTrue(cluster.health.failureDetector().isLikelyIsolated(cluster.nowMs));
            }),
        testCase(
            "a zone whose silence is reset gets time to find the relayed route",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.nowMs += 9_000;
              FailureDetector detector = cluster.health.failureDetector();
              detector.evaluate(cluster.nowMs);
              assertEquals(detector.knownMachineCount(), detector.overdueMachineCount());
              detector.resetZoneSilence(0, cluster.nowMs);
              cluster.nowMs += 4_000;
              detector.evaluate(cluster.nowMs);
              for (MachineHealth machine : cluster.machines) {
                assertEquals(machine.zone() != 0, detector.isOverdue(machine));
                assertEquals(
                    machine.zone() != 0, detector.silentMs(machine, cluster.nowMs) > 8_000);
              }
            }),
        testCase(
            "a zone that never reported to a new leader is partitioned",
            cluster -> {
              cluster.advance(12_000, 0, 10);
              assertTrue(cluster.health.failureDetector().isPartitioned(0));
            }),
        testCase(
            "the removal of a zone's machines ends its partition and corrects all counts",
            cluster -> {
              cluster.advance(20_000, 0, 0);
              cluster.advance(10_000, 0, 10);
              cluster.machines.subList(0, 10).forEach(cluster.health::remove);
              cluster.health.failureDetector().evaluate(cluster.nowMs);
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
              assertEquals(10, cluster.health.failureDetector().knownMachineCount());
              assertEquals(0, cluster.health.failureDetector().overdueMachineCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> pauseDetector() {
    return Stream.of(
        testCase(
            "messages read after a gap in activity are dated to the beginning of the pause",
            cluster -> {
              cluster.advance(10_000, 0, 0);
              long lastActivityMs = cluster.nowMs - 500;
              cluster.nowMs += 30_000;
              assertEquals(30_500, cluster.health.pauseDetector().recordActivity(cluster.nowMs));
              assertEquals(
                  lastActivityMs,
                  cluster.health.recordHeartbeat(cluster.machines.get(0), cluster.nowMs));
              cluster.health.pauseDetector().recordTick();
              cluster.health.pauseDetector().recordTick();
              assertEquals(
                  cluster.nowMs,
                  cluster.health.recordHeartbeat(cluster.machines.get(0), cluster.nowMs));
              assertEquals(cluster.nowMs, cluster.health.pauseDetector().listeningSinceMs());
              assertEquals(30_500, cluster.health.pauseDetector().longestPauseMs());
            }),
        testCase(
            "after a pause no machine is overdue before it has had time to report",
            cluster -> {
              cluster.advance(10_000, 0, 0);
              cluster.nowMs += 30_000;
              assertTrue(cluster.health.pauseDetector().recordActivity(cluster.nowMs) > 0);
              cluster.health.failureDetector().resetSilence(cluster.nowMs);
              cluster.health.failureDetector().evaluate(cluster.nowMs + 6_000);
              assertEquals(0, cluster.health.failureDetector().overdueMachineCount());
              cluster.health.failureDetector().evaluate(cluster.nowMs + 9_000);
              assertEquals(20, cluster.health.failureDetector().overdueMachineCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> stragglerDetector() {
    return Stream.of(
        testCase(
            "a machine whose tasks take several times as long as elsewhere is slow",
            cluster -> {
              for (int i = 0; i < 8; i++) {
                cluster.finishTask(1, 1);
                cluster.finishTask(2, 1.2);
                cluster.finishTask(0, 4);
              }
              assertEquals(Suspicion.SLOW, cluster.suspicionOf(0));
              assertEquals(Suspicion.NONE, cluster.suspicionOf(1));
              assertEquals(1, cluster.health.stragglerDetector().suspectCount());
              assertTrue(cluster.machines.get(0).slowdown() > 3);
            }),
        testCase(
            "a few slow samples do not make a machine slow",
            cluster -> {
              for (int i = 0; i < 10; i++) {
                cluster.finishTask(1, 1);
              }
              for (int i = 0; i < 4; i++) {
                cluster.finishTask(0, 9);
              }
              assertEquals(Suspicion.NONE, cluster.suspicionOf(0));
            }),
        testCase(
            "a wrong estimate does not make any machine suspect",
            cluster -> {
              for (int i = 0; i < 200; i++) {
                cluster.finishTask(i % 20, 6);
              }
              assertEquals(0, cluster.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "a job with widely varying run times does not make any machine suspect",
            cluster -> {
              for (int i = 0; i < 400; i++) {
                cluster.finishTask(i % 20, i % 3 == 0 ? 3 : 0.8 + i % 7 / 5.0);
              }
              assertEquals(0, cluster.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "at most a tenth of the machines is suspect when all tasks become slow",
            cluster -> {
              for (int i = 0; i < 200; i++) {
                cluster.finishTask(i % 20, 1);
              }
              for (int i = 0; i < 400; i++) {
                cluster.finishTask(i % 20, 4);
              }
              assertTrue(cluster.health.stragglerDetector().suspectCount() <= 2);
            }),
        testCase(
            "overdue running tasks make a machine slow",
            cluster -> {
              for (int i = 0; i < 10; i++) {
                cluster.finishTask(1, 1);
              }
              assertFalse(
                  cluster
                      .health
                      .stragglerDetector()
                      .isTaskOverdue(cluster.jobBaseline, 60_000, 40));
              assertTrue(
                  cluster
                      .health
                      .stragglerDetector()
                      .isTaskOverdue(cluster.jobBaseline, 100_000, 40));
              cluster.health.setOverdueTasks(cluster.machines.get(0), 4, cluster.nowMs);
              assertEquals(Suspicion.NONE, cluster.suspicionOf(0));
              cluster.health.setOverdueTasks(cluster.machines.get(0), 5, cluster.nowMs);
              assertEquals(Suspicion.SLOW, cluster.suspicionOf(0));
            }),
        testCase(
            "a suspicion ends after enough normal tasks, or when it expires",
            cluster -> {
              for (int machineIndex = 0; machineIndex < 2; machineIndex++) {
                for (int i = 0; i < 6; i++) {
                  cluster.finishTask(5, 1);
                  cluster.finishTask(6, 1);
                  cluster.finishTask(machineIndex, 5);
                }
                assertEquals(Suspicion.SLOW, cluster.suspicionOf(machineIndex));
              }
              for (int i = 0; i < 12; i++) {
                cluster.finishTask(0, 1);
              }
              assertEquals(Suspicion.NONE, cluster.suspicionOf(0));
              cluster.nowMs += HealthPolicy.defaults().suspicionExpiryMs() + 1;
              cluster.health.recordHeartbeat(cluster.machines.get(1), cluster.nowMs);
              assertEquals(Suspicion.NONE, cluster.suspicionOf(1));
              assertEquals(0, cluster.health.stragglerDetector().suspectCount());
            }),
        testCase(
            "failures of several jobs make a machine faulty; those of one job or a faulty one do not",
            cluster -> {
              MachineHealth machine = cluster.machines.get(0);
              for (int i = 0; i < 9; i++) {
                cluster.health.recordTaskFailed(machine, 7, false, cluster.nowMs);
                cluster.health.recordTaskFailed(machine, 100 + i, true, cluster.nowMs);
              }
              assertEquals(Suspicion.NONE, machine.suspicion());
              cluster.health.recordTaskFailed(machine, 8, false, cluster.nowMs);
              cluster.health.recordTaskFailed(machine, 9, false, cluster.nowMs);
              assertEquals(Suspicion.FAULTY, machine.suspicion());
            }),
        testCase(
            "an image fetch makes a machine suspect only after many times its expected time",
            cluster -> {
              MachineHealth machine = cluster.machines.get(0);
              cluster.health.recordImageWait(machine, 60_000, 10_000, cluster.nowMs);
              assertEquals(Suspicion.NONE, machine.suspicion());
              cluster.health.recordImageWait(machine, 91_000, 10_000, cluster.nowMs);
              assertEquals(Suspicion.NO_IMAGE, machine.suspicion());
            }),
        testCase(
            "the number of task classes is bounded, and unused ones are dropped",
            cluster -> {
              for (int taskClass = 0; taskClass < 5_000; taskClass++) {
                cluster.health.recordTaskFinished(
                    cluster.machines.get(0),
                    new RunTimeBaseline(1),
                    taskClass,
                    1_000,
                    1,
                    cluster.nowMs);
              }
              assertEquals(
                  StragglerDetector.MAX_TASK_CLASSES,
                  cluster.health.stragglerDetector().taskClassCount());
              BitSet usedClasses = new BitSet();
              usedClasses.set(3);
              cluster.health.stragglerDetector().retainTaskClasses(usedClasses);
              assertEquals(1, cluster.health.stragglerDetector().taskClassCount());
            }),
        testCase(
            "the number of kept suspicion changes is bounded, and further ones are counted",
            cluster -> {
              for (int i = 0; i < 100; i++) {
                MachineHealth machine = cluster.machines.get(0);
                cluster.health.recordImageWait(machine, 1_000_000, 1, cluster.nowMs);
                cluster.nowMs += HealthPolicy.defaults().suspicionExpiryMs() + 1;
                cluster.health.recordHeartbeat(machine, cluster.nowMs);
              }
              assertEquals(64, cluster.health.takeChanges().size());
              assertEquals(136, cluster.health.takeDroppedChangeCount());
              assertEquals(0, cluster.health.takeChanges().size());
            }));
  }

  /**
   * Guards against deleting most of the fleet at once: no interval of a lease's length contains
   * more than twice the configured share of deletions, whenever they are requested.
   */
  @Property(tries = 200, seed = "42")
  void deletionsPerLeaseAreBounded(
      @ForAll @IntRange(min = 1, max = 2_000) int fleetSize,
      @ForAll @Size(min = 1, max = 200) List<@LongRange(min = 0, max = 5_000) Long> gapsMs) {
    TokenBucket bucket = new TokenBucket(0.25, 8, 26_000, 0);
    List<Long> deletionsMs = new ArrayList<>();
    long now = 0;
    for (long gapMs : gapsMs) {
      now += gapMs;
      for (int i = 0; i < 50; i++) {
        if (bucket.tryTake(fleetSize, now)) {
          deletionsMs.add(now);
        }
      }
    }
    assertTrue(deletionsMs.size() >= Math.min(50, 8)); // A full bucket grants its tokens.
    int windowStart = 0;
    for (int i = 0; i < deletionsMs.size(); i++) {
      while (deletionsMs.get(i) - deletionsMs.get(windowStart) >= 26_000) {
        windowStart++;
      }
      assertTrue(i - windowStart + 1 <= 2 * Math.max(8, 0.25 * fleetSize) + 1);
    }
  }

  /** At most a tenth of the fleet is suspect after any sequence of finished and failed tasks. */
  @Property(tries = 200, seed = "43")
  void suspectShareIsBounded(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 3_999) Integer> events) {
    TestCluster cluster = new TestCluster(20, 20);
    for (int event : events) {
      int machineIndex = event % 40;
      double slowdown = Math.pow(2, event / 40 % 8 - 2);
      if (event / 320 % 4 == 3) {
        cluster.health.recordTaskFailed(
            cluster.machines.get(machineIndex), event, false, cluster.nowMs);
      } else {
        cluster.finishTask(machineIndex, slowdown);
        cluster.finishTask(machineIndex, slowdown);
      }
      int suspects = 0;
      for (MachineHealth machine : cluster.machines) {
        suspects += machine.isSuspect() ? 1 : 0;
      }
      assertEquals(suspects, cluster.health.stragglerDetector().suspectCount());
      assertTrue(suspects <= 4);
    }
  }

  /** The counts match the machines after any sequence of registrations, heartbeats and removals. */
  @Property(tries = 200, seed = "44")
  void overdueAndKnownCountsMatchTheMachines(
      @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 0, max = 2_399) Integer> events) {
    FailureDetector detector = new FailureDetector(2, 4, HealthPolicy.defaults(), 0);
    List<MachineHealth> machines = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      machines.add(new MachineHealth("n-" + i, i % 2));
    }
    BitSet registered = new BitSet();
    long now = 0;
    for (int event : events) {
      MachineHealth machine = machines.get(event % 30);
      now += event / 30 % 20 * 100L;
      switch (event / 600) {
        case 0 -> {
          detector.remove(machine);
          registered.clear(event % 30);
        }
        case 1 -> {
          detector.register(machine, now);
          registered.set(event % 30);
        }
        default -> {
          detector.recordHeartbeat(machine, now);
          registered.set(event % 30);
        }
      }
      detector.evaluate(now);
      int overdueMachines = 0;
      for (int i = registered.nextSetBit(0); i >= 0; i = registered.nextSetBit(i + 1)) {
        overdueMachines += detector.isOverdue(machines.get(i)) ? 1 : 0;
      }
      assertEquals(registered.cardinality(), detector.knownMachineCount());
      assertEquals(overdueMachines, detector.overdueMachineCount());
    }
  }
}
