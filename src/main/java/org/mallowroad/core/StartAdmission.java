package org.mallowroad.core;

import java.util.List;

/**
 * The only place that decides whether a task may start on a machine. Placement, gang reservations
 * and the explanation of pending jobs all use it, so the explanations that users see match the
 * actual decisions.
 *
 * <p>The methods depend only on the current state and have no side effects.
 */
final class StartAdmission {
  private final List<Team> teams;
  private final long heartbeatOverdueMs;

  StartAdmission(List<Team> teams, long heartbeatOverdueMs) {
    this.teams = teams;
    this.heartbeatOverdueMs = heartbeatOverdueMs;
  }

  /** The team that a job belongs to. */
  Team team(JobSpec spec) {
    return teams.get(spec.team());
  }

  /** Why the machine gets no new work from any job; null when it may get some. */
  StartRefusal machineRefusal(Machine machine, long now) {
    if (machine.draining || machine.deleting || machine.failed) {
      return StartRefusal.DRAINING_OR_FAILED;
    }
    if (machine.lastHeartbeatMs < 0 || now - machine.lastHeartbeatMs > heartbeatOverdueMs) {
      return StartRefusal.HEARTBEAT_OVERDUE;
    }
    if (machine.health.outboundReachability().isBroken()) {
      return StartRefusal.OUTBOUND_UNREACHABLE;
    }
    return machine.backoffUntilMs > now ? StartRefusal.BACKING_OFF_AFTER_REFUSAL : null;
  }

  /** The first rule that forbids starting the task on the machine; null when it may start. */
  StartRefusal startRefusal(Job job, int task, Machine machine, long now) {
    if (job.cancelled || job.ended || job.held) {
      return StartRefusal.JOB_NOT_ELIGIBLE;
    }
    if (job.doneTasks.get(task) || job.liveAttempts[task] != null) {
      return StartRefusal.TASK_NOT_PENDING;
    }
    StartRefusal machineRefusal = machineRefusal(machine, now);
    if (machineRefusal != null) {
      return machineRefusal;
    }
    if (machine.reservedFor != null && machine.reservedFor != job) {
      return StartRefusal.RESERVED_FOR_GANG;
    }
    JobSpec spec = job.spec;
    if (!spec.allows(machine.type.index(), machine.zone, machine.spot)) {
      return StartRefusal.CONSTRAINTS;
    }
    if (!machine.freeResources.fits(spec)) {
      return StartRefusal.RESOURCES;
    }
    if (!team(spec).isWithinLimit(spec, 1)) {
      return StartRefusal.QUOTA;
    }
    return job.allowsZone(machine.zone) ? null : StartRefusal.ZONE_RULES;
  }

  /** True when the machine accepts new tasks and has free CPUs, so a placement pass may use it. */
  boolean canReceiveTasks(Machine machine, long now) {
    return machineRefusal(machine, now) == null
        && machine.freeResources.cpus > ResourceVector.EPSILON;
  }

  /** True when other workers may be directed to fetch images from the machine. */
  boolean canServeImages(Machine machine, long now) {
    return machineRefusal(machine, now) == null
        && !machine.health.isSuspect()
        && !machine.isInterrupted();
  }
}
