package org.mallowroad.console;

import java.util.function.Consumer;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;

/** What a console asks of its node's loop. Calls come from any thread, answers on the loop. */
public interface SnapshotSource {
  /** The node's name. */
  String node();

  /** Asks for a picture. */
  void picture(Consumer<NodeSnapshot> done);

  /** Asks for one job. */
  void job(String id, Consumer<JobSnapshot> done);

  /** Runs on the loop as soon as it turns. */
  void soon(Runnable task);

  /** The loop's thread, of which nothing but the stack is looked at. */
  Thread thread();
}
