package org.mallowroad.state;

import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the health of the state service, as observed through the calls of this node. Times are in
 * milliseconds on the event loop's monotonic clock.
 */
public final class ServiceHealth {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceHealth.class);

  /** How long a failure counts, unless a later response shows that the service works. */
  private static final long FAILURE_MEMORY_MS = 3_000;

  /** How long responses count as late after a transaction was retried. */
  private static final long LATE_MEMORY_MS = 3_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final EventLoop loop;
  private final LatencyEstimator latency = new LatencyEstimator();
  private final LogLimiter malformedLogLimiter = LogLimiter.withDefaultLimits();
  private long lastExecutedCallSentMs = NEVER_MS;
  private long lastServedResponseMs = NEVER_MS;
  private long lastFailureMs = NEVER_MS;
  private long lastThrottledMs = NEVER_MS;
  private long lastRetryMs = NEVER_MS;
  private long malformedResponses;

  ServiceHealth(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Returns when the newest call that the service has executed was sent. The time at which its
   * response was read would be misleading: the response may have waited in a socket buffer while
   * this process was paused, and then says nothing about the time since.
   */
  public long lastExecutedCallSentMs() {
    return lastExecutedCallSentMs;
  }

  /** Returns true when the most recent outcome is a failure within the last 3 s. */
  public boolean isFailing() {
    return lastFailureMs > lastServedResponseMs && loop.now() - lastFailureMs < FAILURE_MEMORY_MS;
  }

  /** Returns when the service last refused a call of this node because of its rate limit. */
  public long lastThrottledMs() {
    return lastThrottledMs;
  }

  /**
   * Returns true when a transaction was resent within the last 3 s because its response was late.
   */
  public boolean hasLateResponses() {
    return loop.now() - lastRetryMs < LATE_MEMORY_MS;
  }

  /** Returns the number of responses that violated the protocol. */
  public long malformedResponses() {
    return malformedResponses;
  }

  /** Returns the latency estimate of calls that do not wait for an event. */
  LatencyEstimator latency() {
    return latency;
  }

  /**
   * Records a response.
   *
   * @param countsForLatency false for calls that wait for an event, such as watches
   */
  void recordResponse(int status, long sentMs, boolean countsForLatency) {
    if (status == HttpStatus.OK
        || status == HttpStatus.NOT_FOUND
        || status == HttpStatus.CONFLICT
        || status == HttpStatus.GONE) {
      lastExecutedCallSentMs = Math.max(lastExecutedCallSentMs, sentMs);
      lastServedResponseMs = loop.now();
      if (countsForLatency) {
        latency.addSample(lastServedResponseMs - sentMs);
      }
    } else if (status == HttpStatus.UNAVAILABLE) {
      lastFailureMs = loop.now();
    } else if (status == HttpStatus.TOO_MANY_REQUESTS) {
      lastThrottledMs = loop.now();
    }
  }

  /** Records a call without a response. */
  void recordFailure() {
    lastFailureMs = loop.now();
  }

  /** Records that a transaction was resent because its response was late. */
  void recordRetry() {
    lastRetryMs = loop.now();
  }

  /** Records and logs a response that violated the protocol. */
  void recordMalformedResponse(InvalidMessageException reason) {
    malformedResponses++;
    if (malformedLogLimiter.tryAcquire(loop.now())) {
      LOG.warn(
          "event=state_response_malformed reason=\"{}\" suppressed={}",
          reason.getMessage(),
          malformedLogLimiter.suppressedLines());
    }
  }
}
