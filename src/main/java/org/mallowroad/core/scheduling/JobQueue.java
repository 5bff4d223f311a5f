package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.objective.ServiceLevelObjectives;

/**
 * Sorts the jobs with waiting tasks into the order in which they are placed: by priority; within a
 * priority, jobs within their team's guarantee and jobs that have aged come first; then by due
 * time. The order is recomputed in each placement pass.
 */
final class JobQueue {
  /**
   * A job has aged once it has waited this long, less the time to fetch its image. It then ranks
   * with the guaranteed jobs of its priority. Without aging a large job array, which exceeds any
   * guarantee, would starve behind a steady stream of small jobs.
   */
  private static final double AGING_THRESHOLD_S = 180;

  /** A job without a deadline is due after this multiple of its estimated run time ... */
  private static final double DEFAULT_DUE_ESTIMATE_FACTOR = 3;

  /** ... plus this many seconds. */
  private static final double DEFAULT_DUE_ALLOWANCE_S = 60;

  /** An image fetch is slow when it takes more than this share of the estimated run time. */
  private static final double SLOW_FETCH_SHARE = 0.5;

  /** A job with a deadline yields to jobs with cached images for this share of its slack. */
  private static final double DEADLINE_YIELD_SHARE = 0.3;

  /**
   * A job with a slow image fetch yields to jobs with cached images for at most this share of the
   * start target less the fetch time.
   */
  private static final double SLOW_FETCH_YIELD_SHARE = 0.4;

  /** A job with waiting tasks and its due time. */
  private record QueuedJob(Job job, double dueMs) {}

  private static final Comparator<Job> BY_SUBMISSION =
      Comparator.comparingLong((Job job) -> job.spec.submittedMs())
          .thenComparing(job -> job.spec.id());

  private static final Comparator<QueuedJob> BY_RANK =
      Comparator.comparingInt((QueuedJob queuedJob) -> queuedJob.job.spec.priority())
          .thenComparingInt(queuedJob -> queuedJob.job.hasPrecedence() ? 0 : 1)
          .thenComparingDouble(QueuedJob::dueMs)
          .thenComparing(queuedJob -> queuedJob.job.spec.id());

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final List<Job> queue = new ArrayList<>();

  JobQueue(SchedulerState schedulerState, FleetOrder fleetOrder) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
  }

  /** True while any job has a task that waits to be started. */
  boolean hasWaitingTasks() {
    for (Job job : schedulerState.jobs()) {
      if (job.hasStartableTasks()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Recomputes the order of the jobs with waiting tasks, and updates {@link Job#guaranteed} and
   * {@link Job#aged} of all open jobs.
   *
   * @return the jobs in placement order; the next call overwrites the list
   */
  List<Job> refresh(long now) {
    double[] openCpusByTeam = new double[schedulerState.teams().size()];
    double[] openCardsByTeam = new double[schedulerState.teams().size()];
    List<QueuedJob> queued = new ArrayList<>();
    for (Job job : openJobsBySubmission()) {
      JobSpec spec = job.spec;
      int remainingTasks = spec.tasks() - job.doneTaskCount();
      openCpusByTeam[spec.team()] += remainingTasks * spec.cpus();
      openCardsByTeam[spec.team()] += remainingTasks * spec.cards();
      Team team = schedulerState.team(spec);
      job.guaranteed =
          openCpusByTeam[spec.team()] <= team.guaranteedCpus() + ResourceVector.EPSILON
              && openCardsByTeam[spec.team()] <= team.guaranteedCards() + ResourceVector.EPSILON;
      job.aged = now - job.eligibleSinceMs() > 1000 * Math.max(0, AGING_THRESHOLD_S - fetchS(spec));
      if (job.hasStartableTasks()) {
        queued.add(new QueuedJob(job, job.eligibleSinceMs() + (long) (1000 * dueAfterS(spec))));
      }
    }
    queued.sort(BY_RANK);
    queue.clear();
    for (QueuedJob queuedJob : queued) {
      queue.add(queuedJob.job);
    }
    return queue;
  }

  private List<Job> openJobsBySubmission() {
    List<Job> open = new ArrayList<>();
    for (Job job : schedulerState.jobs()) {
      if (!job.isCancelled() && !job.isEnded() && !job.isHeld()) {
        open.add(job);
      }
    }
    open.sort(BY_SUBMISSION);
    return open;
  }

  /**
   * True when the two jobs differ in nothing but their due time. A job yields only to jobs of its
   * own rank.
   */
  static boolean haveSameRank(Job a, Job b) {
    return a.spec.priority() == b.spec.priority() && a.hasPrecedence() == b.hasPrecedence();
  }

  /**
   * The time from a job's submission to its due time, in seconds. A job without a deadline is due
   * at the default due time, and no later than the start target. A job with a slow image fetch is
   * due earlier by half the fetch time, since it starts running only after the fetch.
   */
  private double dueAfterS(JobSpec spec) {
    if (spec.deadlineS() > 0) {
      return spec.deadlineS();
    }
    double defaultDueS =
        Math.min(
            DEFAULT_DUE_ESTIMATE_FACTOR * spec.estimateS() + DEFAULT_DUE_ALLOWANCE_S,
            ServiceLevelObjectives.START_TARGET_S);
    return hasSlowFetch(spec) ? defaultDueS - fetchS(spec) / 2 : defaultDueS;
  }

  /**
   * True when fetching the job's image takes so long compared to its run time that yielding to
   * other jobs may make it start too late. Jobs with faster fetches keep yielding, since each fetch
   * that is avoided is worth the wait: when all jobs were treated as slow to fetch, the scheduler
   * rented 60 more machines on a quiet day of the "cascade" workload (docs/gangs.md).
   */
  private boolean hasSlowFetch(JobSpec spec) {
    return fetchS(spec) > SLOW_FETCH_SHARE * spec.estimateS();
  }

  private double fetchS(JobSpec spec) {
    return spec.imageGb() / fleetOrder.fetchGbPerS();
  }

  /**
   * How long a job yields to jobs of its rank whose images are cached, in seconds. Without a
   * deadline and without a slow image fetch it yields for all of its slack.
   */
  double maxYieldS(JobSpec spec) {
    double slackS = dueAfterS(spec) - spec.estimateS();
    if (spec.deadlineS() > 0) {
      return DEADLINE_YIELD_SHARE * slackS;
    }
    // Without this bound a job whose image no machine has cached is placed last in every pass,
    // until it starts too late.
    double slowFetchLimitS =
        SLOW_FETCH_YIELD_SHARE * Math.max(0, ServiceLevelObjectives.START_TARGET_S - fetchS(spec));
    return hasSlowFetch(spec) ? Math.min(slackS, slowFetchLimitS) : slackS;
  }
}
