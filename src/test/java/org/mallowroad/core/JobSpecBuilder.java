package org.mallowroad.core;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.dependency.JobDependencies;

/** Builds job specs for the tables. */
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
  private double checkpoint;
  private double save;
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

  public JobSpecBuilder zone(int z) {
    zone = z;
    return this;
  }

  public JobSpecBuilder team(int t) {
    team = t;
    return this;
  }

  public JobSpecBuilder priority(int p) {
    priority = p;
    return this;
  }

  public JobSpecBuilder dependencies(JobDependencies t) {
    dependencies = t;
    return this;
  }

  public JobSpecBuilder checkpoints(double everyS, double inS) {
    checkpoint = everyS;
    save = inS;
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
        checkpoint,
        save,
        0,
        1_000,
        dependencies);
  }

  /** A report that lists all of a machine's attempts in one state. */
  public static Heartbeat heartbeatListingAttempts(
      Machine m, long sequence, long fencingToken, Heartbeat.State state) {
    List<Heartbeat.Entry> tasks = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      String why = state == Heartbeat.State.EXITED ? "done" : null;
      tasks.add(new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, state, why));
    }
    return new Heartbeat(
        m.name, "h:1", m.type.name(), "a", m.spot, 1, sequence, fencingToken, -1, tasks);
  }

  /** Commits all that is dirty, with every start in it. */
  public static void commitDirtyRecords(SchedulerState schedulerState, long now) {
    for (AttemptRecord c : new ArrayList<>(schedulerState.dirtyRecords())) {
      List<Attempt> recorded = new ArrayList<>();
      for (int t = c.firstTask(); t < c.endTask(); t++) {
        if (c.job.liveAttempt(t) != null) {
          recorded.add(c.job.liveAttempt(t));
        }
      }
      schedulerState.recordCommitted(c, 9, c.changeCount, recorded, now);
    }
  }
}
