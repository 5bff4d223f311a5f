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

/**
 * Preemption leaves out the capacity that running tasks are expected to release soon. Without this,
 * tasks lose their progress for room that would have become free within seconds.
 */
final class ExpectedReleasesTest {
  /** A fleet of 100 machines with 4 CPUs each; jobs have an estimated run time of 60 s. */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0});
    final SchedulerState schedulerState;
    final TaskScheduler taskScheduler;
    long sequence;
    long now = 1_000_000;

    TestCluster() {
      zones.intern("a");
      schedulerState = new SchedulerState(1, 26, 4, List.of(new Team("t", 1e6, 0, 1e6, 0)), zones);
      taskScheduler = new TaskScheduler(schedulerState);
      for (int i = 0; i < 100; i++) {
        sendHeartbeat(schedulerState.registerMachine("n-" + i, type, 0, true, now));
      }
    }

    void sendHeartbeat(Machine machine) {
      schedulerState.processHeartbeat(
          machine,
          JobSpecBuilder.heartbeatListingAttempts(machine, ++sequence, 1, Heartbeat.State.RUNNING),
          true,
          now);
    }

    /** Fills the fleet with tasks of normal priority that have run for {@code ranMs}. */
    void fillFleet(double cpus, long ranMs) {
      int taskCount = (int) (400 / cpus);
      schedulerState.accept(JobSpecBuilder.job("job-1", taskCount, cpus).spot().build(), 5, 0, now);
      assertEquals(taskCount, taskScheduler.placeTasks(now).size());
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
      for (Machine machine : schedulerState.machines()) {
        sendHeartbeat(machine);
      }
      now += ranMs;
      schedulerState.machines().forEach(this::sendHeartbeat);
    }

    /** Submits an urgent job and runs placement for 2.5 s; returns the preemptions so far. */
    long preemptionsAfterUrgentJob(int tasks) {
      schedulerState.accept(
          JobSpecBuilder.job("job-2" + ++sequence, tasks, 1).priority(1).spot().build(), 5, 0, now);
      for (int i = 0; i < 5; i++) {
        now += 500;
        schedulerState.machines().forEach(this::sendHeartbeat);
        taskScheduler.placeTasks(now);
      }
      return taskScheduler.preemptionCount();
    }
  }

  private interface TestBody {
    void run(TestCluster cluster);
  }

  private static DynamicTest testCase(String name, TestBody test) {
    return DynamicTest.dynamicTest(name, () -> test.run(new TestCluster()));
  }

  @TestFactory
  Stream<DynamicTest> preemption() {
    return Stream.of(
        testCase(
            "a few urgent tasks preempt nothing when enough running tasks end soon",
            cluster -> {
              cluster.fillFleet(1, 40_000);
              assertEquals(0, cluster.preemptionsAfterUrgentJob(20));
            }),
        testCase(
            "urgent tasks preempt tasks that have just started, which do not end soon",
            cluster -> {
              cluster.fillFleet(1, 2_000);
              assertEquals(20, cluster.preemptionsAfterUrgentJob(20));
            }),
        testCase(
            "urgent tasks preempt only as many tasks as are missing besides those that end soon",
            cluster -> {
              cluster.fillFleet(1, 40_000);
              long preemptions = cluster.preemptionsAfterUrgentJob(100);
              assertTrue(preemptions >= 40 && preemptions <= 90, "preemptions: " + preemptions);
            }),
        testCase(
            "capacity that is claimed by a job ahead in the queue is not counted again",
            cluster -> {
              cluster.fillFleet(1, 40_000);
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-0", 30, 1).priority(0).spot().build(), 5, 0, cluster.now);
              long preemptions = cluster.preemptionsAfterUrgentJob(30);
              assertTrue(preemptions >= 25 && preemptions <= 50, "preemptions: " + preemptions);
            }),
        testCase(
            "a task that was started four times is preempted only by a critical job",
            cluster -> {
              Job job =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 100, 4).spot().build(), 5, 0, cluster.now);
              for (int task = 0; task < 100; task++) {
                cluster.schedulerState.restoreAttempt(
                    job, task, 4, cluster.schedulerState.machine("n-" + task), 1, cluster.now);
              }
              cluster.schedulerState.finishRestore(job, cluster.now);
              cluster.schedulerState.machines().forEach(cluster::sendHeartbeat);
              assertEquals(0, cluster.preemptionsAfterUrgentJob(20));
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-0", 8, 1).priority(0).spot().build(), 5, 0, cluster.now);
              assertEquals(2, cluster.preemptionsAfterUrgentJob(1));
            }),
        testCase(
            "expected ends of small tasks on different machines are no room for a large task",
            cluster -> {
              cluster.fillFleet(1, 40_000);
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-3", 1, 4).priority(1).spot().build(), 5, 0, cluster.now);
              assertEquals(4, cluster.preemptionsAfterUrgentJob(1));
            }));
  }
}
