package org.mallowroad.net;

import org.mallowroad.config.Settings.Endpoint;

/**
 * What a node uses of its machine: the event loop, outgoing connections and listeners. {@link
 * XnioEnvironment} is that of a process; simulations provide their own.
 */
public interface NodeEnvironment {
  /** What a node does with incoming requests; called on the event loop. */
  interface RequestHandler {
    /** Serves a request of a user, a worker, or a health or metrics probe. */
    void onRequest(IncomingRequest x);

    /** Serves a message of another controller. */
    void onPeerMessage(IncomingRequest x);
  }

  /** The node's event loop. */
  EventLoop loop();

  /**
   * Creates a sender to an endpoint.
   *
   * @param contentType the media type of request bodies
   * @param maxConnections connections at once, beyond which a request fails unsent
   * @param maxResponseBytes the largest response body; a larger one counts as no response
   */
  RequestSender requestSender(
      Endpoint to, String contentType, int maxConnections, int maxResponseBytes);

  /** Starts to listen; called on the event loop. */
  void listen(RequestHandler handler);

  /** Bytes that are reserved for request bodies being read. */
  long bufferedBodyBytes();

  /** The address, as host:port, of listener 0 (users and workers) or 1 (controllers). */
  String boundAddress(int listener);

  /** The thread that runs the event loop, for supervision from outside the loop. */
  Thread loopThread();

  /** Closes the listeners and ends the event loop. */
  void stop();
}
