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
 * Finds for each open job why tasks of it wait.
 *
 * <p>{@link #begin} looks at every machine and attempt once. {@link #step} explains jobs until it
 * has asked a stated number of questions, so that a leader on a fraction of a core goes on with its
 * work between two steps. What changes meanwhile shows only in the jobs explained later; a job that
 * has ended by its turn is left out.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class PendingReasonExplainer {
  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final NameIndex classes;
  private final ScheduleSurvey survey;
  private final PlacementQuestions questions;
  private final PlacementExplainer waitingTasks;
  private final UnstartedTasksExplainer unstartedTasks;
  private final List<Job> jobs = new ArrayList<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, PendingReason> findings =
      new Reference2ObjectLinkedOpenHashMap<>();
  private int next;

  /** Explains the decisions of one term; the names turn indices back into words. */
  public PendingReasonExplainer(
      SchedulerState schedulerState,
      TaskScheduler placement,
      AutoscalerView autoscaler,
      NameIndex zones,
      NameIndex classes) {
    this.schedulerState = schedulerState;
    this.placement = placement;
    this.classes = classes;
    this.survey = new ScheduleSurvey(schedulerState, autoscaler);
    this.questions = new PlacementQuestions(schedulerState, placement, survey, zones.size());
    this.waitingTasks =
        new PlacementExplainer(schedulerState, placement, autoscaler, zones, survey, questions);
    this.unstartedTasks = new UnstartedTasksExplainer(schedulerState, autoscaler, zones);
  }

  /** Number of questions that were asked of placement so far: a measure of the cost. */
  public long evaluationCount() {
    return questions.asked();
  }

  /** Begins a new explanation of the state of this moment. */
  public void begin(long now) {
    next = 0;
    jobs.clear();
    findings.clear();
    questions.begin();
    List<Job> queue = placement.queue(now);
    jobs.addAll(queue);
    for (Job job : schedulerState.jobs()) {
      if (!job.hasStartableTasks() && !job.isEnded()) {
        jobs.add(job);
      }
    }
    survey.begin(queue, now);
  }

  /** True when the machine's heartbeat is overdue or it is given up for that. */
  boolean isSilent(Machine machine, long now) {
    return survey.isSilent(machine, now);
  }

  /**
   * Explains further jobs.
   *
   * @param maxQuestions the step ends after so many; the last job may ask once for each machine
   *     more
   * @param maxJobs no more jobs than this are explained in all
   * @return true when so many, or all, are explained
   */
  public boolean step(int maxQuestions, int maxJobs) {
    long until = questions.asked() + maxQuestions;
    int end = Math.min(maxJobs, jobs.size());
    while (next < end && questions.asked() < until) {
      Job job = jobs.get(next++);
      questions.addAsked(1);
      PendingReason reason = explain(job);
      if (reason != null) {
        findings.put(job, reason);
      }
    }
    return next >= end;
  }

  /** Number of jobs that are explained so far. */
  public int explained() {
    return next;
  }

  /** Explains a single job, which costs a survey and the job's questions. */
  PendingReason only(Job job, long now) {
    begin(now);
    return explain(job);
  }

  /** Why tasks of the job wait; null when all of them run, or it was not open. */
  public PendingReason finding(Job job) {
    return findings.get(job);
  }

  /** The jobs of this explanation: those that wait in the order of the queue, then the others. */
  public List<Job> jobs() {
    return jobs;
  }

  /** Number of the job's attempts that do not run yet, on machines that are not silent. */
  public int starting(Job job) {
    UnstartedTasks tasks = survey.unstarted(job);
    return tasks == null ? 0 : tasks.starting();
  }

  /** Number of the job's attempts on silent machines. */
  public int silent(Job job) {
    UnstartedTasks tasks = survey.unstarted(job);
    return tasks == null ? 0 : tasks.silent;
  }

  /** Name of the job's class. */
  public String taskClass(Job job) {
    return classes.name(job.spec.taskClass());
  }

  private PendingReason explain(Job job) {
    if (job.isEnded() || (job.isCancelled() && job.liveAttemptCount() == 0)) {
      return null;
    }
    UnstartedTasks tasks = survey.unstarted(job);
    if (job.isHeld() && !job.isCancelled()) {
      return PendingReason.of(job, PendingCause.HELD_BY_TIES, job.holdReason);
    }
    if (!job.hasStartableTasks()) {
      return tasks == null ? null : unstartedTasks.explain(tasks);
    }
    PendingReason reason = waitingTasks.explain(job);
    if (tasks == null || tasks.silent == 0) {
      return reason;
    }
    return new PendingReason(
        reason.cause(),
        reason.sinceMs(),
        reason.expectedEndMs(),
        reason.zone() < 0 ? tasks.longestSilent.zone : reason.zone(),
        reason.detail() + "; besides, " + unstartedTasks.describeSilence(tasks));
  }
}
