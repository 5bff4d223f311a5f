package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.admission.CommitLagMonitor;
import org.mallowroad.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Observes a term at regular intervals: reports a backlog of commits to the node, and logs load,
 * objectives and the age of the view of cancellations. Runs on the event loop only.
 */
final class LeaderMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderMonitor.class);
  private static final long COMMIT_LAG_INTERVAL_MS = 1_000;
  private static final long LOAD_LOG_INTERVAL_MS = 10_000;
  private static final long OBJECTIVE_LOG_INTERVAL_MS = 60_000;

  private final LeaderContext context;
  private final EventLoop loop;
  private final SchedulerState schedulerState;
  private final Runnable overloaded;
  private final CommitLagMonitor commitLag = new CommitLagMonitor();
  private final ObjectiveLogger objectives;
  private final LoadLogger loadLogger;
  private final List<EventLoop.Timer> timers = new ArrayList<>();
  private boolean isCancellationViewStale;

  /**
   * For one term.
   *
   * @param overloaded called once a second while there is more to commit than the state service
   *     takes
   */
  LeaderMonitor(LeaderContext context, WriteBehindCommitter committer, Runnable overloaded) {
    this.context = context;
    this.loop = context.loop();
    this.schedulerState = context.schedulerState();
    this.overloaded = overloaded;
    this.objectives = new ObjectiveLogger(context.clusterConfig());
    this.loadLogger = new LoadLogger(context, committer);
  }

  /** Begins, once the term serves. */
  void start() {
    timers.add(loop.every(COMMIT_LAG_INTERVAL_MS, this::checkCommitLag));
    timers.add(loop.every(LOAD_LOG_INTERVAL_MS, this::logLoad));
    timers.add(loop.every(OBJECTIVE_LOG_INTERVAL_MS, this::logObjectives));
  }

  /** The term is over. */
  void stop() {
    timers.forEach(EventLoop.Timer::cancel);
  }

  /** A job's end as done is committed. */
  void jobDone(Job job) {
    objectives.jobDone(job, loop.now());
  }

  /** The age of the view of cancellations in milliseconds, or -1 before there is one. */
  long cancellationViewAgeMs() {
    return context.lifecycle().isServing() ? context.cancellationView().ageMs(loop.now()) : -1;
  }

  /** Logs when the view of cancellations becomes stale or fresh; call at each tick. */
  void checkCancellationView(long now) {
    if (context.cancellationView().isStale(now) != isCancellationViewStale) {
      isCancellationViewStale = !isCancellationViewStale;
      LOG.warn(
          "event={} term={} view_age_ms={}",
          isCancellationViewStale ? "cancellation_view_stale" : "cancellation_view_fresh",
          context.term().number(),
          cancellationViewAgeMs());
    }
  }

  private void checkCommitLag() {
    boolean wasOverloaded = commitLag.isOverloaded();
    boolean isStateServing =
        context.lease().isValid() && !context.services().state().health().isFailing();
    commitLag.measure(schedulerState, isStateServing, loop.now());
    if (commitLag.isOverloaded()) {
      overloaded.run();
    }
    if (commitLag.isOverloaded() != wasOverloaded) {
      LOG.warn(
          "event={} term={}",
          wasOverloaded ? "commit_backlog_cleared" : "commit_backlog",
          context.term().number());
    }
  }

  private void logLoad() {
    loadLogger.log();
    context.clusterConfig().forgetUnusedNames(schedulerState);
  }

  private void logObjectives() {
    objectives.logAttainment(schedulerState.jobs(), loop.now());
  }
}
