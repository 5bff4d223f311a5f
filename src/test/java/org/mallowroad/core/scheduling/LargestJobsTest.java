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

/**
 * Job order and start times of large jobs and of jobs with large images. Both kinds would otherwise
 * start later than the start target of four minutes: large jobs exceed their teams' guarantees, and
 * large images take long to fetch.
 */
final class LargestJobsTest {
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.4, 30, new int[] {0});
  private final List<Team> teams =
      List.of(new Team("large", 4, 0, 400, 0), new Team("small", 400, 0, 400, 0));
  private final SchedulerState schedulerState;
  private final TaskScheduler taskScheduler;
  private long now = 1_000_000;
  private long sequence;

  LargestJobsTest() {
    zones.intern("a");
    schedulerState = new SchedulerState(1, 900, 600, teams, zones);
    taskScheduler = new TaskScheduler(schedulerState);
  }

  private Job submitJob(String id, int team, int tasks, double imageGb, double estimateS) {
    JobSpec spec =
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
            imageGb,
            null,
            -1,
            false,
            false,
            true,
            estimateS,
            0,
            0,
            0,
            now,
            JobDependencies.NONE);
    return schedulerState.accept(spec, 5, 0, now);
  }

  private Machine addMachine(String name) {
    Machine machine = schedulerState.registerMachine(name, type, 0, false, now);
    schedulerState.processHeartbeat(
        machine,
        JobSpecBuilder.heartbeatListingAttempts(machine, ++sequence, 1, Heartbeat.State.RUNNING),
        true,
        now);
    return machine;
  }

  private List<String> queuedJobIds() {
    List<String> ids = new ArrayList<>();
    taskScheduler.queue(now).forEach(job -> ids.add(job.spec.id()));
    return ids;
  }

  @Test
  void agedJobIsAheadOfGuaranteedJobAndIsNotPreemptedForIt() {
    Machine machine = addMachine("n-1");
    Job agedJob = submitJob("job-1", 0, 50, 1, 60);
    now += 100_000;
    submitJob("job-2", 1, 1, 1, 60);
    assertEquals(List.of("job-2", "job-1"), queuedJobIds());
    now += 90_000;
    assertEquals(List.of("job-1", "job-2"), queuedJobIds());
    taskScheduler.placeTasks(now);
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    schedulerState.processHeartbeat(
        machine,
        JobSpecBuilder.heartbeatListingAttempts(machine, ++sequence, 1, Heartbeat.State.RUNNING),
        true,
        now);
    assertEquals(1, agedJob.liveAttemptCount());
    for (int i = 0; i < 20; i++) {
      now += 1_000;
      taskScheduler.placeTasks(now);
    }
    // An aged job that is preempted gets the room back in the next pass: when this was allowed, the
    // two jobs preempted each other 3,713 times.
    assertFalse(agedJob.liveAttempt(0).isStopping());
    assertEquals(0, taskScheduler.preemptionCount());
  }

  @Test
  void jobWithSlowImageFetchIsDueEarlier() {
    addMachine("n-1");
    submitJob("job-1", 0, 50, 1, 60);
    now += 50_000;
    submitJob("job-2", 0, 50, 20, 30);
    submitJob("job-3", 0, 50, 20, 60);
    assertEquals(List.of("job-2", "job-1", "job-3"), queuedJobIds());
  }

  @Test
  void jobHasBegunOnceAsManyTasksAsTheTeamLimitAllowsAreStarted() {
    Job job = submitJob("job-1", 1, 150, 1, 60);
    for (int i = 0; i < 100; i++) {
      assertEquals(-1, job.fullyPlacedMs());
      addMachine("n-" + i);
      taskScheduler.placeTasks(now);
    }
    assertEquals(100, job.liveAttemptCount());
    assertTrue(job.fullyPlacedMs() == now, "the limit is 400 CPUs, and each task uses 4");
  }
}
