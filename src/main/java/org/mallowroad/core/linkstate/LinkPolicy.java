package org.mallowroad.core.linkstate;

/**
 * The operators' settings for link-state routing (element {@code links} of the XML settings), all
 * in ms.
 *
 * @param advertiseIntervalMs interval at which a node sends its link-state advertisement to the
 *     other controllers
 * @param maxAgeMs advertisements older than this, and successful calls in them that are older than
 *     this, are disregarded
 * @param hedgeDelayMs time without an answer after which an idempotent call is also sent through a
 *     peer
 * @param recoveryMs time for which the direct path must work before calls return to it; doubled by
 *     each relapse
 * @param relayHoldMs minimum time for which a worker's heartbeats are relayed; doubled each time
 *     that the worker returns after a redirection
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
