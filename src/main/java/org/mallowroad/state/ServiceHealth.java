package org.mallowroad.state;

import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The health of the state service, as far as the calls of this node show it. Times are on the event
 * loop's steady clock, in milliseconds.
 */
public final class ServiceHealth {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceHealth.class);

  /** A failure counts for this long unless the service has answered since. */
  private static final long FAILURE_MEMORY_MS = 3_000;

  /** After a retry of a transaction responses count as late for this long. */
  private static final long LATE_MEMORY_MS = 3_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final EventLoop loop;
  private final LatencyEstimator latency = new LatencyEstimator();
  private final LogLimiter malformedLog = LogLimiter.usual();
  private long lastExecutedCallSentMs = NEVER_MS;
  private long lastServedMs = NEVER_MS;
  private long lastFailureMs = NEVER_MS;
  private long lastThrottledMs = NEVER_MS;
  private long lastRetryMs = NEVER_MS;
  private long malformedResponses;

  ServiceHealth(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * When the newest call was sent that the service has executed. Not when its response was read:
   * that may have waited in a socket while this process was paused, and says nothing of the time
   * since.
   */
  public long lastExecutedCallSentMs() {
    return lastExecutedCallSentMs;
  }

  /** True when the newest sign of the service is a failure within the last seconds. */
  public boolean isFailing() {
    return lastFailureMs > lastServedMs && loop.now() - lastFailureMs < FAILURE_MEMORY_MS;
  }

  /** When the service last refused a call of this node for its rate limit. */
  public long lastThrottledMs() {
    return lastThrottledMs;
  }

  /** True while responses to transactions are late: one was sent again within the last seconds. */
  public boolean hasLateResponses() {
    return loop.now() - lastRetryMs < LATE_MEMORY_MS;
  }

  /** Number of responses that were not what the protocol says. */
  public long malformedResponses() {
    return malformedResponses;
  }

  /** How long calls take that do not wait for something to happen. */
  LatencyEstimator latency() {
    return latency;
  }

  /**
   * A response came.
   *
   * @param countsForLatency false for calls that wait for something to happen
   */
  void responded(int status, long sentMs, boolean countsForLatency) {
    if (status == HttpStatus.OK
        || status == HttpStatus.NOT_FOUND
        || status == HttpStatus.CONFLICT
        || status == HttpStatus.GONE) {
      lastExecutedCallSentMs = Math.max(lastExecutedCallSentMs, sentMs);
      lastServedMs = loop.now();
      if (countsForLatency) {
        latency.sample(lastServedMs - sentMs);
      }
    } else if (status == HttpStatus.UNAVAILABLE) {
      lastFailureMs = loop.now();
    } else if (status == HttpStatus.TOO_MANY_REQUESTS) {
      lastThrottledMs = loop.now();
    }
  }

  /** A call ended without a response. */
  void failed() {
    lastFailureMs = loop.now();
  }

  /** A transaction was sent again, since its response is late. */
  void retried() {
    lastRetryMs = loop.now();
  }

  /** A response was not what the protocol says. */
  void malformed(InvalidMessageException reason) {
    malformedResponses++;
    if (malformedLog.tryAcquire(loop.now())) {
      LOG.warn(
          "event=state_response_malformed reason=\"{}\" suppressed={}",
          reason.getMessage(),
          malformedLog.suppressed());
    }
  }
}
