package org.mallowroad.core.explain;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.BitSet;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * Asks placement for each machine why a job's tasks may not start there, counts the questions, and
 * asks once for all jobs that placement cannot tell apart.
 */
final class PlacementQuestions {
  /** All that placement goes by in a job without tasks whose places or failures count. */
  private record JobShape(
      int team,
      boolean avoidsSuspects,
      int image,
      double cpus,
      double cards,
      double memGb,
      BitSet types,
      int zone,
      boolean spot) {}

  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final ScheduleSurvey survey;
  private final int zones;
  private final Object2ObjectOpenHashMap<JobShape, RefusalCounts> byShape =
      new Object2ObjectOpenHashMap<>();
  private long asked;

  PlacementQuestions(
      SchedulerState schedulerState, TaskScheduler placement, ScheduleSurvey survey, int zones) {
    this.schedulerState = schedulerState;
    this.placement = placement;
    this.survey = survey;
    this.zones = zones;
  }

  /** Forgets the answers of an earlier survey. */
  void begin() {
    byShape.clear();
  }

  /** Counts questions that were asked elsewhere. */
  void addAsked(int questions) {
    asked += questions;
  }

  /** Number of questions so far. */
  long asked() {
    return asked;
  }

  /** The answers for the job; jobs of the same shape share them. */
  RefusalCounts ask(Job job) {
    JobSpec spec = job.spec;
    if (spec.together() || spec.scatter() || job.hasFailedMachines()) {
      return askEachMachine(job);
    }
    JobShape shape =
        new JobShape(
            spec.team(),
            spec.gang() || TaskScheduler.isUrgent(spec),
            schedulerState.imageDistribution().hasLimits() ? spec.image() : -1,
            spec.cpus(),
            spec.cards(),
            spec.memGb(),
            spec.types(),
            spec.zone(),
            spec.spot());
    RefusalCounts counts = byShape.get(shape);
    if (counts == null) {
      counts = askEachMachine(job);
      byShape.put(shape, counts);
    }
    return counts;
  }

  private RefusalCounts askEachMachine(Job job) {
    RefusalCounts counts = new RefusalCounts(zones);
    for (MachineGroup group : survey.groups()) {
      if (!group.allows(job.spec)) {
        continue;
      }
      for (Machine machine : group.machines) {
        if (schedulerState.machine(machine.name) != machine) {
          continue; // Removed since the survey.
        }
        asked++;
        StartRefusal refusal = placement.placementRefusal(job, machine, survey.now());
        counts.add(machine, refusal);
        if (refusal == null) {
          return counts;
        }
      }
    }
    return counts;
  }
}
