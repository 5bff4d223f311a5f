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
 * Evaluates for each machine why a job's tasks may not start on it, and counts these evaluations.
 * Jobs with identical placement requirements are evaluated once.
 */
final class PlacementEvaluator {
  /**
   * Everything that placement depends on for a job without zone rules and without failed machines.
   */
  private record PlacementRequirements(
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
  private final TaskScheduler taskScheduler;
  private final ScheduleSurvey survey;
  private final int zoneCount;
  private final Object2ObjectOpenHashMap<PlacementRequirements, RefusalCounts>
      countsByRequirements = new Object2ObjectOpenHashMap<>();
  private long evaluationCount;

  PlacementEvaluator(
      SchedulerState schedulerState,
      TaskScheduler taskScheduler,
      ScheduleSurvey survey,
      int zoneCount) {
    this.schedulerState = schedulerState;
    this.taskScheduler = taskScheduler;
    this.survey = survey;
    this.zoneCount = zoneCount;
  }

  /** Discards the results of an earlier survey. */
  void reset() {
    countsByRequirements.clear();
  }

  /** Adds evaluations that were made elsewhere to the count. */
  void addEvaluations(int count) {
    evaluationCount += count;
  }

  /** Number of evaluations so far. */
  long evaluationCount() {
    return evaluationCount;
  }

  /** Returns the refusals for the job; jobs with the same requirements share them. */
  RefusalCounts evaluate(Job job) {
    JobSpec spec = job.spec;
    if (spec.together() || spec.scatter() || job.hasFailedMachines()) {
      return evaluateMachines(job);
    }
    PlacementRequirements requirements =
        new PlacementRequirements(
            spec.team(),
            spec.gang() || TaskScheduler.isUrgent(spec),
            schedulerState.imageDistribution().hasLimits() ? spec.image() : -1,
            spec.cpus(),
            spec.cards(),
            spec.memGb(),
            spec.types(),
            spec.zone(),
            spec.spot());
    RefusalCounts counts = countsByRequirements.get(requirements);
    if (counts == null) {
      counts = evaluateMachines(job);
      countsByRequirements.put(requirements, counts);
    }
    return counts;
  }

  private RefusalCounts evaluateMachines(Job job) {
    RefusalCounts counts = new RefusalCounts(zoneCount);
    for (MachineGroup group : survey.groups()) {
      if (!group.canRun(job.spec)) {
        continue;
      }
      for (Machine machine : group.machines) {
        if (schedulerState.machine(machine.name) != machine) {
          continue; // The machine was removed after the survey.
        }
        evaluationCount++;
        StartRefusal refusal = taskScheduler.placementRefusal(job, machine, survey.surveyedAtMs());
        counts.add(machine, refusal);
        if (refusal == null) {
          return counts;
        }
      }
    }
    return counts;
  }
}
