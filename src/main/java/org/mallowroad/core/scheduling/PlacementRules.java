package org.mallowroad.core.scheduling;

import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;

/**
 * Decides whether a task may be placed on a machine: applies the hard constraints of {@link
 * SchedulerState#startRefusal}, then the scheduler's own rules on image fetches, slow or faulty
 * machines, and machines on which the job failed.
 */
final class PlacementRules {
  /** Jobs of this priority and of more important (numerically lower) ones are urgent. */
  private static final int LOWEST_URGENT_PRIORITY = 1;

  /**
   * A job whose tasks failed on this many machines may use all of them again, since the cause is
   * then more likely the job than the machines.
   */
  private static final int MAX_AVOIDED_MACHINES = 3;

  private final SchedulerState schedulerState;

  PlacementRules(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** Why the job's next waiting task may not be placed on the machine; null when it may. */
  StartRefusal placementRefusal(Job job, Machine machine, long now) {
    StartRefusal refusal =
        schedulerState.startRefusal(job, job.pendingTasks.firstInt(), machine, now);
    if (refusal != null) {
      return refusal;
    }
    if (!job.spec.gang()
        && !machine.hasImage(job.spec.image())
        && !mayFetchImage(job.spec, machine, now)) {
      return StartRefusal.IMAGE_FETCH_LIMIT;
    }
    if (avoidsMachine(job.spec, machine)) {
      return StartRefusal.SUSPECTED_SLOW_OR_FAULTY;
    }
    if (!job.spec.gang()
        && job.failedMachines.size() < MAX_AVOIDED_MACHINES
        && job.failedMachines.contains(machine.name)) {
      return StartRefusal.FAILED_ON_MACHINE;
    }
    return null;
  }

  private boolean mayFetchImage(JobSpec spec, Machine machine, long now) {
    return schedulerState
        .imageDistribution()
        .canFetch(spec, machine, source -> schedulerState.canServeImages(source, now));
  }

  /**
   * True when the machine is suspected to be slow or faulty and the job is urgent or a gang. One
   * slow task would delay urgent work, or all other tasks of the gang.
   */
  static boolean avoidsMachine(JobSpec spec, Machine machine) {
    return machine.health.isSuspect() && (isUrgent(spec) || spec.gang());
  }

  /** True for jobs whose tasks must not be placed on machines suspected to be slow or faulty. */
  static boolean isUrgent(JobSpec spec) {
    return spec.priority() <= LOWEST_URGENT_PRIORITY;
  }

  /** True when starting the job's next task, or all tasks of a gang, exceeds the team's limit. */
  boolean exceedsTeamLimit(Job job) {
    int tasks = job.spec.gang() ? job.pendingTasks.size() : 1;
    return !schedulerState.team(job.spec).isWithinLimit(job.spec, tasks);
  }
}
