package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** docs/incidents/2026-12-01-slow-after-a-takeover.md: half seen runs are no measure of speed. */
final class FailoverPaceTest {
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t8", 8, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0});
  private long sequence;

  private Machine report(
      SchedulerState schedulerState, Machine m, Heartbeat.State state, long now) {
    schedulerState.processHeartbeat(
        m, JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 2, state), true, now);
    return m;
  }

  @Test
  void whatAnEarlierLeaderBeganMakesNobodySlow() {
    zones.intern("a");
    SchedulerState schedulerState =
        new SchedulerState(2, 26, 4, List.of(new Team("t", 1e6, 0, 1e6, 0)), zones);
    long now = 1_000_000;
    Job job = schedulerState.accept(JobSpecBuilder.job("job-1", 80, 1).spot().build(), 5, 0, now);
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      machines.add(schedulerState.registerMachine("n-" + i, type, 0, true, now));
    }
    for (int t = 0; t < 40; t++) {
      schedulerState.restoreAttempt(job, t, 1, machines.get(t / 8), 1, now);
    }
    schedulerState.finishRestore(job, now);
    for (Machine m : machines) {
      report(schedulerState, m, Heartbeat.State.RUNNING, now);
    }
    // The restored half ends a second after the takeover, the other half runs its ordinary minute.
    for (int t = 40; t < 80; t++) {
      schedulerState.start(job, t, machines.get(t / 8), now);
    }
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    for (int i = 5; i < 10; i++) {
      report(schedulerState, machines.get(i), Heartbeat.State.RUNNING, now);
    }
    for (int i = 0; i < 5; i++) {
      report(schedulerState, machines.get(i), Heartbeat.State.EXITED, now + 1_000);
    }
    for (int i = 5; i < 10; i++) {
      report(schedulerState, machines.get(i), Heartbeat.State.EXITED, now + 60_000);
    }
    assertEquals(80, job.doneTaskCount());
    assertEquals(0, schedulerState.health().stragglerDetector().suspectCount());
    assertEquals(0, schedulerState.health().stragglerDetector().refusedSuspicionCount());
  }
}
