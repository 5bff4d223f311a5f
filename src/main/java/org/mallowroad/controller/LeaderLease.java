package org.mallowroad.controller;

import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;

/**
 * Tells whether the leader's lease at the state service is still valid, according to this node's
 * own clock.
 *
 * <p>The lease lasts 3 s from the moment at which its renewal was <i>sent</i>. This node measures
 * from that moment and subtracts a margin for clock drift. So whenever the lease is valid here, it
 * is also valid at the state service, and no other node can have been elected.
 */
final class LeaderLease {
  /** The lease of 3 s minus a margin for clock drift and for timers that fire late. */
  private static final long VALID_AFTER_RENEWAL_MS = 2_800;

  private final EventLoop loop;
  private final LeaderElection election;

  LeaderLease(EventLoop loop, LeaderElection election) {
    this.loop = loop;
    this.election = election;
  }

  /** True while the lease was renewed so recently that it cannot have expired. */
  boolean isValid() {
    return loop.now() - election.lastRenewalSentMs() < VALID_AFTER_RENEWAL_MS;
  }

  /** When the last successful renewal was sent, in milliseconds of the monotonic clock. */
  long renewedMs() {
    return election.lastRenewalSentMs();
  }
}
