package org.mallowroad.core.scheduling;

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

/** Stopping is for room that does not come by itself. */
final class ExpectedReleasesTest {
  /** A full fleet of 100 machines of 4 CPUs with tasks of 60 s by their estimate. */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0});
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    long sequence;
    long now = 1_000_000;

    TestCluster() {
      zones.intern("a");
      schedulerState = new SchedulerState(1, 26, 4, List.of(new Team("t", 1e6, 0, 1e6, 0)), zones);
      placement = new TaskScheduler(schedulerState);
      for (int i = 0; i < 100; i++) {
        report(schedulerState.registerMachine("n-" + i, type, 0, true, now));
      }
    }

    void report(Machine m) {
      schedulerState.processHeartbeat(
          m,
          JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 1, Heartbeat.State.RUNNING),
          true,
          now);
    }

    /** Normal tasks fill the fleet and have run for so long. */
    void fill(double cpus, long ranMs) {
      int n = (int) (400 / cpus);
      schedulerState.accept(JobSpecBuilder.job("job-1", n, cpus).spot().build(), 5, 0, now);
      assertEquals(n, placement.placeTasks(now).size());
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
      for (Machine m : schedulerState.machines()) {
        report(m);
      }
      now += ranMs;
      schedulerState.machines().forEach(this::report);
    }

    /** Urgent tasks wait for two seconds; how many others were stopped for them. */
    long urgent(int tasks) {
      schedulerState.accept(
          JobSpecBuilder.job("job-2" + ++sequence, tasks, 1).priority(1).spot().build(), 5, 0, now);
      for (int i = 0; i < 5; i++) {
        now += 500;
        schedulerState.machines().forEach(this::report);
        placement.placeTasks(now);
      }
      return placement.preemptionCount();
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest full(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster()));
  }

  @TestFactory
  Stream<DynamicTest> stops() {
    return Stream.of(
        full(
            "few urgent tasks wait for the ends that come anyway",
            w -> {
              w.fill(1, 40_000);
              assertEquals(0, w.urgent(20));
            }),
        full(
            "what has just begun does not end soon: room for urgent tasks is made",
            w -> {
              w.fill(1, 2_000);
              assertEquals(20, w.urgent(20));
            }),
        full(
            "what comes is left out, what is missing is stopped",
            w -> {
              w.fill(1, 40_000);
              long stops = w.urgent(100);
              assertTrue(stops >= 40 && stops <= 90, "stopped " + stops);
            }),
        full(
            "what comes goes to the jobs ahead first: it is not counted twice",
            w -> {
              w.fill(1, 40_000);
              w.schedulerState.accept(
                  JobSpecBuilder.job("job-0", 30, 1).priority(0).spot().build(), 5, 0, w.now);
              long stops = w.urgent(30);
              assertTrue(stops >= 25 && stops <= 50, "stopped " + stops);
            }),
        full(
            "a task that was started four times is left to end, but for critical work",
            w -> {
              Job j =
                  w.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 100, 4).spot().build(), 5, 0, w.now);
              for (int t = 0; t < 100; t++) {
                w.schedulerState.restoreAttempt(
                    j, t, 4, w.schedulerState.machine("n-" + t), 1, w.now);
              }
              w.schedulerState.finishRestore(j, w.now);
              w.schedulerState.machines().forEach(w::report);
              assertEquals(0, w.urgent(20));
              w.schedulerState.accept(
                  JobSpecBuilder.job("job-0", 8, 1).priority(0).spot().build(), 5, 0, w.now);
              assertEquals(2, w.urgent(1));
            }),
        full(
            "small tasks that end here and there make no room for a large one",
            w -> {
              w.fill(1, 40_000);
              w.schedulerState.accept(
                  JobSpecBuilder.job("job-3", 1, 4).priority(1).spot().build(), 5, 0, w.now);
              assertEquals(4, w.urgent(1));
            }));
  }
}
