package org.mallowroad.worker;

import java.util.List;
import org.mallowroad.core.WorkerCommand;

/**
 * Receives the leader's response to one heartbeat. Exactly one of the methods is called, once, on
 * the event loop; it may be called after the heartbeat handler has returned.
 */
public interface HeartbeatResponder {
  /**
   * Sends commands to the worker.
   *
   * @param fencingToken the token under which the worker executes them
   * @param commands the commands in the order of their execution; may be empty
   */
  void respond(long fencingToken, List<WorkerCommand> commands);

  /** Asks the worker to send the heartbeat again, since the leader cannot process it now. */
  void retryLater();
}
