package org.mallowroad.core;

import org.mallowroad.core.health.StragglerDetector;

/** One try to run one task on one machine; it takes room until it is proven gone. */
public final class Attempt {
  /** How far an attempt has come. */
  public enum Phase {
    /** Not yet committed: must not be launched. */
    RECORDING,
    /** Committed: its launch is sent until the worker reports it. */
    COMMITTED,
    /** Waiting for its image. */
    PULLING,
    /** Running. */
    RUNNING,
    /** Saving after a stop. */
    FLUSHING,
    /** Proven gone. */
    GONE
  }

  /** The task it runs. */
  public final Job job;

  /** The number of the task in its job. */
  public final int task;

  /** The attempt's number, higher than any earlier one of this task. */
  public final int number;

  /** Where it runs. */
  public final Machine machine;

  /** The worker's session it was recorded for. */
  public final long incarnation;

  /** How far it has come. */
  public Phase phase;

  /** Set when it is to be stopped: seconds to save; negative while it may run. */
  public double stopGraceS = -1;

  /** When it was recorded and when it began to run, on the steady clock. */
  public final long createdMs;

  /** True once a stop was sent straight to the worker. */
  boolean stopSentDirectly;

  /** True when an earlier leader began it: when it began to run is not known then. */
  boolean restoredFromRecord;

  /** True once an answer to a report carried its launch. */
  public boolean launchInHeartbeatResponse;

  /** True once its launch was sent in any way. */
  public boolean launchSent;

  /**
   * A launch sent straight to the worker has no answer yet: it may be executed at any later time,
   * unless the worker's session or token moves on or its machine goes.
   */
  public boolean launchInFlight;

  /** The token on the message that carried its launch straight to the worker; 0: none did. */
  long launchToken;

  long runningSinceMs;
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

  /** True once the worker was told to stop it, or will be. */
  public boolean isStopping() {
    return stopGraceS >= 0;
  }

  /** True when it has run for several times as long as its peers did. */
  public boolean isOverdue(StragglerDetector stragglerDetector, long now) {
    return runningSinceMs > 0
        && stragglerDetector.isTaskOverdue(
            job.runTimes, now - runningSinceMs, job.spec.estimateS());
  }

  /** When it was first reported to run, on the steady clock; 0 before. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** How the worker names it. */
  String key() {
    return key(job.spec.id(), task, number);
  }

  static String key(String job, int task, int number) {
    return job + "/" + task + "/" + number;
  }

  /** Asks for a stop; a shorter time to save replaces a longer one. */
  void stop(double graceS, long now) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
      stopSentDirectly = false;
      stopRequestedMs = now;
    }
  }
}
