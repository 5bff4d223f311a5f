package org.mallowroad.core.linkstate;

/**
 * The operators' values for link-state routing (XML, element {@code links}); all in ms.
 *
 * @param advertiseIntervalMs interval at which a node sends its link-state advertisement to the
 *     others
 * @param maxAgeMs older advertisements, and older successes in them, are no evidence
 * @param hedgeDelayMs without an answer for this long, a call that may be repeated is also sent by
 *     way of a peer
 * @param recoveryMs the direct path must work for this long before calls return to it; doubled by
 *     each relapse
 * @param relayHoldMs least time for which a worker's heartbeats are relayed; doubled each time that
 *     the worker comes back
 * @param canaryIntervalMs interval at which one relayed worker of a zone is redirected to the
 *     leader as a trial
 */
public record LinkPolicy(
    long advertiseIntervalMs,
    long maxAgeMs,
    long hedgeDelayMs,
    long recoveryMs,
    long relayHoldMs,
    long canaryIntervalMs) {

  /** The default values; docs/links.md gives the reason for each. */
  public static LinkPolicy defaults() {
    return new LinkPolicy(1_000, 3_500, 400, 1_000, 10_000, 5_000);
  }
}
