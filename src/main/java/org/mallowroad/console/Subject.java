package org.mallowroad.console;

import java.util.function.Consumer;
import org.mallowroad.core.explain.JobPicture;
import org.mallowroad.core.explain.Picture;

/** What a console asks of its node's loop. Calls come from any thread, answers on the loop. */
public interface Subject {
  /** The node's name. */
  String node();

  /** Asks for a picture. */
  void picture(Consumer<Picture> done);

  /** Asks for one job. */
  void job(String id, Consumer<JobPicture> done);

  /** Runs on the loop as soon as it turns. */
  void soon(Runnable task);

  /** The loop's thread, of which nothing but the stack is looked at. */
  Thread thread();
}
