package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Interruption notices of spot machines, and preemption by priority and by guarantee. */
final class PreemptionTest {
  @TestFactory
  Stream<DynamicTest> interruptionNotices() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a machine with an interruption notice gets no work, and its tasks save or are stopped",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job saving =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 1, 1).checkpoints(30, 4).build(),
                      5,
                      0,
                      cluster.now);
              Job other = cluster.job("job-2", 1, 1);
              Attempt a = cluster.startCommitted(saving, 0, m);
              Attempt b = cluster.startCommitted(other, 0, m);
              Heartbeat.Entry ra = SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null);
              Heartbeat.Entry rb = SchedulerFixture.entry(b, Heartbeat.State.RUNNING, null);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM, ra, rb);
              cluster.schedulerState.processHeartbeat(
                  m,
                  new Heartbeat(
                      "n-1",
                      "h:1",
                      "t4",
                      "a",
                      false,
                      1,
                      ++cluster.sequence,
                      SchedulerFixture.TERM,
                      15,
                      List.of(ra, rb)),
                  true,
                  cluster.now);
              assertEquals(
                  StartRefusal.DRAINING_OR_FAILED,
                  cluster.schedulerState.startRefusal(
                      cluster.job("job-3", 1, 1), 0, m, cluster.now));
              cluster.taskScheduler.drainInterruptedMachines(cluster.now);
              assertEquals(
                  List.of(
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 4),
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-2", 0, 1, 0)),
                  cluster.heartbeat(m, 1, SchedulerFixture.TERM, ra, rb));
            }),
        SchedulerFixture.testCase(
            "a task that is expected to end before the interruption goes on",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Attempt a = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              Heartbeat.Entry e = SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM, e);
              m.interruptionMs = cluster.now + 90_000; // Estimated at 60 s.
              cluster.taskScheduler.drainInterruptedMachines(cluster.now);
              assertFalse(a.isStopping());
            }));
  }

  @TestFactory
  Stream<DynamicTest> preemption() {
    return Stream.of(
        SchedulerFixture.testCase(
            "higher priority stops lower, never the same",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job low = cluster.job("job-1", 1, 4);
              Attempt a = cluster.startCommitted(low, 0, m);
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 1, 4).build(), 6, 0, cluster.now);
              cluster.now += 2_000;
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertFalse(a.isStopping());
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-3", 1, 4).priority(1).build(), 7, 0, cluster.now);
              cluster.now += 2_000;
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertTrue(a.isStopping());
            }),
        SchedulerFixture.testCase(
            "a guarantee stops what another team borrows at the same priority",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Machine n = cluster.machine("n-2", 0);
              Job j = cluster.job("job-1", 2, 4);
              Attempt a = cluster.startCommitted(j, 0, m);
              Attempt b = cluster.startCommitted(j, 1, n);
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.heartbeat(
                  n,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(b, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 1, 4).team(1).build(), 6, 0, cluster.now);
              cluster.now += 5_000;
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.heartbeat(
                  n,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(b, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertEquals(1, (a.isStopping() ? 1 : 0) + (b.isStopping() ? 1 : 0));
            }));
  }
}
