package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests direct commands and their fencing. The network may delay or duplicate a direct command; a
 * late launch must not start an attempt again after its exit was cleared.
 */
final class HeartbeatReconcilerTest {
  @TestFactory
  Stream<DynamicTest> lateDirectCommandsAreFenced() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a launch is sent directly once, and only to a worker that has seen this term's token",
            cluster -> {
              Machine staleWorker =
                  cluster.schedulerState.registerMachine(
                      "n-2", cluster.type, 0, false, cluster.now);
              cluster.heartbeat(staleWorker, 1, SchedulerFixture.TERM - 1);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, staleWorker);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(staleWorker, true, cluster.now));
              Machine machine = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-2", 1, 1), 0, machine);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(machine, false, cluster.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-2", 0, 1, 0)),
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(machine, true, cluster.now));
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(machine, true, cluster.now));
            }),
        SchedulerFixture.testCase(
            "an exit is not cleared while a launch of the attempt may still arrive",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster
                  .schedulerState
                  .directCommandPlanner()
                  .takeCommands(machine, true, cluster.now);
              Heartbeat.Entry exit =
                  SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "done");
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit);
              cluster.commit();
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
              cluster.commandResponse(machine, 1, SchedulerFixture.TERM, exit);
              // A duplicate of the answered launch may still arrive; the clear needs a higher
              // token.
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
              assertEquals(SchedulerFixture.TERM, machine.fencingToken);
              cluster.now += HeartbeatReconciler.TOKEN_RAISE_DELAY_MS;
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
              assertEquals(SchedulerFixture.TERM + 1, machine.fencingToken);
            }),
        SchedulerFixture.testCase(
            "many exits that wait for a higher token raise it without delay",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", HeartbeatReconciler.TOKEN_RAISE_EXIT_COUNT, 0.1);
              Heartbeat.Entry[] exits =
                  new Heartbeat.Entry[HeartbeatReconciler.TOKEN_RAISE_EXIT_COUNT];
              for (int task = 0; task < exits.length; task++) {
                exits[task] =
                    SchedulerFixture.entry(
                        cluster.startCommitted(job, task, machine), Heartbeat.State.EXITED, "done");
              }
              cluster
                  .schedulerState
                  .directCommandPlanner()
                  .takeCommands(machine, true, cluster.now);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exits);
              cluster.commit();
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exits));
              assertEquals(
                  exits.length, cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exits).size());
              assertEquals(SchedulerFixture.TERM + 1, machine.fencingToken);
            }),
        SchedulerFixture.testCase(
            "an attempt launched only in responses is cleared at once without raising the token",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              Heartbeat.Entry exit =
                  SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "done");
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit);
              cluster.commit();
              assertEquals(1, cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit).size());
              assertEquals(SchedulerFixture.TERM, machine.fencingToken);
            }),
        SchedulerFixture.testCase(
            "a cancelled launch in flight raises the token; the attempt is gone once the worker has seen it",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              cluster.startCommitted(job, 0, machine);
              cluster
                  .schedulerState
                  .directCommandPlanner()
                  .takeCommands(machine, true, cluster.now);
              cluster.schedulerState.cancel(job, cluster.now);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              assertEquals(SchedulerFixture.TERM + 1, machine.fencingToken);
              assertFalse(job.isFinished());
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM + 1);
              assertTrue(job.isFinished());
            }),
        SchedulerFixture.testCase(
            "at the last token of the term, launches are sent in responses only",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              machine.fencingToken = FencingTokens.last(SchedulerFixture.TERM);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(machine, true, cluster.now));
              assertEquals(1, cluster.heartbeat(machine, 1, SchedulerFixture.TERM).size());
            }),
        SchedulerFixture.testCase(
            "a cancelled attempt with a launch in flight counts until its machine is deleted",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster
                  .schedulerState
                  .directCommandPlanner()
                  .takeCommands(machine, true, cluster.now);
              cluster.schedulerState.cancel(job, cluster.now);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.READY, attempt.phase);
              assertFalse(
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .needsDeletionToFence(machine, cluster.now));
              cluster.now += 9_000;
              assertTrue(
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .needsDeletionToFence(machine, cluster.now));
              cluster.schedulerState.machineDeleted(machine, cluster.now);
              assertTrue(job.isFinished());
            }),
        SchedulerFixture.testCase(
            "a later incarnation fences a launch in flight",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster
                  .schedulerState
                  .directCommandPlanner()
                  .takeCommands(machine, true, cluster.now);
              cluster.heartbeat(machine, 2, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertTrue(machine.unfencedLaunches.isEmpty());
            }),
        SchedulerFixture.testCase(
            "a launch whose direct command was rejected as a whole is resent in the next response",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              List<WorkerCommand> sent =
                  cluster
                      .schedulerState
                      .directCommandPlanner()
                      .takeCommands(machine, true, cluster.now);
              cluster.commandResponse(machine, 1, SchedulerFixture.TERM);
              assertEquals(sent, cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
            }));
  }
}
