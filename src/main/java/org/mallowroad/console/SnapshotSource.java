package org.mallowroad.console;

import java.util.function.Consumer;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;

/**
 * The console's access to its node. The methods may be called from any thread; callbacks and tasks
 * run on the node's event loop.
 */
public interface SnapshotSource {
  /** The node's name. */
  String nodeName();

  /** Requests a snapshot of the node. */
  void requestSnapshot(Consumer<NodeSnapshot> callback);

  /** Requests a snapshot of one job. */
  void requestJob(String id, Consumer<JobSnapshot> callback);

  /** Runs a task on the event loop as soon as the loop is free. */
  void submit(Runnable task);

  /** The thread of the event loop; the console only reads its stack trace. */
  Thread loopThread();
}
