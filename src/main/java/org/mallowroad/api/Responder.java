package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Sends the response to a user's request, which arrived over HTTP or was relayed by another
 * controller. Called once, on the event loop, possibly after the request handler has returned.
 */
@FunctionalInterface
public interface Responder {
  /**
   * Sends the response.
   *
   * @param retryLater whether the client is asked to retry after one second
   */
  void respond(int status, ObjectNode body, boolean retryLater);
}
