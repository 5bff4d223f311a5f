package org.mallowroad.controller;

import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;

/**
 * Whether the leader's lease at the state service still holds, by this node's own clock.
 *
 * <p>The lease lasts 3 s from the moment at which its renewal was <i>sent</i>. Measured from there,
 * and with a margin for clock drift, a valid lease here is one at the state service as well, so
 * nobody else can have been elected.
 */
final class LeaderLease {
  /** The lease of 3 s less a margin for drift and for timers that fire late. */
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

  /** When the last successful renewal was sent, on the steady clock. */
  long renewedMs() {
    return election.lastRenewalSentMs();
  }
}
