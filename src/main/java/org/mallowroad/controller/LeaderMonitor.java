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
 * Monitors a term periodically: reports a commit backlog to the node, and logs the load, the
 * attainment of objectives and the age of the view of cancellations. Runs on the event loop only.
 */
final class LeaderMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderMonitor.class);
  private static final long COMMIT_LAG_INTERVAL_MS = 1_000;
  private static final long LOAD_LOG_INTERVAL_MS = 10_000;
  private static final long OBJECTIVE_LOG_INTERVAL_MS = 60_000;

  private final LeaderContext context;
  private final EventLoop loop;
  private final SchedulerState schedulerState;
  private final Runnable onOverloaded;
  private final CommitLagMonitor commitLag = new CommitLagMonitor();
  private final ObjectiveLogger objectiveLogger;
  private final LoadLogger loadLogger;
  private final List<EventLoop.Timer> timers = new ArrayList<>();
  private boolean isCancellationViewStale;

  /**
   * Creates the monitor of one term.
   *
   * @param onOverloaded called once a second while there are more uncommitted records than the
   *     state service can accept
   */
  LeaderMonitor(LeaderContext context, WriteBehindCommitter committer, Runnable onOverloaded) {
    this.context = context;
    this.loop = context.loop();
    this.schedulerState = context.schedulerState();
    this.onOverloaded = onOverloaded;
    this.objectiveLogger = new ObjectiveLogger(context.clusterConfig());
    this.loadLogger = new LoadLogger(context, committer);
  }

  /** Starts the periodic checks; called once the term is serving. */
  void start() {
    timers.add(loop.every(COMMIT_LAG_INTERVAL_MS, this::checkCommitLag));
    timers.add(loop.every(LOAD_LOG_INTERVAL_MS, this::logLoad));
    timers.add(loop.every(OBJECTIVE_LOG_INTERVAL_MS, this::logObjectives));
  }

  /** Stops the periodic checks at the end of the term. */
  void stop() {
    timers.forEach(EventLoop.Timer::cancel);
  }

  /** Called when the completion of a job is committed. */
  void recordJobDone(Job job) {
    objectiveLogger.recordJobDone(job, loop.now());
  }

  /** Age of the view of cancellations in milliseconds, or -1 before there is one. */
  long cancellationViewAgeMs() {
    return context.lifecycle().isServing() ? context.cancellationView().ageMs(loop.now()) : -1;
  }

  /** Logs when the view of cancellations becomes stale or fresh; must be called on each tick. */
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
      onOverloaded.run();
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
    objectiveLogger.logAttainment(schedulerState.jobs(), loop.now());
  }
}
