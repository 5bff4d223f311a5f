package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Each rule of a start with the case that it refuses, and what a start leads to. */
final class StartAdmissionTest {
  @TestFactory
  Stream<DynamicTest> startRules() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a start that is not committed is not launched",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.schedulerState.start(cluster.job("job-1", 1, 1), 0, m, cluster.now);
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a job that had ended, and was placed again from an outdated list, starts nothing",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 1);
              Attempt recording = cluster.schedulerState.start(j, 0, m, cluster.now);
              cluster.schedulerState.markEnded(j, cluster.now);
              assertEquals(Attempt.Phase.GONE, recording.phase);
              assertTrue(j.isFinished());
              assertEquals(List.of(), cluster.heartbeat(m, 1, SchedulerFixture.TERM));
              Attempt launched = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, m);
              cluster.schedulerState.markEnded(launched.job, cluster.now);
              assertTrue(launched.isStopping());
            }),
        SchedulerFixture.testCase(
            "a lost launch is sent again as the same attempt",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              WorkerCommand launch = new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0);
              assertEquals(List.of(launch), cluster.heartbeat(m, 1, SchedulerFixture.TERM));
              assertEquals(List.of(launch), cluster.heartbeat(m, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a leader without state launches nothing",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, m);
              Heartbeat r =
                  new Heartbeat(
                      "n-1", "h:1", "t4", "a", false, 1, 99, SchedulerFixture.TERM, -1, List.of());
              assertEquals(
                  List.of(), cluster.schedulerState.processHeartbeat(m, r, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a limit of 0 is none: a guest team without a guarantee runs",
            cluster -> {
              Team guest = new Team("guest", 0, 0, 0, 0);
              JobSpec s = JobSpecBuilder.job("job-1", 900, 32).build();
              assertTrue(guest.canEverRun(s, 900));
              assertTrue(guest.isWithinLimit(s, 900));
              assertFalse(guest.staysWithinGuarantee(s));
              assertEquals(900, guest.maxAdditionalTasks(s, 900));
            }),
        SchedulerFixture.testCase(
            "launches not taken in three heartbeats make a machine unreachable, until one is acknowledged",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 2, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              for (int i = 0; i < 4; i++) {
                cluster.heartbeat(m, 1, SchedulerFixture.TERM);
                cluster.now += 2_500;
              }
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.machineRefusal(m, cluster.now));
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.startRefusal(j, 1, m, cluster.now));
              // Stopped, it is gone with the next report that does not list it.
              cluster.schedulerState.requestStop(a, 0, cluster.now);
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              assertNull(j.liveAttempt(0));
              cluster.now += 10_000;
              cluster.heartbeat(m, 1, SchedulerFixture.TERM);
              assertTrue(
                  m.fencingToken > SchedulerFixture.TERM,
                  "told something that shows whether it hears");
              cluster.heartbeat(m, 1, m.fencingToken);
              assertNull(cluster.schedulerState.machineRefusal(m, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a session lost although its heartbeats were answered means unreachable; a hung one does not",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.now += 4_000;
              cluster.heartbeat(m, 2, SchedulerFixture.TERM);
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.machineRefusal(m, cluster.now));
              Machine n = cluster.machine("n-2", 0);
              cluster.now += 25_000;
              cluster.heartbeat(n, 2, SchedulerFixture.TERM);
              assertNull(cluster.schedulerState.machineRefusal(n, cluster.now));
            }),
        SchedulerFixture.testCase(
            "late duplicates of heartbeats change nothing, whatever they say and whenever they come",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job j = cluster.job("job-1", 1, 1);
              Attempt a = cluster.startCommitted(j, 0, m);
              cluster.heartbeat(
                  m,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(a, Heartbeat.State.RUNNING, null));
              long heard = m.lastHeartbeatMs;
              cluster.now += 40_000;
              assertNull(
                  cluster.heartbeatWithSequence(m, 1, cluster.sequence - 1, SchedulerFixture.TERM));
              assertNull(
                  cluster.heartbeatWithSequence(
                      m,
                      1,
                      cluster.sequence,
                      SchedulerFixture.TERM,
                      SchedulerFixture.entry(a, Heartbeat.State.EXITED, "done")));
              assertEquals(Attempt.Phase.RUNNING, a.phase);
              assertEquals(heard, m.lastHeartbeatMs);
              cluster.schedulerState.machineDeleted(m, cluster.now);
              assertNull(
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a task with an unresolved attempt does not start again",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Machine n = cluster.machine("n-2", 0);
              Job j = cluster.job("job-1", 1, 1);
              cluster.startCommitted(j, 0, m);
              assertEquals(
                  StartRefusal.TASK_NOT_PENDING,
                  cluster.schedulerState.startRefusal(j, 0, n, cluster.now));
            }),
        SchedulerFixture.testCase(
            "attempts that are not proven gone count against the team's limit",
            cluster -> {
              Job j = cluster.job("job-1", 3, 4);
              cluster.startCommitted(j, 0, cluster.machine("n-1", 0));
              cluster.startCommitted(j, 1, cluster.machine("n-2", 0));
              Machine free = cluster.machine("n-3", 0);
              assertEquals(
                  StartRefusal.QUOTA, cluster.schedulerState.startRefusal(j, 2, free, cluster.now));
              cluster.schedulerState.machineDeleted(
                  cluster.schedulerState.machine("n-1"), cluster.now);
              assertNull(cluster.schedulerState.startRefusal(j, 2, free, cluster.now));
            }),
        SchedulerFixture.testCase(
            "together keeps tasks in one zone, scatter allows half of them in a zone",
            cluster -> {
              Machine a = cluster.machine("n-1", 0);
              Machine b = cluster.machine("n-2", 1);
              Job t =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 2, 1).together().build(), 5, 0, cluster.now);
              cluster.startCommitted(t, 0, a);
              assertEquals(
                  StartRefusal.ZONE_RULES,
                  cluster.schedulerState.startRefusal(t, 1, b, cluster.now));
              Job s =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 3, 0.5).scatter().build(), 5, 0, cluster.now);
              cluster.startCommitted(s, 0, a);
              cluster.startCommitted(s, 1, a);
              assertEquals(
                  StartRefusal.ZONE_RULES,
                  cluster.schedulerState.startRefusal(s, 2, a, cluster.now));
              assertNull(cluster.schedulerState.startRefusal(s, 2, b, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a job's constraints on type, zone and spot machines are kept",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              Job z =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 1, 1).zone(1).build(), 5, 0, cluster.now);
              assertEquals(
                  StartRefusal.CONSTRAINTS,
                  cluster.schedulerState.startRefusal(z, 0, m, cluster.now));
              Machine spot =
                  cluster.schedulerState.registerMachine("n-2", cluster.type, 0, true, cluster.now);
              cluster.heartbeat(spot, 1, SchedulerFixture.TERM);
              Job o =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 1, 1).build(), 5, 0, cluster.now);
              assertEquals(
                  StartRefusal.CONSTRAINTS,
                  cluster.schedulerState.startRefusal(o, 0, spot, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a machine whose heartbeat is overdue gets no work",
            cluster -> {
              Machine m = cluster.machine("n-1", 0);
              cluster.now += 7_000;
              assertEquals(
                  StartRefusal.HEARTBEAT_OVERDUE,
                  cluster.schedulerState.startRefusal(
                      cluster.job("job-1", 1, 1), 0, m, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a gang starts with all its tasks or not at all",
            cluster -> {
              cluster.machine("n-1", 0);
              Job g =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 2, 4).gang().build(), 5, 0, cluster.now);
              assertEquals(0, cluster.taskScheduler.placeTasks(cluster.now).size());
              cluster.machine("n-2", 1);
              assertEquals(2, cluster.taskScheduler.placeTasks(cluster.now).size());
              assertFalse(g.hasStartableTasks());
            }));
  }
}
