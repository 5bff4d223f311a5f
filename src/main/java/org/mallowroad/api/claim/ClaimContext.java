package org.mallowroad.api.claim;

import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;

/**
 * What all claims of a node share.
 *
 * @param writes the node's part of the state service's writes
 * @param maxOps puts and deletes in one transaction
 * @param maxValueBytes the longest value of a key
 */
record ClaimContext(
    EventLoop loop,
    KeyValueStore state,
    RateLimiter writeLimiter,
    int maxOps,
    double maxValueBytes) {
  /** A conflict with another claim is retried after this time. */
  static final long CONFLICT_RETRY_DELAY_MS = 60;
}
