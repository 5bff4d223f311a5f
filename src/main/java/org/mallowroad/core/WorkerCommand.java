package org.mallowroad.core;

import java.util.List;

/**
 * A command to a worker.
 *
 * @param imageSources where a launch's image may be had from other machines; empty but for workers
 *     that said that they can take it there
 */
public record WorkerCommand(
    Kind kind, String job, int task, int attempt, double graceS, List<String> imageSources) {
  /** Without givers. */
  public WorkerCommand(Kind kind, String job, int task, int attempt, double graceS) {
    this(kind, job, task, attempt, graceS, List.of());
  }

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
