package org.mallowroad.core.scheduling;

import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;

/**
 * Whether a task may be placed on a machine: the hard rules of {@link SchedulerState#startRefusal}
 * and the scheduler's own preferences on top of them.
 */
final class PlacementRules {
  /** Priorities up to this one are urgent: 0 is critical. */
  private static final int LOWEST_URGENT_PRIORITY = 1;

  /**
   * A job whose tasks failed on this many machines goes to all of them again: then the cause is
   * more likely in the job than in the machines.
   */
  private static final int MAX_AVOIDED_MACHINES = 3;

  private final SchedulerState schedulerState;

  PlacementRules(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** Why the job's next waiting task does not go to the machine; null when it may. */
  StartRefusal refusal(Job job, Machine m, long now) {
    StartRefusal refusal = schedulerState.startRefusal(job, job.pendingTasks.firstInt(), m, now);
    if (refusal != null) {
      return refusal;
    }
    if (!job.spec.gang() && !m.hasImage(job.spec.image()) && !mayFetchImage(job.spec, m, now)) {
      return StartRefusal.IMAGE_FETCH_LIMIT;
    }
    if (avoidsMachine(job.spec, m)) {
      return StartRefusal.SUSPECTED_SLOW_OR_FAULTY;
    }
    if (!job.spec.gang()
        && job.failedMachines.size() < MAX_AVOIDED_MACHINES
        && job.failedMachines.contains(m.name)) {
      return StartRefusal.FAILED_ON_MACHINE;
    }
    return null;
  }

  private boolean mayFetchImage(JobSpec s, Machine m, long now) {
    return schedulerState
        .imageDistribution()
        .canFetch(s, m, source -> schedulerState.canServeImages(source, now));
  }

  /**
   * True for urgent tasks and gangs on a machine that is slow or faulty: too much waits for them.
   */
  static boolean avoidsMachine(JobSpec s, Machine m) {
    return m.health.isSuspect() && (isUrgent(s) || s.gang());
  }

  /** True for work that may not wait on a slow machine. */
  static boolean isUrgent(JobSpec s) {
    return s.priority() <= LOWEST_URGENT_PRIORITY;
  }

  /** True when the team's limit keeps the job's next task, or all tasks of a gang, from a start. */
  boolean exceedsTeamLimit(Job job) {
    int tasks = job.spec.gang() ? job.pendingTasks.size() : 1;
    return !schedulerState.team(job.spec).isWithinLimit(job.spec, tasks);
  }
}
