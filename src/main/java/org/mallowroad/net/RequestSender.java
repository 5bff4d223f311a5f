package org.mallowroad.net;

/**
 * Sends requests to one endpoint, asynchronously. Confined to the event loop, on which all response
 * handlers are called.
 */
public interface RequestSender {
  /** Takes the outcome of one request; exactly one method is called, once. */
  interface ResponseHandler {
    /** A complete response arrived in time. */
    void onResponse(int status, byte[] body);

    /**
     * No complete response arrived in time.
     *
     * @param sent false when the other side certainly did not receive the request
     */
    void onFailure(boolean sent);

    /**
     * The request was not sent, since all connections of this sender are in use: a failure that is
     * no sign of a fault on the other side.
     */
    default void onNoFreeConnection() {
      onFailure(false);
    }
  }

  /**
   * Sends a request.
   *
   * @param body null for none
   * @param timeoutMs after which the request has failed
   */
  void send(String method, String path, byte[] body, long timeoutMs, ResponseHandler handler);

  /** Closes idle connections; requests in flight still get their responses. */
  void close();
}
