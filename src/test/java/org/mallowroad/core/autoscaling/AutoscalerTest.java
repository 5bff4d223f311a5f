package org.mallowroad.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.core.scheduling.TaskScheduler;

/** Renting and returning as the design says, and its exceptions. */
final class AutoscalerTest {
  private static final MachineType SMALL =
      new MachineType(0, "small", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
  private static final MachineType LARGE =
      new MachineType(1, "large", 32, 0, 256, 100, 1, 9.0, 4.0, 30, new int[] {0, 1});
  private static final List<MachineType> TYPES = List.of(SMALL, LARGE);

  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final SchedulerState schedulerState;
    final Autoscaler fleet;
    final TaskScheduler placement;
    final ServiceLevelObjectives objectives = new ServiceLevelObjectives();
    long now = 1_000_000;
    long sequence;

    TestCluster() {
      this(64);
    }

    /** With a limit of the one team. */
    TestCluster(double cpus) {
      zones.intern("a");
      zones.intern("b");
      schedulerState =
          new SchedulerState(1, 20, 3, List.of(new Team("team", cpus, 0, cpus, 0)), zones);
      fleet = new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), objectives);
      placement = new TaskScheduler(schedulerState);
    }

    Machine machine(String name, MachineType type, boolean spot) {
      Machine m = schedulerState.registerMachine(name, type, 0, spot, now);
      Heartbeat r =
          new Heartbeat(name, "h:1", type.name(), "a", spot, 1, ++sequence, 1, -1, List.of());
      schedulerState.processHeartbeat(m, r, true, now);
      return m;
    }

    Job job(String id, int tasks, double cpus) {
      return schedulerState.accept(JobSpecBuilder.job(id, tasks, cpus).spot().build(), 5, 0, now);
    }

    List<ScaleOutRequest> rents(List<PendingMachines> coming) {
      return fleet.planScaleOut(placement.queue(now), coming, TYPES, now);
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest policy(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster()));
  }

  @TestFactory
  Stream<DynamicTest> sizes() {
    return Stream.of(
        policy(
            "the cheapest fitting variant is rented",
            w -> {
              w.job("job-1", 1, 4);
              List<ScaleOutRequest> r = w.rents(List.of());
              assertEquals(1, r.size());
              assertEquals(new MachineVariant(SMALL, 0, true), r.get(0).variant());
              assertEquals(1, r.get(0).count());
            }),
        policy(
            "a task that fits only the large type gets the large type",
            w -> {
              w.job("job-1", 1, 16);
              assertEquals(LARGE, w.rents(List.of()).get(0).variant().type());
            }),
        policy(
            "a refused variant is left out for a while, its next cheapest is taken",
            w -> {
              w.job("job-1", 1, 4);
              w.fleet.recordRefusal(new MachineVariant(SMALL, 0, true), w.now);
              w.fleet.recordRefusal(new MachineVariant(SMALL, 1, true), w.now);
              assertEquals(
                  new MachineVariant(SMALL, 0, false), w.rents(List.of()).get(0).variant());
            }),
        policy(
            "machines on their way take waiting tasks, so nothing is rented twice",
            w -> {
              w.job("job-1", 1, 4);
              assertTrue(
                  w.rents(
                          List.of(
                              new PendingMachines(new MachineVariant(SMALL, 0, true), 1, w.now)))
                      .isEmpty());
            }),
        policy(
            "work that can wait for room rents nothing, urgent work does",
            w -> {
              for (int z = 0; z < 2; z++) {
                w.fleet.recordRefusal(new MachineVariant(LARGE, z, true), w.now);
              }
              Machine busy = w.machine("n-1", LARGE, false);
              w.schedulerState.start(w.job("job-1", 1, 32), 0, busy, w.now);
              w.objectives.requireCompletion(0, 400); // Estimated at 60 s, both have time enough.
              w.job("job-2", 1, 32);
              assertTrue(w.rents(List.of()).isEmpty());
              // A machine that boots in 30 s cannot keep that either.
              w.objectives.requireStart(0, 3);
              assertTrue(w.rents(List.of()).isEmpty());
              w.objectives.requireCompletion(0, 100);
              assertEquals(LARGE, w.rents(List.of()).get(0).variant().type());
            }),
        policy(
            "where machines are cheap, work that is late gets new ones and leaves freed room alone",
            w -> {
              w.machine("n-1", SMALL, true);
              w.job("job-1", 1, 4);
              w.placement.placeTasks(w.now);
              w.now += 40_000; // 20 s of the estimated 60 are left, less than a boot takes.
              w.machine("n-1", SMALL, true);
              w.job("job-2", 2, 4);
              assertEquals(2, w.rents(List.of()).stream().mapToInt(ScaleOutRequest::count).sum());
              w.now += 16_000;
              w.machine("n-1", SMALL, true);
              w.job("job-3", 1, 4);
              PendingMachines two =
                  new PendingMachines(new MachineVariant(SMALL, 0, true), 2, w.now);
              assertEquals(
                  1, w.rents(List.of(two)).stream().mapToInt(ScaleOutRequest::count).sum());
            }),
        policy(
            "after a refusal one call shows whether there is room again",
            narrow -> {
              TestCluster w = new TestCluster(1_000);
              MachineVariant v = new MachineVariant(SMALL, 0, true);
              w.fleet.recordRefusal(v, w.now);
              w.now += 20_000;
              for (int z = 0; z < 2; z++) {
                w.fleet.recordRefusal(new MachineVariant(LARGE, z, true), w.now);
                w.fleet.recordRefusal(new MachineVariant(LARGE, z, false), w.now);
                w.fleet.recordRefusal(new MachineVariant(SMALL, z, false), w.now);
              }
              w.fleet.recordRefusal(new MachineVariant(SMALL, 1, true), w.now);
              w.job("job-1", 200, 4);
              assertEquals(List.of(new ScaleOutRequest(v, 50)), w.rents(List.of()));
              w.fleet.recordGrant(v);
              assertEquals(200, w.rents(List.of()).stream().mapToInt(ScaleOutRequest::count).sum());
            }),
        policy(
            "a large fleet that runs empty goes back at once, but for what a burst may want",
            w -> {
              for (int i = 0; i < 200; i++) {
                w.machine("n-" + i, SMALL, true);
              }
              w.now += 5_000;
              assertEquals(200 - 16, w.fleet.planScaleIn(false, w.now).size());
            }),
        policy(
            "tasks beyond their team's limit rent nothing",
            w -> {
              w.job("job-1", 40, 4);
              int n = w.rents(List.of()).stream().mapToInt(ScaleOutRequest::count).sum();
              assertTrue(
                  n > 0 && n <= 16, n + " machines"); // The limit lets 16 of the 40 tasks run.
            }),
        policy(
            "the dearest empty machine goes back first, if the rest has headroom",
            w -> {
              w.machine("n-1", SMALL, true);
              Machine large = w.machine("n-2", LARGE, false);
              w.now += 60_000;
              assertEquals(List.of(), w.fleet.planScaleIn(false, w.now)); // Not heard for too long.
              w.machine("n-1", SMALL, true);
              w.machine("n-2", LARGE, false);
              List<Machine> back = w.fleet.planScaleIn(false, w.now);
              assertEquals(large, back.get(0));
            }),
        policy(
            "no headroom, no return",
            w -> {
              Machine busy = w.machine("n-1", SMALL, true);
              Machine idle = w.machine("n-2", SMALL, true);
              Job j = w.job("job-1", 1, 4);
              w.schedulerState.start(j, 0, busy, w.now);
              w.now += 60_000;
              w.machine("n-1", SMALL, true);
              w.machine("n-2", SMALL, true);
              assertEquals(List.of(), w.fleet.planScaleIn(false, w.now));
              assertTrue(idle.isUsable());
            }));
  }
}
