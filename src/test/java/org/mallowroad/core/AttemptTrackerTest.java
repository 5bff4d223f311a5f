package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests each proof that an attempt is gone, and similar evidence that proves nothing. An attempt
 * that is freed without proof could run twice or exceed a quota.
 */
final class AttemptTrackerTest {
  @TestFactory
  Stream<DynamicTest> attemptIsFreedOnlyOnProofThatItIsGone() {
    return Stream.of(
        SchedulerFixture.testCase(
            "an exit frees the attempt and is cleared only after it is committed",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              Heartbeat.Entry exit =
                  SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "done");
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
              assertTrue(job.isTaskDone(0));
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
              cluster.commit();
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  cluster.heartbeat(machine, 1, SchedulerFixture.TERM, exit));
            }),
        SchedulerFixture.testCase(
            "a heartbeat that is older than the newest one seen is ignored",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              cluster.heartbeatWithSequence(
                  machine,
                  1,
                  50,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              assertNull(cluster.heartbeatWithSequence(machine, 1, 49, SchedulerFixture.TERM));
              assertEquals(Attempt.Phase.RUNNING, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "a heartbeat that does not list the task proves nothing until the worker has seen this term's token",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster.schedulerState.cancel(job, cluster.now);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM - 1);
              assertEquals(Attempt.Phase.READY, attempt.phase);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "a later incarnation proves all attempts of earlier incarnations gone",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster.heartbeat(machine, 2, SchedulerFixture.TERM);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertTrue(job.hasStartableTasks());
            }),
        SchedulerFixture.testCase(
            "an expired lease proves attempts gone only if the worker had seen this term's token",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Machine staleWorker =
                  cluster.schedulerState.registerMachine(
                      "n-2", cluster.type, 0, false, cluster.now);
              cluster.heartbeat(staleWorker, 1, SchedulerFixture.TERM - 1);
              Job job = cluster.job("job-1", 2, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              Attempt attemptOnStaleWorker = cluster.startCommitted(job, 1, staleWorker);
              cluster.now += 20_000;
              cluster.schedulerState.expireLeases(cluster.now);
              assertEquals(Attempt.Phase.READY, attempt.phase);
              cluster.now += 1_000;
              cluster.schedulerState.expireLeases(cluster.now);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertEquals(Attempt.Phase.READY, attemptOnStaleWorker.phase);
            }),
        SchedulerFixture.testCase(
            "a deleted machine frees its attempts and is not registered again",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              cluster.schedulerState.machineDeleted(machine, cluster.now);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertNull(
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a cancelled job is stopped, starts no task, and counts until its attempts are proven gone",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 4);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              cluster.schedulerState.cancel(job, cluster.now);
              assertEquals(
                  StartRefusal.JOB_NOT_ELIGIBLE,
                  cluster.schedulerState.startRefusal(job, 1, machine, cluster.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 0)),
                  cluster.heartbeat(
                      machine,
                      1,
                      SchedulerFixture.TERM,
                      SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null)));
              assertEquals(4, cluster.schedulerState.team(job.spec).usedCpus());
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "stopped"));
              assertEquals(0, cluster.schedulerState.team(job.spec).usedCpus());
              assertTrue(job.isFinished());
            }),
        SchedulerFixture.testCase(
            "a start that is cancelled during its commit is never launched",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.schedulerState.start(job, 0, machine, cluster.now);
              AttemptRecord attemptRecord = job.attemptRecord(0);
              long changeCount = attemptRecord.changeCount;
              cluster.schedulerState.cancel(job, cluster.now);
              cluster.schedulerState.recordCommitted(
                  attemptRecord, 9, changeCount, List.of(attempt), cluster.now);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "an attempt without a record is stopped",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Heartbeat.Entry entry =
                  new Heartbeat.Entry("job-9", 0, 3, Heartbeat.State.RUNNING, null);
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-9", 0, 3, 0)),
                  cluster.heartbeat(machine, 1, SchedulerFixture.TERM, entry));
            }),
        SchedulerFixture.testCase(
            "a job that fails on every machine backs off for increasing times",
            cluster -> {
              Job job = cluster.job("job-1", 1, 1);
              long previousDelayMs = 0;
              for (int i = 1; i <= 4; i++) {
                Machine machine = cluster.machine("n-" + i, 0);
                Attempt attempt = cluster.startCommitted(job, 0, machine);
                cluster.heartbeat(
                    machine,
                    1,
                    SchedulerFixture.TERM,
                    SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "error"));
                assertTrue(job.retryNotBeforeMs - cluster.now > previousDelayMs);
                previousDelayMs = job.retryNotBeforeMs - cluster.now;
              }
            }),
        SchedulerFixture.testCase(
            "the next attempt number of a restored task follows the highest recorded one",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 1);
              cluster.schedulerState.restoreRecord(job.attemptRecord(0), 3, new BitSet(), 6);
              assertEquals(7, cluster.startCommitted(job, 0, machine).number);
            }),
        SchedulerFixture.testCase(
            "a restored attempt counts, and heartbeats of earlier incarnations are ignored",
            cluster -> {
              Machine machine =
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now);
              Job job = cluster.job("job-1", 1, 1);
              cluster.schedulerState.restoreAttempt(job, 0, 2, machine, 4, cluster.now);
              assertEquals(1, cluster.schedulerState.team(job.spec).usedCpus());
              assertNull(cluster.heartbeatWithSequence(machine, 3, 100, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a heartbeat proves restored attempts of earlier incarnations gone even if its incarnation is already known",
            cluster -> {
              Machine machine =
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now);
              Job job = cluster.job("job-1", 2, 1);
              cluster.schedulerState.restoreAttempt(job, 0, 1, machine, 1, cluster.now);
              cluster.schedulerState.restoreAttempt(job, 1, 1, machine, 2, cluster.now);
              cluster.schedulerState.finishRestore(job, cluster.now);
              cluster.heartbeatWithSequence(machine, 2, 100, SchedulerFixture.TERM - 1);
              assertEquals(1, cluster.schedulerState.team(job.spec).usedCpus());
              assertEquals(1, job.pendingTaskCount());
            }));
  }
}
