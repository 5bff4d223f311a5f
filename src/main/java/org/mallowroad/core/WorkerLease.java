package org.mallowroad.core;

/**
 * When the lease of a worker's session can have been renewed last, as far as this leader can tell.
 * All conclusions from the expiry of a worker's lease rest on this class.
 *
 * <p>A worker ends its tasks and begins the next session once a lease has passed since it
 * <i>sent</i> the last heartbeat that was answered, or since the session began. The lease of a
 * session is renewed by:
 *
 * <ul>
 *   <li><i>Its beginning</i>, which precedes every message and record of the session that this
 *       leader reads.
 *   <li><i>This leader's responses</i> to heartbeats of the session. The worker drops a response to
 *       a heartbeat of an earlier session, so such a response renews nothing.
 *   <li><i>Responses of leaders of earlier terms</i>, which may not know that they are deposed. The
 *       worker drops them once it has seen a token of this term, so all that it accepted precede
 *       the first message with such a token that this leader reads. Until then nothing can be said.
 * </ul>
 *
 * A leader of a later term may renew it as well, but then no commit of this leader succeeds, so
 * that nothing is started on the strength of its conclusions. Answers to direct commands renew
 * nothing.
 *
 * <p>Each time is the one at which this leader read or wrote a message, which is an upper bound: a
 * pause of this process or a delay on the network makes the lease seem to end later, never earlier.
 * Times are in ms of the process's monotonic clock.
 */
final class WorkerLease {
  private static final long NEVER = -1;

  private final long term;
  private long session;
  private boolean hasSeenTerm;
  private long renewedBeforeMs = NEVER;
  private long lastResponseMs = NEVER;

  /**
   * Creates the lease of a worker of which nothing is known.
   *
   * @param term the first fencing token of the leader's term
   */
  WorkerLease(long term) {
    this.term = term;
  }

  /** The newest session that is known from a message or a record; 0 before the first. */
  long session() {
    return session;
  }

  /** Time of this leader's latest response to any heartbeat of the worker, or -1. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /**
   * Records a message of the worker that is newer than all before.
   *
   * @param tokenSeen the highest fencing token that the worker says it has seen
   */
  void recordMessage(long messageSession, long tokenSeen, long now) {
    recordSession(messageSession, now);
    boolean seesTerm = tokenSeen >= term;
    if (seesTerm && !hasSeenTerm) {
      renewedBeforeMs = now;
    }
    // A worker that has restarted under its name has forgotten the token.
    hasSeenTerm = seesTerm;
  }

  /** Records that a session is known to have begun, from a message or from a record. */
  void recordSession(long knownSession, long now) {
    if (knownSession > session) {
      session = knownSession;
      renewedBeforeMs = now;
    }
  }

  /** Records that this leader responds to a heartbeat of the given session. */
  void recordResponse(long heartbeatSession, long now) {
    lastResponseMs = now;
    if (heartbeatSession == session) {
      renewedBeforeMs = now;
    }
  }

  /**
   * Time by which the lease of {@link #session} must have expired if this leader responds to no
   * further heartbeat of it, or -1 while that cannot be said. Earlier sessions have ended as well.
   *
   * @param leaseMs duration of a lease, with the margins for drifting clocks and late timers
   */
  long expiryMs(long leaseMs) {
    return hasSeenTerm ? renewedBeforeMs + leaseMs : NEVER;
  }
}
