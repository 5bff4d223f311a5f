package org.mallowroad.worker;

import java.util.List;
import org.mallowroad.core.WorkerCommand;

/**
 * Takes the leader's response to one heartbeat. Exactly one of the methods is called, once, on the
 * event loop; it may be called after the heartbeat handler has returned.
 */
public interface HeartbeatResponder {
  /**
   * Sends commands to the worker.
   *
   * @param fencingToken the token under which the worker executes them
   * @param commands what it has to do, in order; empty when there is nothing
   */
  void respond(long fencingToken, List<WorkerCommand> commands);

  /** The leader cannot process the heartbeat now: the worker is asked to send it again. */
  void retryLater();
}
