package org.mallowroad.core;

import java.util.List;

/**
 * A command to a worker.
 *
 * @param kind what the worker shall do
 * @param job id of the job
 * @param task index of the task in its job
 * @param attempt attempt number of the task
 * @param graceS grace period of a stop for saving progress, in seconds
 * @param imageSources for a launch, machines from which the worker can fetch the image; empty
 *     unless the worker reported that it fetches images from other workers
 */
public record WorkerCommand(
    Kind kind, String job, int task, int attempt, double graceS, List<String> imageSources) {
  /** Creates a command without image sources. */
  public WorkerCommand(Kind kind, String job, int task, int attempt, double graceS) {
    this(kind, job, task, attempt, graceS, List.of());
  }

  /** The command kinds. */
  public enum Kind {
    /** Start a task. */
    LAUNCH,
    /** Stop a task. */
    STOP,
    /** Forget an exited task and stop listing it in heartbeats. */
    CLEAR
  }
}
