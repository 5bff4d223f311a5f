package org.mallowroad.core;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.dependency.JobDependencies;

/** Builds job specs for tests, and creates the heartbeats and commits that tests need. */
public final class JobSpecBuilder {
  private final String id;
  private final int tasks;
  private final double cpus;
  private boolean service;
  private boolean gang;
  private boolean together;
  private boolean scatter;
  private boolean spot;
  private int zone = -1;
  private int team;
  private int taskClass;
  private int priority = 2;
  private double checkpointIntervalS;
  private double checkpointDurationS;
  private JobDependencies dependencies = JobDependencies.NONE;

  private JobSpecBuilder(String id, int tasks, double cpus) {
    this.id = id;
    this.tasks = tasks;
    this.cpus = cpus;
  }

  public static JobSpecBuilder job(String id, int tasks, double cpus) {
    return new JobSpecBuilder(id, tasks, cpus);
  }

  public JobSpecBuilder taskClass(int index) {
    taskClass = index;
    return this;
  }

  public JobSpecBuilder service() {
    service = true;
    return this;
  }

  public JobSpecBuilder gang() {
    gang = true;
    return this;
  }

  public JobSpecBuilder together() {
    together = true;
    return this;
  }

  public JobSpecBuilder scatter() {
    scatter = true;
    return this;
  }

  public JobSpecBuilder spot() {
    spot = true;
    return this;
  }

  public JobSpecBuilder zone(int index) {
    zone = index;
    return this;
  }

  public JobSpecBuilder team(int index) {
    team = index;
    return this;
  }

  public JobSpecBuilder priority(int value) {
    priority = value;
    return this;
  }

  public JobSpecBuilder dependencies(JobDependencies value) {
    dependencies = value;
    return this;
  }

  public JobSpecBuilder checkpoints(double intervalS, double durationS) {
    checkpointIntervalS = intervalS;
    checkpointDurationS = durationS;
    return this;
  }

  public JobSpec build() {
    return new JobSpec(
        id,
        taskClass,
        team,
        service,
        gang,
        priority,
        tasks,
        cpus,
        0,
        1,
        0,
        1,
        null,
        zone,
        together,
        scatter,
        spot,
        60,
        checkpointIntervalS,
        checkpointDurationS,
        0,
        1_000,
        dependencies);
  }

  /** A heartbeat that lists all attempts of a machine in the same state. */
  public static Heartbeat heartbeatListingAttempts(
      Machine machine, long sequence, long fencingToken, Heartbeat.State state) {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      String exitReason = state == Heartbeat.State.EXITED ? "done" : null;
      entries.add(
          new Heartbeat.Entry(
              attempt.job.spec.id(), attempt.task, attempt.number, state, exitReason));
    }
    return new Heartbeat(
        machine.name,
        "h:1",
        machine.type.name(),
        "a",
        machine.spot,
        1,
        sequence,
        fencingToken,
        -1,
        entries);
  }

  /** Commits all dirty records with all their live attempts. */
  public static void commitDirtyRecords(SchedulerState schedulerState, long now) {
    for (AttemptRecord attemptRecord : new ArrayList<>(schedulerState.dirtyRecords())) {
      List<Attempt> writtenAttempts = new ArrayList<>();
      for (int task = attemptRecord.firstTask(); task < attemptRecord.endTask(); task++) {
        if (attemptRecord.job.liveAttempt(task) != null) {
          writtenAttempts.add(attemptRecord.job.liveAttempt(task));
        }
      }
      schedulerState.recordCommitted(
          attemptRecord, 9, attemptRecord.changeCount, writtenAttempts, now);
    }
  }
}
