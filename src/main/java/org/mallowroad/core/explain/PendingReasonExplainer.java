package org.mallowroad.core.explain;

import it.unimi.dsi.fastutil.objects.Reference2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * Determines for each open job why its tasks are pending or do not run yet.
 *
 * <p>{@link #begin} visits every machine and attempt once. {@link #step} explains jobs until it has
 * used a given number of placement evaluations, so that a leader with a fraction of a CPU core can
 * do its other work between two steps. Changes between two steps affect only the jobs that are
 * explained later, and jobs that have ended by then are omitted.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class PendingReasonExplainer {
  private final SchedulerState schedulerState;
  private final TaskScheduler taskScheduler;
  private final NameIndex taskClasses;
  private final ScheduleSurvey survey;
  private final PlacementEvaluator evaluator;
  private final PlacementExplainer placementExplainer;
  private final UnstartedTasksExplainer unstartedTasksExplainer;
  private final List<Job> jobs = new ArrayList<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, PendingReason> reasons =
      new Reference2ObjectLinkedOpenHashMap<>();
  private int nextIndex;

  /** Creates the explainer for one term; zones and task classes are reported by name. */
  public PendingReasonExplainer(
      SchedulerState schedulerState,
      TaskScheduler taskScheduler,
      AutoscalerView autoscaler,
      NameIndex zones,
      NameIndex taskClasses) {
    this.schedulerState = schedulerState;
    this.taskScheduler = taskScheduler;
    this.taskClasses = taskClasses;
    this.survey = new ScheduleSurvey(schedulerState, autoscaler);
    this.evaluator = new PlacementEvaluator(schedulerState, taskScheduler, survey, zones.size());
    this.placementExplainer =
        new PlacementExplainer(schedulerState, taskScheduler, autoscaler, zones, survey, evaluator);
    this.unstartedTasksExplainer = new UnstartedTasksExplainer(schedulerState, autoscaler, zones);
  }

  /** Number of placement evaluations so far, which measures the cost of the explanations. */
  public long evaluationCount() {
    return evaluator.evaluationCount();
  }

  /** Discards earlier results and begins to explain the current state. */
  public void begin(long now) {
    nextIndex = 0;
    jobs.clear();
    reasons.clear();
    evaluator.reset();
    List<Job> queue = taskScheduler.queue(now);
    jobs.addAll(queue);
    for (Job job : schedulerState.jobs()) {
      if (!job.hasStartableTasks() && !job.isEnded()) {
        jobs.add(job);
      }
    }
    survey.begin(queue, now);
  }

  /** True when the machine is silent, see {@link ScheduleSurvey#isSilent}. */
  boolean isSilent(Machine machine, long now) {
    return survey.isSilent(machine, now);
  }

  /**
   * Explains further jobs.
   *
   * @param maxEvaluations number of placement evaluations after which the step ends; the last job
   *     may exceed it by one evaluation per machine
   * @param maxJobs maximum number of jobs that are explained in all steps together
   * @return true when {@code maxJobs} jobs or all jobs are explained
   */
  public boolean step(int maxEvaluations, int maxJobs) {
    long evaluationLimit = evaluator.evaluationCount() + maxEvaluations;
    int end = Math.min(maxJobs, jobs.size());
    while (nextIndex < end && evaluator.evaluationCount() < evaluationLimit) {
      Job job = jobs.get(nextIndex++);
      evaluator.addEvaluations(1);
      PendingReason reason = explain(job);
      if (reason != null) {
        reasons.put(job, reason);
      }
    }
    return nextIndex >= end;
  }

  /** Number of jobs that have been explained so far. */
  public int explainedJobCount() {
    return nextIndex;
  }

  /** Explains a single job, at the cost of a survey and of the job's placement evaluations. */
  PendingReason explainNow(Job job, long now) {
    begin(now);
    return explain(job);
  }

  /** Why tasks of the job do not run; null when all of them run or the job was not open. */
  public PendingReason reasonFor(Job job) {
    return reasons.get(job);
  }

  /** All jobs to explain: those with startable tasks in queue order, then the other open jobs. */
  public List<Job> jobs() {
    return jobs;
  }

  /** Number of the job's attempts that do not run yet and are not counted as silent. */
  public int startingCount(Job job) {
    UnstartedTasks unstartedTasks = survey.unstartedTasks(job);
    return unstartedTasks == null ? 0 : unstartedTasks.startingCount();
  }

  /** Number of the job's committed attempts on silent machines. */
  public int silentCount(Job job) {
    UnstartedTasks unstartedTasks = survey.unstartedTasks(job);
    return unstartedTasks == null ? 0 : unstartedTasks.silentCount;
  }

  /** Name of the job's task class. */
  public String taskClassName(Job job) {
    return taskClasses.name(job.spec.taskClass());
  }

  private PendingReason explain(Job job) {
    if (job.isEnded() || (job.isCancelled() && job.liveAttemptCount() == 0)) {
      return null;
    }
    UnstartedTasks unstartedTasks = survey.unstartedTasks(job);
    if (job.isHeld() && !job.isCancelled()) {
      return PendingReason.of(job, PendingCause.HELD_BY_TIES, job.holdReason);
    }
    if (!job.hasStartableTasks()) {
      return unstartedTasks == null ? null : unstartedTasksExplainer.explain(unstartedTasks);
    }
    PendingReason reason = placementExplainer.explain(job);
    if (unstartedTasks == null || unstartedTasks.silentCount == 0) {
      return reason;
    }
    return new PendingReason(
        reason.cause(),
        reason.sinceMs(),
        reason.expectedEndMs(),
        reason.zone() < 0 ? unstartedTasks.longestSilentMachine.zone : reason.zone(),
        reason.detail() + "; besides, " + unstartedTasksExplainer.describeSilence(unstartedTasks));
  }
}
