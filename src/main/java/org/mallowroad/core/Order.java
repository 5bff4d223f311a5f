package org.mallowroad.core;

/** A command to a worker. */
public record Order(Kind kind, String job, int task, int attempt, double graceS) {
  /** What is ordered. */
  public enum Kind {
    /** Start a task. */
    LAUNCH,
    /** Stop a task. */
    STOP,
    /** Drop an exited task from the reports. */
    CLEAR
  }
}
