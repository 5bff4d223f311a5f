package org.mallowroad.core.objective;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;

/** The share of due jobs that are done by class and team, and the number of counted classes. */
final class ObjectiveAttainmentTest {
  private final NameIndex classes = new NameIndex();
  private final NameIndex zones = new NameIndex();
  private final List<Team> teams = List.of(new Team("red", 8, 0, 0, 0));

  private SchedulerState newSchedulerState() {
    zones.intern("a");
    return new SchedulerState(1, 26, 4, teams, zones);
  }

  @Test
  void jobIsOverdueAfterItsDueAgeUntilItEnds() {
    classes.intern("c");
    SchedulerState schedulerState = newSchedulerState();
    ObjectiveAttainment attainment = new ObjectiveAttainment(classes, teams);
    Job doneJob = schedulerState.accept(JobSpecBuilder.job("job-1", 1, 1).build(), 1, 0, 0);
    // The largest job; it never starts.
    schedulerState.accept(JobSpecBuilder.job("job-2", 2, 1).build(), 1, 0, 0);
    attainment.recordDone(doneJob);
    schedulerState.jobs().remove(doneJob);
    assertEquals(
        List.of("class c 1.0 1", "team red 1.0 1", "largest c 0.0 0"),
        formattedSummaries(attainment, schedulerState, ObjectiveAttainment.DEFAULT_DUE_MS));
    assertEquals(
        List.of("class c 0.5 1", "team red 0.5 1", "largest c 0.0 0"),
        formattedSummaries(attainment, schedulerState, ObjectiveAttainment.DEFAULT_DUE_MS + 1));
    schedulerState.cancel(schedulerState.job("job-2"), 0);
    assertEquals(
        List.of("class c 1.0 0", "team red 1.0 0", "largest c 1.0 0"),
        formattedSummaries(attainment, schedulerState, ObjectiveAttainment.DEFAULT_DUE_MS + 1));
  }

  private static List<String> formattedSummaries(
      ObjectiveAttainment attainment, SchedulerState schedulerState, long now) {
    return attainment.summarize(schedulerState.jobs(), now).stream()
        .map(
            summary ->
                summary.kind()
                    + " "
                    + summary.name()
                    + " "
                    + summary.doneShare()
                    + " "
                    + summary.open())
        .toList();
  }

  @Test
  void classNamesBeyondTheMaximumAreCountedTogether() {
    ObjectiveAttainment attainment = new ObjectiveAttainment(classes, teams);
    SchedulerState schedulerState = newSchedulerState();
    for (int i = 0; i < 1_000; i++) {
      int classIndex = classes.intern("c" + i);
      JobSpec spec = JobSpecBuilder.job("job-" + i, 1, 1).taskClass(classIndex).build();
      attainment.recordDone(schedulerState.accept(spec, 1, 0, 0));
    }
    assertTrue(attainment.summarize(List.of(), 0).size() <= 131);
  }
}
