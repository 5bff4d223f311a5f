package org.mallowroad.core;

import org.mallowroad.core.health.StragglerDetector;

/**
 * One attempt to run a task on a machine. It counts against its team's quota and its machine's
 * resources until it is proven gone, see {@link AttemptTracker}. Times are milliseconds on the
 * process's monotonic clock.
 */
public final class Attempt {
  /**
   * The states of an attempt in the order of its life cycle. The leader sets the first two and the
   * last; the others are reported by the worker. The names in lower case are part of the console's
   * JSON.
   */
  public enum Phase {
    /** The record of the attempt is not committed yet, so it must not be launched. */
    RECORDING,
    /** The record is committed; the launch is resent until a heartbeat lists the attempt. */
    READY,
    /** The worker is fetching the image. */
    PULLING,
    /** The task is running. */
    RUNNING,
    /** The worker is saving the task's progress after a stop command. */
    FLUSHING,
    /** The attempt is proven gone. */
    GONE
  }

  /** The job that the task belongs to. */
  public final Job job;

  /** The index of the task in its job. */
  public final int task;

  /** The attempt number, higher than that of every earlier attempt of this task. */
  public final int number;

  /** The machine that the attempt is placed on. */
  public final Machine machine;

  /** The worker incarnation that the attempt was created for. */
  public final long incarnation;

  /** The current state. */
  public Phase phase;

  /** Grace period for saving progress, in seconds; negative until a stop is requested. */
  public double stopGraceS = -1;

  /** Time at which the attempt was created, or restored on failover. */
  public final long createdMs;

  /** True once the latest stop request was sent in a direct command. */
  boolean stopSentDirectly;

  /** True when an earlier leader created the attempt, so its real start of running is unknown. */
  boolean restoredFromRecord;

  /** The messages that carried the launch. */
  public final LaunchMessages launchMessages = new LaunchMessages();

  /** Time of the first heartbeat that reported the task running; 0 before that. */
  long runningSinceMs;

  /** Time of the latest stop request. */
  long stopRequestedMs;

  Attempt(Job job, int task, int number, Machine machine, long incarnation, Phase phase, long now) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.incarnation = incarnation;
    this.phase = phase;
    this.createdMs = now;
  }

  /** True once a stop was requested. */
  public boolean isStopping() {
    return stopGraceS >= 0;
  }

  /** True when the task has run several times as long as the other tasks of its job took. */
  public boolean isOverdue(StragglerDetector stragglerDetector, long now) {
    return runningSinceMs > 0
        && stragglerDetector.isTaskOverdue(
            job.runTimes, now - runningSinceMs, job.spec.estimateS());
  }

  /** Time of the first heartbeat that reported the task running; 0 before that. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Identifies the attempt in its machine's tables; unique among all attempts of all terms. */
  String key() {
    return key(job.spec.id(), task, number);
  }

  static String key(String job, int task, int number) {
    return job + "/" + task + "/" + number;
  }

  /** Records a stop request; a shorter grace period replaces a longer one. */
  void recordStopRequest(double graceS, long now) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
      stopSentDirectly = false;
      stopRequestedMs = now;
    }
  }
}
