package org.mallowroad.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Parses the response to one call and reports the outcome to {@link ServiceHealth}. A malformed
 * response is handled as a missing one. The last of the abstract methods to be called determines
 * the result of the call.
 */
abstract class CallHandler implements RequestSender.ResponseHandler {

  private final ServiceHealth health;
  private final long sentMs;

  CallHandler(ServiceHealth health, long sentMs) {
    this.health = health;
    this.sentMs = sentMs;
  }

  /**
   * Handles a response.
   *
   * @param body empty when the response has no body or its body is not relevant
   * @throws InvalidMessageException when the body violates the protocol; {@link #onNoResponse} is
   *     then called as well
   */
  abstract void onResponse(int status, ObjectNode body) throws InvalidMessageException;

  /**
   * Handles the absence of a usable response.
   *
   * @param sent false when the service certainly did not receive the request
   */
  abstract void onNoResponse(boolean sent);

  /**
   * Returns whether the response time is a latency sample; false for calls that wait for an event,
   * such as watches.
   */
  boolean countsForLatency() {
    return true;
  }

  @Override
  public final void onResponse(int status, byte[] body) {
    health.recordResponse(status, sentMs, countsForLatency());
    ObjectNode parsed = Json.object();
    if (status < HttpStatus.FIRST_SERVER_ERROR
        && status != HttpStatus.TOO_MANY_REQUESTS
        && body.length > 0) {
      try {
        parsed = Json.parseObject(body);
      } catch (InvalidMessageException e) {
        if (status == HttpStatus.OK || status == HttpStatus.CONFLICT) {
          handleMalformed(e);
          return;
        }
        // For other statuses the body serves only the log, so the status is sufficient.
      }
    }
    try {
      onResponse(status, parsed);
    } catch (InvalidMessageException e) {
      handleMalformed(e);
    }
  }

  private void handleMalformed(InvalidMessageException e) {
    health.recordMalformedResponse(e);
    onNoResponse(true);
  }

  @Override
  public final void onFailure(boolean sent) {
    health.recordFailure();
    onNoResponse(sent);
  }
}
