package org.mallowroad.core;

import org.mallowroad.core.health.StragglerDetector;

/**
 * One try to run one task on one machine. It takes quota and resources until it is proven gone
 * ({@link AttemptTracker}). Times are milliseconds on the process's steady clock.
 */
public final class Attempt {
  /**
   * The states of an attempt, in their order; the first two and the last are the leader's. Their
   * names in lower case are part of the console's JSON.
   */
  public enum Phase {
    /** Its record is not yet committed: it must not be launched. */
    RECORDING,
    /** Its record is committed: its launch is sent until a heartbeat lists it. */
    READY,
    /** The worker fetches its image. */
    PULLING,
    /** The worker runs it. */
    RUNNING,
    /** The worker saves its progress after a stop. */
    FLUSHING,
    /** Proven gone. */
    GONE
  }

  /** The job whose task it runs. */
  public final Job job;

  /** The number of the task in its job. */
  public final int task;

  /** The attempt's number, higher than any earlier one of this task. */
  public final int number;

  /** Where it runs. */
  public final Machine machine;

  /** The incarnation of the worker that it was made for. */
  public final long incarnation;

  /** How far it has come. */
  public Phase phase;

  /** Seconds that it has to save its progress before it is stopped; negative while it may run. */
  public double stopGraceS = -1;

  /** When it was made, or restored on failover. */
  public final long createdMs;

  /** True once a direct command with its stop was sent. */
  boolean stopSentDirectly;

  /** True when an earlier leader made it: when it began to run is not known then. */
  boolean restoredFromRecord;

  /** True once the response to a heartbeat carried its launch. */
  public boolean launchInHeartbeatResponse;

  /** True once its launch was sent, in a response or a direct command. */
  public boolean launchSent;

  /**
   * True while a direct command with its launch is unanswered: the launch may be executed at any
   * later time, unless the worker's incarnation or token rises or its machine is deleted.
   */
  public boolean launchInFlight;

  /** The fencing token on the direct command that carried its launch; 0 when none did. */
  long launchToken;

  /** When it was first reported to run; 0 before. */
  long runningSinceMs;

  /** When its stop was requested last. */
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

  /** True once its stop was requested. */
  public boolean isStopping() {
    return stopGraceS >= 0;
  }

  /** True when it has run for several times as long as its peers did. */
  public boolean isOverdue(StragglerDetector stragglerDetector, long now) {
    return runningSinceMs > 0
        && stragglerDetector.isTaskOverdue(
            job.runTimes, now - runningSinceMs, job.spec.estimateS());
  }

  /** When it was first reported to run; 0 before. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Its name among those of one worker; no two attempts ever have the same. */
  String key() {
    return key(job.spec.id(), task, number);
  }

  static String key(String job, int task, int number) {
    return job + "/" + task + "/" + number;
  }

  /** Takes a request for a stop; a shorter time to save replaces a longer one. */
  void stop(double graceS, long now) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
      stopSentDirectly = false;
      stopRequestedMs = now;
    }
  }
}
