package org.mallowroad.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Parses the response to one call and reports it to the {@link ServiceHealth}. A response that
 * cannot be understood counts as none; exactly one of the two abstract methods has the last word.
 */
abstract class CallHandler implements RequestSender.ResponseHandler {

  private final ServiceHealth health;
  private final long sentMs;

  CallHandler(ServiceHealth health, long sentMs) {
    this.health = health;
    this.sentMs = sentMs;
  }

  /**
   * A response came.
   *
   * @param body empty when the response has none, or none that matters
   * @throws InvalidMessageException when the body is not what the protocol says: then {@link
   *     #onNoResponse} is called as well
   */
  abstract void onResponse(int status, ObjectNode body) throws InvalidMessageException;

  /**
   * No usable response came.
   *
   * @param sent false when the service certainly did not get the request
   */
  abstract void onNoResponse(boolean sent);

  /** False for calls that wait for something to happen. */
  boolean countsForLatency() {
    return true;
  }

  @Override
  public final void answered(int status, byte[] body) {
    health.responded(status, sentMs, countsForLatency());
    ObjectNode parsed = Json.object();
    if (status < HttpStatus.FIRST_SERVER_ERROR
        && status != HttpStatus.TOO_MANY_REQUESTS
        && body.length > 0) {
      try {
        parsed = Json.parseObject(body);
      } catch (InvalidMessageException e) {
        if (status == HttpStatus.OK || status == HttpStatus.CONFLICT) {
          malformed(e);
          return;
        }
        // The status says it all: the body of other responses is for the log only.
      }
    }
    try {
      onResponse(status, parsed);
    } catch (InvalidMessageException e) {
      malformed(e);
    }
  }

  private void malformed(InvalidMessageException e) {
    health.malformed(e);
    onNoResponse(true);
  }

  @Override
  public final void failed(boolean sent) {
    health.failed();
    onNoResponse(sent);
  }
}
