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
  /** A command without image sources. */
  public WorkerCommand(Kind kind, String job, int task, int attempt, double graceS) {
    this(kind, job, task, attempt, graceS, List.of());
  }

  /** The kinds of commands. */
  public enum Kind {
    /** Start a task. */
    LAUNCH,
    /** Stop a task. */
    STOP,
    /** Leave an exited task out of the heartbeats from now on, and forget it. */
    CLEAR
  }
}
