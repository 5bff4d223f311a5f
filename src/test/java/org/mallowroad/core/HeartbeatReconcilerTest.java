package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Commands that are sent directly, and how fencing tokens keep a late one from doing harm. */
final class HeartbeatReconcilerTest {
  @TestFactory
  Stream<DynamicTest> directCommands() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a launch is sent directly once, and only to a worker that has seen this term's token",
            cluster -> {
              Machine old =
                  cluster.schedulerState.registerMachine(
                      "n-2", cluster.type, 0, false, cluster.now);
              cluster.heartbeat(old, 1, SchedulerFixture.TERM - 1);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, old);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(old, true, cluster.now));
              Machine m = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-2", 1, 1), 0, m);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, false, cluster.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-2", 0, 1, 0)),
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, true, cluster.now));
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, true, cluster.now));
            }),
        SchedulerFixture.testCase(
            "an exit is not cleared while a launch of the attempt may still arrive",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              List<WorkerCommand> sent =
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, true, cluster.now);
              Heartbeat.Entry exit = SchedulerFixture.entry(a, Heartbeat.State.EXITED, "done");
              cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit);
              cluster.commit();
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
              cluster.schedulerState.heartbeatReconciler().directCommandsAnswered(m, sent);
              // Answered or not: a copy of the launch may come, so the token rises with the clear.
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
              assertEquals(SchedulerFixture.TERM, m.fencingToken);
              cluster.now += HeartbeatReconciler.TOKEN_RAISE_DELAY_MS;
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
              assertEquals(SchedulerFixture.TERM + 1, m.fencingToken);
            }),
        SchedulerFixture.testCase(
            "many exits that wait for a higher token raise it at once",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", HeartbeatReconciler.TOKEN_RAISE_EXITS, 0.1);
              Heartbeat.Entry[] exits = new Heartbeat.Entry[HeartbeatReconciler.TOKEN_RAISE_EXITS];
              for (int t = 0; t < exits.length; t++) {
                exits[t] =
                    SchedulerFixture.entry(
                        cluster.startCommitted(j, t, m), Heartbeat.State.EXITED, "done");
              }
              cluster.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, cluster.now);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM, exits);
              cluster.commit();
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM, exits));
              assertEquals(
                  exits.length, cluster.heartbeat(m, 1, SchedulerFixture.TERM, exits).size());
              assertEquals(SchedulerFixture.TERM + 1, m.fencingToken);
            }),
        SchedulerFixture.testCase(
            "an attempt launched only in responses is cleared at once, and the token stays",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Attempt a = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              Heartbeat.Entry exit = SchedulerFixture.entry(a, Heartbeat.State.EXITED, "done");
              cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit);
              cluster.commit();
              assertEquals(1, cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit).size());
              assertEquals(SchedulerFixture.TERM, m.fencingToken);
            }),
        SchedulerFixture.testCase(
            "a cancelled launch in flight raises the token, and is gone once the worker has seen it",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              cluster.startCommitted(j, 0, m);
              cluster.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, cluster.now);
              cluster.schedulerState.cancel(j, cluster.now);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              assertEquals(SchedulerFixture.TERM + 1, m.fencingToken);
              assertFalse(j.isFinished());
              cluster.heartbeat(m, 1, SchedulerFixture.TERM + 1);
              assertTrue(j.isFinished());
            }),
        SchedulerFixture.testCase(
            "at the last token of the term launches go in responses only",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              m.fencingToken = FencingTokens.last(SchedulerFixture.TERM);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              assertEquals(
                  List.of(),
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, true, cluster.now));
              assertEquals(1, cluster.heartbeat(m, 1, SchedulerFixture.TERM).size());
            }),
        SchedulerFixture.testCase(
            "a cancelled attempt with a launch in flight counts until its machine is deleted",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, cluster.now);
              cluster.schedulerState.cancel(j, cluster.now);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.READY, a.phase);
              assertFalse(
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .needsDeletionToFence(m, cluster.now));
              cluster.now += 9_000;
              assertTrue(
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .needsDeletionToFence(m, cluster.now));
              cluster.schedulerState.machineDeleted(m, cluster.now);
              assertTrue(j.isFinished());
            }),
        SchedulerFixture.testCase(
            "a later incarnation fences a launch in flight",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, cluster.now);
              cluster.heartbeat(m, 2, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertTrue(m.unfencedLaunches.isEmpty());
            }),
        SchedulerFixture.testCase(
            "a launch refused as a whole is sent again in the next response",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              List<WorkerCommand> sent =
                  cluster
                      .schedulerState
                      .heartbeatReconciler()
                      .takeDirectCommands(m, true, cluster.now);
              cluster.schedulerState.heartbeatReconciler().directCommandsAnswered(m, sent);
              assertEquals(sent, cluster.heartbeat(m, 1, SchedulerFixture.TERM));
            }));
  }
}
