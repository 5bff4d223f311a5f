package org.mallowroad.api.claim;

import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;

/**
 * What all acceptances on a node share.
 *
 * @param writeLimiter limits the node's writes to the state service
 * @param maxOps the maximum number of puts and deletes in one transaction
 * @param maxValueBytes the maximum size of a value
 */
record ClaimContext(
    EventLoop loop,
    KeyValueStore state,
    RateLimiter writeLimiter,
    int maxOps,
    double maxValueBytes) {
  /** The delay before the first retry after a conflict with another claim. */
  static final long CONFLICT_RETRY_DELAY_MS = 60;
}
