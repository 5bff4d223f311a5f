package org.mallowroad.core;

import java.util.List;

/**
 * The one place that answers whether a task may start on a machine. Placement, gang reservations
 * and the explanation of waiting jobs all ask here, so what is shown to people is what was decided.
 *
 * <p>The answers are read from the current state and are pure: nothing is changed by asking.
 */
final class StartAdmission {
  private final List<Team> teams;
  private final long heartbeatOverdueMs;

  StartAdmission(List<Team> teams, long heartbeatOverdueMs) {
    this.teams = teams;
    this.heartbeatOverdueMs = heartbeatOverdueMs;
  }

  /** The team of a job. */
  Team team(JobSpec spec) {
    return teams.get(spec.team());
  }

  /** Why no new work goes to the machine at all; null when it may. */
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

  /**
   * Why the task may not start on the machine, by the first rule that refuses; null when it may.
   */
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

  /** True when a placement pass may give the machine work, or has just done so. */
  boolean canReceiveTasks(Machine machine, long now) {
    return machineRefusal(machine, now) == null
        && machine.freeResources.cpus > ResourceVector.EPSILON;
  }

  /** True when other workers may be told to fetch an image from the machine. */
  boolean canServeImages(Machine machine, long now) {
    return machineRefusal(machine, now) == null
        && !machine.health.isSuspect()
        && machine.interruptionMs == 0;
  }
}
