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
 * The order in which jobs with waiting tasks get machines: by priority; then jobs within their
 * team's guarantee and jobs that have waited very long; then by due time. Computed anew for each
 * placement pass.
 */
final class JobQueue {
  /**
   * A job that has waited so long, less the fetch of its image, goes before guaranteed work of its
   * priority: a large job array is beyond every guarantee, and behind a flood of small jobs it
   * would never start.
   */
  private static final double AGING_S = 180;

  /** A job without a deadline is due after this multiple of its estimate and a minute. */
  private static final double DEFAULT_DUE_ESTIMATES = 3;

  private static final double DEFAULT_DUE_EXTRA_S = 60;

  /** An image is slow to fetch when that takes more than this share of the estimated run. */
  private static final double SLOW_FETCH_SHARE = 0.5;

  /** For this share of its slack a job with a deadline lets others pass that need no fetch. */
  private static final double DEADLINE_YIELD_SHARE = 0.3;

  /** A job with a slow fetch lets others pass for no more than this share of the start target. */
  private static final double SLOW_FETCH_YIELD_SHARE = 0.4;

  /** A waiting job and its due time, by which it is sorted. */
  private record QueuedJob(Job job, double dueMs) {}

  private static final Comparator<Job> BY_SUBMISSION =
      Comparator.comparingLong((Job j) -> j.spec.submittedMs()).thenComparing(j -> j.spec.id());

  private static final Comparator<QueuedJob> BY_RANK =
      Comparator.comparingInt((QueuedJob q) -> q.job.spec.priority())
          .thenComparingInt(q -> q.job.hasPrecedence() ? 0 : 1)
          .thenComparingDouble(QueuedJob::dueMs)
          .thenComparing(q -> q.job.spec.id());

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final List<Job> queue = new ArrayList<>();

  JobQueue(SchedulerState schedulerState, FleetOrder fleetOrder) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
  }

  /** True while any task of any job waits. */
  boolean hasWaitingTasks() {
    for (Job j : schedulerState.jobs()) {
      if (j.hasStartableTasks()) {
        return true;
      }
    }
    return false;
  }

  /**
   * The jobs with waiting tasks in their order; also brings {@link Job#guaranteed} and {@link
   * Job#aged} of all open jobs up to date.
   *
   * @return a list that the next call overwrites
   */
  List<Job> refresh(long now) {
    double[] teamCpus = new double[schedulerState.teams().size()];
    double[] teamCards = new double[schedulerState.teams().size()];
    List<QueuedJob> queued = new ArrayList<>();
    for (Job j : openJobsBySubmission()) {
      JobSpec s = j.spec;
      int remaining = s.tasks() - j.doneTaskCount();
      teamCpus[s.team()] += remaining * s.cpus();
      teamCards[s.team()] += remaining * s.cards();
      Team team = schedulerState.team(s);
      j.guaranteed =
          teamCpus[s.team()] <= team.guaranteedCpus() + ResourceVector.EPSILON
              && teamCards[s.team()] <= team.guaranteedCards() + ResourceVector.EPSILON;
      j.aged = now - j.eligibleSinceMs() > 1000 * Math.max(0, AGING_S - fetchS(s));
      if (j.hasStartableTasks()) {
        queued.add(new QueuedJob(j, j.eligibleSinceMs() + (long) (1000 * dueAfterS(s))));
      }
    }
    queued.sort(BY_RANK);
    queue.clear();
    for (QueuedJob q : queued) {
      queue.add(q.job);
    }
    return queue;
  }

  private List<Job> openJobsBySubmission() {
    List<Job> open = new ArrayList<>();
    for (Job j : schedulerState.jobs()) {
      if (!j.isCancelled() && !j.isEnded() && !j.isHeld()) {
        open.add(j);
      }
    }
    open.sort(BY_SUBMISSION);
    return open;
  }

  /** True when two jobs differ in their due time at most: only then one lets the other pass. */
  static boolean sameRank(Job a, Job b) {
    return a.spec.priority() == b.spec.priority() && a.hasPrecedence() == b.hasPrecedence();
  }

  /**
   * Seconds after its submission at which a job counts as due. Without a deadline that is the
   * default due time, and no later than users expect every job to start; the sooner, the longer its
   * image takes: on a machine that it gets now it starts only after the fetch.
   */
  private double dueAfterS(JobSpec s) {
    if (s.deadlineS() > 0) {
      return s.deadlineS();
    }
    double usual =
        Math.min(
            DEFAULT_DUE_ESTIMATES * s.estimateS() + DEFAULT_DUE_EXTRA_S,
            ServiceLevelObjectives.START_TARGET_S);
    return hasSlowFetch(s) ? usual - fetchS(s) / 2 : usual;
  }

  /**
   * True when the fetch of its image takes so long, compared to the run, that a job which lets
   * others pass may start too late. For the others every fetch that is saved is worth the wait:
   * with this for all, a calm day of cascade rented 60 machines more (docs/gangs.md).
   */
  private boolean hasSlowFetch(JobSpec s) {
    return fetchS(s) > SLOW_FETCH_SHARE * s.estimateS();
  }

  private double fetchS(JobSpec s) {
    return s.imageGb() / fleetOrder.fetchGbPerS();
  }

  /**
   * How long a job lets others of its rank pass that need no fetch, in seconds: without a deadline
   * as long as it has slack.
   */
  double maxYieldS(JobSpec s) {
    double slackS = dueAfterS(s) - s.estimateS();
    if (s.deadlineS() > 0) {
      return DEADLINE_YIELD_SHARE * slackS;
    }
    // Without this bound a job whose image no machine holds comes last, again and again, until it
    // starts too late.
    double slowFetchLimitS =
        SLOW_FETCH_YIELD_SHARE * Math.max(0, ServiceLevelObjectives.START_TARGET_S - fetchS(s));
    return hasSlowFetch(s) ? Math.min(slackS, slowFetchLimitS) : slackS;
  }
}
