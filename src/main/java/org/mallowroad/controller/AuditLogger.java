package org.mallowroad.controller;

import java.util.function.Supplier;
import org.mallowroad.controller.persistence.RevisionRead;
import org.mallowroad.core.AttemptAudit;
import org.mallowroad.core.health.PauseDetector;
import org.mallowroad.net.LogLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs what the decisions of a term rest on: what the leader knew when it took over or ran again
 * after a pause, and what proved attempts gone. Runs on the event loop only.
 */
final class AuditLogger {
  private static final Logger LOG = LoggerFactory.getLogger(AuditLogger.class);

  /** Lines about resolved attempts per period; a failure of a zone affects a thousand machines. */
  private static final int MAX_RESOLUTION_LINES = 20;

  private static final long RESOLUTION_PERIOD_MS = 1_000;

  private final LeaderContext context;
  private final Supplier<RevisionRead> newestRead;
  private final LogLimiter resolutionLimiter =
      new LogLimiter(MAX_RESOLUTION_LINES, RESOLUTION_PERIOD_MS);
  private long loggedPauses;

  /**
   * Creates the logger of one term.
   *
   * @param newestRead the newest revision up to which the open jobs were read
   */
  AuditLogger(LeaderContext context, Supplier<RevisionRead> newestRead) {
    this.context = context;
    this.newestRead = newestRead;
  }

  /** Logs the end of the failover, once the records of the previous term are read. */
  void logTakeover(int records, int rentRequests, long now) {
    RevisionRead read = newestRead.get();
    LOG.info(
        "event=takeover term={} jobs={} records={} rent_requests={} ms={} lease_age_ms={}"
            + " revision={} revision_age_ms={}",
        context.term().number(),
        context.schedulerState().jobs().size(),
        records,
        rentRequests,
        now - context.startedMs(),
        now - context.lease().renewedMs(),
        read.revision(),
        read.ageMs(now));
  }

  /** Logs what has happened since the last tick; must be called on each tick. */
  void tick(long now) {
    logResumption(now);
    logResolutions(now);
  }

  /** Logs the first tick after a pause at which the leader's lease is valid again. */
  private void logResumption(long now) {
    PauseDetector pauseDetector = context.schedulerState().health().pauseDetector();
    if (pauseDetector.pauseCount() == loggedPauses || !context.lease().isValid()) {
      return;
    }
    loggedPauses = pauseDetector.pauseCount();
    RevisionRead read = newestRead.get();
    LOG.info(
        "event=leadership_resumed term={} pause_ended_ms_ago={} lease_age_ms={} revision={}"
            + " revision_age_ms={} view_age_ms={}",
        context.term().number(),
        now - pauseDetector.listeningSinceMs(),
        now - context.lease().renewedMs(),
        read.revision(),
        read.ageMs(now),
        context.cancellationView().ageMs(now));
  }

  private void logResolutions(long now) {
    AttemptAudit audit = context.schedulerState().attemptAudit();
    for (AttemptAudit.Resolution resolution : audit.takeResolutions()) {
      if (resolutionLimiter.tryAcquire(now)) {
        logResolution(resolution, now);
      }
    }
    long dropped = audit.takeDroppedResolutions();
    if (dropped > 0) {
      LOG.info("event=attempts_resolved_suppressed count={}", dropped);
    }
  }

  private void logResolution(AttemptAudit.Resolution resolution, long now) {
    LOG.info(
        "event=attempts_resolved proof={} machine={} session={} token_seen={} response_age_ms={}"
            + " attempts={} first={} ms_ago={} suppressed={}",
        resolution.proof().label(),
        resolution.machine(),
        resolution.session(),
        resolution.tokenSeen(),
        resolution.responseAgeMs(),
        resolution.attempts(),
        resolution.firstAttempt(),
        now - resolution.resolvedMs(),
        resolutionLimiter.suppressedLines());
  }
}
