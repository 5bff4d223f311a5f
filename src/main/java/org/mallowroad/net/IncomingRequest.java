package org.mallowroad.net;

/**
 * A request whose body has been read completely. It is answered once, on the event loop, either
 * while its handler runs or later.
 */
public interface IncomingRequest {
  /** The HTTP method. */
  String method();

  /** The path without the query string. */
  String path();

  /** The body; empty if there is none. */
  byte[] body();

  /**
   * Sends the response; any further call is ignored.
   *
   * @param contentType the media type of the body
   * @param retryLater whether to add a Retry-After header of one second
   */
  void respond(int status, String contentType, byte[] body, boolean retryLater);
}
