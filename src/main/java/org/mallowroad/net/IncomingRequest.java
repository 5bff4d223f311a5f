package org.mallowroad.net;

/**
 * A request whose body has been read completely. It is answered once, during its handler's call or
 * later, on the event loop.
 */
public interface IncomingRequest {
  /** The HTTP method. */
  String method();

  /** The path without a query. */
  String path();

  /** The body; empty when there is none. */
  byte[] body();

  /**
   * Sends the response; any further call is ignored.
   *
   * @param contentType the media type of the body
   * @param retryLater whether the client is told to retry after a second
   */
  void respond(int status, String contentType, byte[] body, boolean retryLater);
}
