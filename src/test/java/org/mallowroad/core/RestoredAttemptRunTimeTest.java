package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A new leader sees only the last part of the run of a restored attempt. When these short run times
 * were used as samples, machines with ordinary run times were suspected to be slow
 * (docs/incidents/2026-12-01-slow-after-a-takeover.md).
 */
final class RestoredAttemptRunTimeTest {
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t8", 8, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0});
  private long sequence;

  private Machine sendHeartbeat(
      SchedulerState schedulerState, Machine machine, Heartbeat.State state, long now) {
    schedulerState.processHeartbeat(
        machine, JobSpecBuilder.heartbeatListingAttempts(machine, ++sequence, 2, state), true, now);
    return machine;
  }

  @Test
  void runTimesOfRestoredAttemptsMakeNoMachineSuspect() {
    zones.intern("a");
    SchedulerState schedulerState =
        new SchedulerState(2, 26, 4, List.of(new Team("t", 1e6, 0, 1e6, 0)), zones);
    long now = 1_000_000;
    Job job = schedulerState.accept(JobSpecBuilder.job("job-1", 80, 1).spot().build(), 5, 0, now);
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      machines.add(schedulerState.registerMachine("n-" + i, type, 0, true, now));
    }
    for (int task = 0; task < 40; task++) {
      schedulerState.restoreAttempt(job, task, 1, machines.get(task / 8), 1, now);
    }
    schedulerState.finishRestore(job, now);
    for (Machine machine : machines) {
      sendHeartbeat(schedulerState, machine, Heartbeat.State.RUNNING, now);
    }
    // The restored tasks end one second after the failover; the others run for the usual 60 s.
    for (int task = 40; task < 80; task++) {
      schedulerState.start(job, task, machines.get(task / 8), now);
    }
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    for (int i = 5; i < 10; i++) {
      sendHeartbeat(schedulerState, machines.get(i), Heartbeat.State.RUNNING, now);
    }
    for (int i = 0; i < 5; i++) {
      sendHeartbeat(schedulerState, machines.get(i), Heartbeat.State.EXITED, now + 1_000);
    }
    for (int i = 5; i < 10; i++) {
      sendHeartbeat(schedulerState, machines.get(i), Heartbeat.State.EXITED, now + 60_000);
    }
    assertEquals(80, job.doneTaskCount());
    assertEquals(0, schedulerState.health().stragglerDetector().suspectCount());
    assertEquals(0, schedulerState.health().stragglerDetector().refusedSuspicionCount());
  }
}
