package org.mallowroad.net;

/** Sends requests to one endpoint. */
public interface RequestSender {
  /** What comes of a request; exactly one method is called, once, on the loop. */
  interface ResponseHandler {
    /** A complete response. */
    void answered(int status, byte[] body);

    /**
     * No complete response.
     *
     * @param sent false when it is certain that the other side did not get the request
     */
    void failed(boolean sent);

    /**
     * Not sent, since all connections of this caller are in use: a failure that says nothing of the
     * other side.
     */
    default void exhausted() {
      failed(false);
    }
  }

  /**
   * Sends a request; with no answer in time it has failed.
   *
   * @param body null for none
   */
  void call(String method, String path, byte[] body, long timeoutMs, ResponseHandler answer);

  /** Closes what is kept; calls that are out still get their answers. */
  void close();
}
