package org.mallowroad.api;

/** How many tasks of an open job are done, and how many run. */
public record JobProgress(int doneTasks, int runningTasks) {
  /** No task is done or runs, or nothing is known of them yet. */
  static final JobProgress NONE = new JobProgress(0, 0);
}
