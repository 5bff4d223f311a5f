package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests each rule that may refuse a start, and the launches that follow an admitted start. */
final class StartAdmissionTest {
  @TestFactory
  Stream<DynamicTest> startIsRefusedByTheFirstViolatedRule() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a start that is not committed is not launched",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.schedulerState.start(cluster.job("job-1", 1, 1), 0, machine, cluster.now);
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a job that had ended and was placed again from an outdated list starts no task",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 1);
              Attempt recording = cluster.schedulerState.start(job, 0, machine, cluster.now);
              cluster.schedulerState.markEnded(job, cluster.now);
              assertEquals(Attempt.Phase.GONE, recording.phase);
              assertTrue(job.isFinished());
              assertEquals(List.of(), cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
              Attempt launched = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, machine);
              cluster.schedulerState.markEnded(launched.job, cluster.now);
              assertTrue(launched.isStopping());
            }),
        SchedulerFixture.testCase(
            "a lost launch is resent as the same attempt",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              WorkerCommand launch = new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0);
              assertEquals(List.of(launch), cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
              assertEquals(List.of(launch), cluster.heartbeat(machine, 1, SchedulerFixture.TERM));
            }),
        SchedulerFixture.testCase(
            "a leader that cannot reach the state service launches nothing",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              Heartbeat heartbeat =
                  new Heartbeat(
                      "n-1", "h:1", "t4", "a", false, 1, 99, SchedulerFixture.TERM, -1, List.of());
              assertEquals(
                  List.of(),
                  cluster.schedulerState.processHeartbeat(machine, heartbeat, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a limit of 0 means no limit: a guest team without a guarantee may run tasks",
            cluster -> {
              Team guest = new Team("guest", 0, 0, 0, 0);
              JobSpec spec = JobSpecBuilder.job("job-1", 900, 32).build();
              assertTrue(guest.canEverRun(spec, 900));
              assertTrue(guest.isWithinLimit(spec, 900));
              assertFalse(guest.staysWithinGuarantee(spec));
              assertEquals(900, guest.maxAdditionalTasks(spec, 900));
            }),
        SchedulerFixture.testCase(
            "launches missing from three heartbeats make a machine unreachable until a response is acknowledged",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 2, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              for (int i = 0; i < 4; i++) {
                cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
                cluster.now += 2_500;
              }
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.machineRefusal(machine, cluster.now));
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.startRefusal(job, 1, machine, cluster.now));
              // Once stopped, the attempt is resolved by the next heartbeat that does not list it.
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              assertNull(job.liveAttempt(0));
              cluster.now += 10_000;
              cluster.heartbeat(machine, 1, SchedulerFixture.TERM);
              assertTrue(
                  machine.fencingToken > SchedulerFixture.TERM,
                  "the token is raised to probe whether responses reach the worker");
              cluster.heartbeat(machine, 1, machine.fencingToken);
              assertNull(cluster.schedulerState.machineRefusal(machine, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a session lost although its heartbeats were answered makes a machine unreachable; a hang does not",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.now += 4_000;
              cluster.heartbeat(machine, 2, SchedulerFixture.TERM);
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE,
                  cluster.schedulerState.machineRefusal(machine, cluster.now));
              Machine hungMachine = cluster.machine("n-2", 0);
              cluster.now += 25_000;
              cluster.heartbeat(hungMachine, 2, SchedulerFixture.TERM);
              assertNull(cluster.schedulerState.machineRefusal(hungMachine, cluster.now));
            }),
        SchedulerFixture.testCase(
            "late duplicates of heartbeats change nothing, whatever their content and time of arrival",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              Attempt attempt = cluster.startCommitted(job, 0, machine);
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.RUNNING, null));
              long lastHeartbeatMs = machine.lastHeartbeatMs;
              cluster.now += 40_000;
              assertNull(
                  cluster.heartbeatWithSequence(
                      machine, 1, cluster.sequence - 1, SchedulerFixture.TERM));
              assertNull(
                  cluster.heartbeatWithSequence(
                      machine,
                      1,
                      cluster.sequence,
                      SchedulerFixture.TERM,
                      SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "done")));
              assertEquals(Attempt.Phase.RUNNING, attempt.phase);
              assertEquals(lastHeartbeatMs, machine.lastHeartbeatMs);
              cluster.schedulerState.machineDeleted(machine, cluster.now);
              assertNull(
                  cluster.schedulerState.registerMachine(
                      "n-1", cluster.type, 0, false, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a task with an unresolved attempt is not started again",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Machine otherMachine = cluster.machine("n-2", 0);
              Job job = cluster.job("job-1", 1, 1);
              cluster.startCommitted(job, 0, machine);
              assertEquals(
                  StartRefusal.TASK_NOT_PENDING,
                  cluster.schedulerState.startRefusal(job, 0, otherMachine, cluster.now));
            }),
        SchedulerFixture.testCase(
            "attempts that are not proven gone count against the team's limit",
            cluster -> {
              Job job = cluster.job("job-1", 3, 4);
              cluster.startCommitted(job, 0, cluster.machine("n-1", 0));
              cluster.startCommitted(job, 1, cluster.machine("n-2", 0));
              Machine freeMachine = cluster.machine("n-3", 0);
              assertEquals(
                  StartRefusal.QUOTA,
                  cluster.schedulerState.startRefusal(job, 2, freeMachine, cluster.now));
              cluster.schedulerState.machineDeleted(
                  cluster.schedulerState.machine("n-1"), cluster.now);
              assertNull(cluster.schedulerState.startRefusal(job, 2, freeMachine, cluster.now));
            }),
        SchedulerFixture.testCase(
            "together keeps all tasks in one zone, scatter allows at most half of them in a zone",
            cluster -> {
              Machine machineInZoneA = cluster.machine("n-1", 0);
              Machine machineInZoneB = cluster.machine("n-2", 1);
              Job togetherJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 2, 1).together().build(), 5, 0, cluster.now);
              cluster.startCommitted(togetherJob, 0, machineInZoneA);
              assertEquals(
                  StartRefusal.ZONE_RULES,
                  cluster.schedulerState.startRefusal(togetherJob, 1, machineInZoneB, cluster.now));
              Job scatterJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 3, 0.5).scatter().build(), 5, 0, cluster.now);
              cluster.startCommitted(scatterJob, 0, machineInZoneA);
              cluster.startCommitted(scatterJob, 1, machineInZoneA);
              assertEquals(
                  StartRefusal.ZONE_RULES,
                  cluster.schedulerState.startRefusal(scatterJob, 2, machineInZoneA, cluster.now));
              assertNull(
                  cluster.schedulerState.startRefusal(scatterJob, 2, machineInZoneB, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a job's constraints on zones and spot machines are respected",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job zoneJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 1, 1).zone(1).build(), 5, 0, cluster.now);
              assertEquals(
                  StartRefusal.CONSTRAINTS,
                  cluster.schedulerState.startRefusal(zoneJob, 0, machine, cluster.now));
              Machine spot =
                  cluster.schedulerState.registerMachine("n-2", cluster.type, 0, true, cluster.now);
              cluster.heartbeat(spot, 1, SchedulerFixture.TERM);
              Job onDemandJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 1, 1).build(), 5, 0, cluster.now);
              assertEquals(
                  StartRefusal.CONSTRAINTS,
                  cluster.schedulerState.startRefusal(onDemandJob, 0, spot, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a machine whose heartbeat is overdue gets no work",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.now += 7_000;
              assertEquals(
                  StartRefusal.HEARTBEAT_OVERDUE,
                  cluster.schedulerState.startRefusal(
                      cluster.job("job-1", 1, 1), 0, machine, cluster.now));
            }),
        SchedulerFixture.testCase(
            "a gang starts with all its tasks or not at all",
            cluster -> {
              cluster.machine("n-1", 0);
              Job gang =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 2, 4).gang().build(), 5, 0, cluster.now);
              assertEquals(0, cluster.taskScheduler.placeTasks(cluster.now).size());
              cluster.machine("n-2", 1);
              assertEquals(2, cluster.taskScheduler.placeTasks(cluster.now).size());
              assertFalse(gang.hasStartableTasks());
            }));
  }
}
