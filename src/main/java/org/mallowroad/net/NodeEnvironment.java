package org.mallowroad.net;

import org.mallowroad.config.Settings.Endpoint;

/**
 * The runtime environment of a node: its event loop, outgoing connections and listeners. {@link
 * XnioEnvironment} is the implementation of a process; simulations provide their own.
 */
public interface NodeEnvironment {
  /** Handles incoming requests; called on the event loop. */
  interface RequestHandler {
    /** Handles a request of a user, a worker, or a health or metrics probe. */
    void onRequest(IncomingRequest request);

    /** Handles a message of another controller. */
    void onPeerMessage(IncomingRequest request);
  }

  /** The node's event loop. */
  EventLoop loop();

  /**
   * Creates a sender of requests to an endpoint.
   *
   * @param contentType the media type of request bodies
   * @param maxConnections the limit of concurrent connections; a request beyond it fails unsent
   * @param maxResponseBytes the largest response body; a larger one counts as no response
   */
  RequestSender requestSender(
      Endpoint endpoint, String contentType, int maxConnections, int maxResponseBytes);

  /** Starts the listeners; must be called on the event loop. */
  void listen(RequestHandler handler);

  /** The number of bytes that are reserved for request bodies being read. */
  long bufferedBodyBytes();

  /** The bound address, as host:port, of listener 0 (users and workers) or 1 (controllers). */
  String boundAddress(int listener);

  /** The thread that runs the event loop, for supervision from outside the loop. */
  Thread loopThread();

  /** Closes the listeners and stops the event loop. */
  void stop();
}
