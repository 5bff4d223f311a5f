package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Each proof that an attempt is gone, with the case that looks like it and proves nothing. */
final class AttemptTrackerTest {
  @TestFactory
  Stream<DynamicTest> proofsThatAnAttemptIsGone() {
    return Stream.of(
        SchedulerFixture.testCase(
            "an exit frees the attempt but is cleared only once committed",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              Heartbeat.Entry exit = SchedulerFixture.entry(a, Heartbeat.State.EXITED, "done");
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
              assertTrue(j.isTaskDone(0));
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
              cluster.commit();
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  cluster.heartbeat(m, 1, SchedulerFixture.TERM, exit));
            }),
        SchedulerFixture.testCase(
            "a heartbeat older than the newest one seen is dropped",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Attempt a = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              cluster.heartbeatWithSequence(
                  m,
                  1,
                  50,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              assertNull(cluster.heartbeatWithSequence(m, 1, 49, SchedulerFixture.TERM));
              assertEquals(Attempt.Phase.RUNNING, a.phase);
            }),
        SchedulerFixture.testCase(
            "a heartbeat without the task proves nothing before the worker has seen this term's token",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.schedulerState.cancel(j, cluster.now);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM - 1);
              assertEquals(Attempt.Phase.READY, a.phase);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
            }),
        SchedulerFixture.testCase(
            "a later incarnation proves all attempts of earlier ones gone",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.heartbeat(m, 2, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertTrue(j.hasStartableTasks());
            }),
        SchedulerFixture.testCase(
            "an expired lease proves tasks gone only if the worker had seen this term's token",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Machine old =
                  cluster.schedulerState.registerMachine(
                      "n-2", cluster.type, 0, false, cluster.now);
              cluster.heartbeat(old, 1, SchedulerFixture.TERM - 1);
              Job j = cluster.job("job-1", 2, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              Attempt b = cluster.startCommitted(j, 1, old);
              cluster.now += 20_000;
              cluster.schedulerState.expireLeases(cluster.now);
              assertEquals(Attempt.Phase.READY, a.phase);
              cluster.now += 1_000;
              cluster.schedulerState.expireLeases(cluster.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertEquals(Attempt.Phase.READY, b.phase);
            }),
        SchedulerFixture.testCase(
            "a deleted machine frees its tasks and is never registered again",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Attempt a = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              cluster.schedulerState.machineDeleted(m, cluster.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertNull(
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a cancelled job is stopped, starts nothing and counts until it is proven gone",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 4);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.cancel(j, cluster.now);
              assertEquals(
                  StartRefusal.JOB_NOT_ELIGIBLE,
                  cluster.schedulerState.startRefusal(j, 1, m, cluster.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 0)),
                  cluster.heartbeat(
                      m,
                      1,
                      SchedulerFixture.TERM,
                      SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null)));
              assertEquals(4, cluster.schedulerState.team(j.spec).usedCpus());
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.EXITED, "stopped"));
              assertEquals(0, cluster.schedulerState.team(j.spec).usedCpus());
              assertTrue(j.isFinished());
            }),
        SchedulerFixture.testCase(
            "a start cancelled while its commit was under way is never launched",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.schedulerState.start(j, 0, m, cluster.now);
              AttemptRecord c = j.attemptRecord(0);
              long changes = c.changeCount;
              cluster.schedulerState.cancel(j, cluster.now);
              cluster.schedulerState.recordCommitted(c, 9, changes, List.of(a), cluster.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "an attempt that no record knows is stopped, then cleared",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Heartbeat.Entry e = new Heartbeat.Entry("job-9", 0, 3, Heartbeat.State.RUNNING, null);
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-9", 0, 3, 0)),
                  cluster.heartbeat(m, 1, SchedulerFixture.TERM, e));
            }),
        SchedulerFixture.testCase(
            "a job that fails everywhere backs off ever longer",
            cluster -> {
              Job j = cluster.job("job-1", 1, 1);
              long last = 0;
              for (int i = 1; i <= 4; i++) {
                Machine m = cluster.machine("n-" + i, 0);
                Attempt a = cluster.startCommitted(j, 0, m);
                cluster.heartbeat(
                    m,
                    1,
                    SchedulerFixture.TERM,
                    SchedulerFixture.entry(a, Heartbeat.State.EXITED, "error"));
                assertTrue(j.retryNotBeforeMs - cluster.now > last);
                last = j.retryNotBeforeMs - cluster.now;
              }
            }),
        SchedulerFixture.testCase(
            "attempt numbers of a restored task go on from the highest recorded one",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 1);
              cluster.schedulerState.restoreRecord(j.attemptRecord(0), 3, new BitSet(), 6);
              assertEquals(7, cluster.startCommitted(j, 0, m).number);
            }),
        SchedulerFixture.testCase(
            "a restored attempt counts, and heartbeats of earlier incarnations are dropped",
            cluster -> {
              Machine m =
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now);
              Job j = cluster.job("job-1", 1, 1);
              cluster.schedulerState.restoreAttempt(j, 0, 2, m, 4, cluster.now);
              assertEquals(1, cluster.schedulerState.team(j.spec).usedCpus());
              assertNull(cluster.heartbeatWithSequence(m, 3, 100, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a heartbeat proves restored attempts of earlier incarnations gone, also where a later one is known",
            cluster -> {
              Machine m =
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now);
              Job j = cluster.job("job-1", 2, 1);
              cluster.schedulerState.restoreAttempt(j, 0, 1, m, 1, cluster.now);
              cluster.schedulerState.restoreAttempt(j, 1, 1, m, 2, cluster.now);
              cluster.schedulerState.finishRestore(j, cluster.now);
              cluster.heartbeatWithSequence(m, 2, 100, SchedulerFixture.TERM - 1);
              assertEquals(1, cluster.schedulerState.team(j.spec).usedCpus());
              assertEquals(1, j.pendingTaskCount());
            }));
  }
}
