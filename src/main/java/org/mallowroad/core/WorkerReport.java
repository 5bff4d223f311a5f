package org.mallowroad.core;

import java.util.List;

/** A worker's message about itself and the tasks it holds. */
public record WorkerReport(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    double noticeS,
    List<Entry> entries) {

  /** What a worker says of a task. */
  public enum State {
    /** Waiting for its image. */
    PULLING,
    /** Running. */
    RUNNING,
    /** Saving. */
    FLUSHING,
    /** Ended. */
    EXITED
  }

  /**
   * One task on the machine.
   *
   * @param why for an exited task, the cause as the worker gave it, else null
   */
  public record Entry(String job, int task, int attempt, State state, String why) {}
}
