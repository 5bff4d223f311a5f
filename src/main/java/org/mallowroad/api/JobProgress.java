package org.mallowroad.api;

/** The number of tasks of an open job that are done, and the number that are running. */
public record JobProgress(int doneTasks, int runningTasks) {
  /** No task is done or running, or the counts are not known yet. */
  static final JobProgress NONE = new JobProgress(0, 0);
}
