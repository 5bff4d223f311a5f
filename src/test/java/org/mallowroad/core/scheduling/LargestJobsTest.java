package org.mallowroad.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.dependency.JobDependencies;

/** The largest jobs, and those with large images, begin within four minutes as the others do. */
final class LargestJobsTest {
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.4, 30, new int[] {0});
  private final List<Team> teams =
      List.of(new Team("large", 4, 0, 400, 0), new Team("small", 400, 0, 400, 0));
  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private long now = 1_000_000;
  private long sequence;

  LargestJobsTest() {
    zones.intern("a");
    schedulerState = new SchedulerState(1, 900, 600, teams, zones);
    placement = new TaskScheduler(schedulerState);
  }

  private Job job(String id, int team, int tasks, double gb, double estimate) {
    JobSpec s =
        new JobSpec(
            id,
            0,
            team,
            false,
            false,
            2,
            tasks,
            4,
            0,
            1,
            0,
            gb,
            null,
            -1,
            false,
            false,
            true,
            estimate,
            0,
            0,
            0,
            now,
            JobDependencies.NONE);
    return schedulerState.accept(s, 5, 0, now);
  }

  private Machine machine(String name) {
    Machine m = schedulerState.registerMachine(name, type, 0, false, now);
    schedulerState.processHeartbeat(
        m,
        JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 1, Heartbeat.State.RUNNING),
        true,
        now);
    return m;
  }

  private List<String> order() {
    List<String> out = new ArrayList<>();
    placement.queue(now).forEach(j -> out.add(j.spec.id()));
    return out;
  }

  @Test
  void whatHasWaitedLongGoesBeforeGuaranteedWorkOfItsRankAndIsNotStoppedForIt() {
    Machine m = machine("n-1");
    Job large = job("job-1", 0, 50, 1, 60);
    now += 100_000;
    job("job-2", 1, 1, 1, 60);
    assertEquals(List.of("job-2", "job-1"), order());
    now += 90_000;
    assertEquals(List.of("job-1", "job-2"), order());
    placement.placeTasks(now);
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    schedulerState.processHeartbeat(
        m,
        JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 1, Heartbeat.State.RUNNING),
        true,
        now);
    assertEquals(1, large.liveAttemptCount());
    for (int i = 0; i < 20; i++) {
      now += 1_000;
      placement.placeTasks(now);
    }
    // Stopped, it would take the room again at once: the two stopped each other 3,713 times.
    assertFalse(large.liveAttempt(0).isStopping());
    assertEquals(0, placement.preemptionCount());
  }

  @Test
  void anImageThatTakesLongBesideItsRunIsDueSooner() {
    machine("n-1");
    job("job-1", 0, 50, 1, 60);
    now += 50_000;
    job("job-2", 0, 50, 20, 30);
    job("job-3", 0, 50, 20, 60);
    assertEquals(List.of("job-2", "job-1", "job-3"), order());
  }

  @Test
  void aJobHasBegunWhenAsMuchAsItsTeamsLimitAllowsIsUnderWay() {
    Job j = job("job-1", 1, 150, 1, 60);
    for (int i = 0; i < 100; i++) {
      assertEquals(-1, j.fullyPlacedMs());
      machine("n-" + i);
      placement.placeTasks(now);
    }
    assertEquals(100, j.liveAttemptCount());
    assertTrue(j.fullyPlacedMs() == now, "400 CPUs are the limit, 4 each");
  }
}
