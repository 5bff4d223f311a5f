package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests the draining of machines with an interruption notice, and preemption by priority and by
 * guarantee.
 */
final class PreemptionTest {
  @TestFactory
  Stream<DynamicTest> interruptionNoticeDrainsTheMachine() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a machine with an interruption notice gets no work, and its tasks are checkpointed or stopped",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job checkpointingJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 1, 1).checkpoints(30, 4).build(),
                      5,
                      0,
                      cluster.now);
              Job plainJob = cluster.job("job-2", 1, 1);
              Attempt attempt = cluster.startCommitted(checkpointingJob, 0, machine);
              Attempt otherAttempt = cluster.startCommitted(plainJob, 0, machine);
              Heartbeat.Entry entry =
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null);
              Heartbeat.Entry otherEntry =
                  SchedulerFixture.entry(otherAttempt, Heartbeat.State.RUNNING, null);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM, entry, otherEntry);
              cluster.schedulerState.processHeartbeat(
                  machine,
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
                      List.of(entry, otherEntry)),
                  true,
                  cluster.now);
              assertEquals(
                  StartRefusal.DRAINING_OR_FAILED,
                  cluster.schedulerState.startRefusal(
                      cluster.job("job-3", 1, 1), 0, machine, cluster.now));
              cluster.taskScheduler.drainInterruptedMachines(cluster.now);
              assertEquals(
                  List.of(
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 4),
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-2", 0, 1, 0)),
                  cluster.heartbeat(machine, 1, SchedulerFixture.TERM, entry, otherEntry));
            }),
        SchedulerFixture.testCase(
            "a task that is expected to end before the interruption is not stopped",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              Heartbeat.Entry entry =
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM, entry);
              machine.interruptionMs = cluster.now + 90_000; // The estimated run time is 60 s.
              cluster.taskScheduler.drainInterruptedMachines(cluster.now);
              assertFalse(attempt.isStopping());
            }));
  }

  @TestFactory
  Stream<DynamicTest> preemptionFollowsPriorityAndGuarantee() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a job preempts tasks of lower priority but not of the same priority",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job runningJob = cluster.job("job-1", 1, 4);
              Attempt attempt = cluster.startCommitted(runningJob, 0, machine);
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 1, 4).build(), 6, 0, cluster.now);
              cluster.now += 2_000;
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertFalse(attempt.isStopping());
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-3", 1, 4).priority(1).build(), 7, 0, cluster.now);
              cluster.now += 2_000;
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertTrue(attempt.isStopping());
            }),
        SchedulerFixture.testCase(
            "a team within its guarantee preempts a task of the same priority of a team above its guarantee",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Machine otherMachine = cluster.machine("n-2", 0);
              Job job = cluster.job("job-1", 2, 4);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              Attempt otherAttempt = cluster.startCommitted(job, 1, otherMachine);
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.heartbeat(
                  otherMachine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(otherAttempt, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 1, 4).team(1).build(), 6, 0, cluster.now);
              cluster.now += 5_000;
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.heartbeat(
                  otherMachine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(otherAttempt, Heartbeat.State.RUNNING, null));
              cluster.taskScheduler.placeTasks(cluster.now);
              assertEquals(1, (attempt.isStopping() ? 1 : 0) + (otherAttempt.isStopping() ? 1 : 0));
            }));
  }
}
