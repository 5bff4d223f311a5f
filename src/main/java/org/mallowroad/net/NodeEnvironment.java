package org.mallowroad.net;

import org.mallowroad.config.Settings.Endpoint;

/** Where a node lives: its loop, its ways out, and what comes in. */
public interface NodeEnvironment {
  /** What a node does with what comes in. */
  interface RequestHandler {
    /** From users, workers and whoever asks for health and metrics. */
    void request(IncomingRequest x);

    /** From the other controllers. */
    void message(IncomingRequest x);
  }

  /** The node's loop. */
  EventLoop loop();

  /**
   * A way to an endpoint.
   *
   * @param maxOpen connections at once, beyond which a call fails unsent
   * @param maxBody bytes of an answer, beyond which it counts as none
   */
  RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody);

  /** Begins to listen; called on the loop. */
  void listen(RequestHandler front);

  /** Bytes of the bodies in hand. */
  long bufferedBodyBytes();

  /** Where listener 0 (users, workers) or 1 (controllers) is bound, as host:port. */
  String boundAddress(int listener);

  /** The thread that turns the loop: whoever watches over the loop from outside looks at it. */
  Thread thread();

  /** Ends everything. */
  void stop();
}
