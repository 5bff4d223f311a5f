package org.mallowroad.net;

/**
 * Sends requests to one endpoint, asynchronously. Confined to the event loop, on which all response
 * handlers are called.
 */
public interface RequestSender {
  /** Receives the outcome of one request; exactly one of the methods is called, once. */
  interface ResponseHandler {
    /** A complete response arrived before the timeout. */
    void onResponse(int status, byte[] body);

    /**
     * No complete response arrived before the timeout.
     *
     * @param sent false if the receiver certainly did not receive the request
     */
    void onFailure(boolean sent);

    /**
     * The request was not sent because all connections of this sender are in use. This failure does
     * not indicate a fault of the receiver.
     */
    default void onNoFreeConnection() {
      onFailure(false);
    }
  }

  /**
   * Sends a request.
   *
   * @param body the request body; null if there is none
   * @param timeoutMs the time in milliseconds after which the request fails
   */
  void send(String method, String path, byte[] body, long timeoutMs, ResponseHandler handler);

  /** Closes idle connections; requests in flight still get their responses. */
  void close();
}
