package org.mallowroad.console;

import java.util.function.Consumer;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;

/** What a console asks of its node's loop. Calls come from any thread, answers on the loop. */
public interface SnapshotSource {
  /** The node's name. */
  String nodeName();

  /** Asks for a picture. */
  void requestSnapshot(Consumer<NodeSnapshot> callback);

  /** Asks for one job. */
  void requestJob(String id, Consumer<JobSnapshot> callback);

  /** Runs on the loop as soon as it turns. */
  void submit(Runnable task);

  /** The loop's thread, of which nothing but the stack is looked at. */
  Thread loopThread();
}
