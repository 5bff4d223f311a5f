package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Takes the response to a user's request, which arrived over HTTP or was relayed by another
 * controller. Called once, on the event loop, also after the handler has returned.
 */
@FunctionalInterface
public interface Responder {
  /**
   * Sends the response.
   *
   * @param retryLater whether the client is told to retry after a second
   */
  void respond(int status, ObjectNode body, boolean retryLater);
}
