package org.mallowroad.core.explain;

import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;

/** Explains jobs all of whose tasks are placed, but some do not run or are on silent machines. */
final class UnstartedTasksExplainer {
  private final SchedulerState schedulerState;
  private final AutoscalerView autoscaler;
  private final NameIndex zones;

  UnstartedTasksExplainer(
      SchedulerState schedulerState, AutoscalerView autoscaler, NameIndex zones) {
    this.schedulerState = schedulerState;
    this.autoscaler = autoscaler;
    this.zones = zones;
  }

  /** Explains by the first step at which attempts wait: silence, commit, image, launch. */
  PendingReason explain(UnstartedTasks tasks) {
    if (tasks.silent > 0) {
      int zone = tasks.longestSilent.zone;
      return new PendingReason(
          isPartitioned(zone) ? PendingCause.ZONE_CUT : PendingCause.NOT_PROVEN_GONE,
          tasks.silentSinceMs,
          tasks.provenGoneMs > 0 ? tasks.provenGoneMs : -1,
          zone,
          describeSilence(tasks));
    }
    if (tasks.committing > 0) {
      return reason(
          tasks,
          autoscaler.isLeaseValid() ? PendingCause.AWAITS_COMMIT : PendingCause.STATE_AWAY,
          CountFormat.of(tasks.committing, "start")
              + ", "
              + CountFormat.of(schedulerState.dirtyRecords().size(), "uncommitted record"));
    }
    if (tasks.pulling > 0) {
      return reason(
          tasks, PendingCause.IMAGE, CountFormat.of(tasks.pulling, "task") + " without an image");
    }
    return reason(
        tasks,
        PendingCause.AWAITS_WORKER,
        tasks.launching + (tasks.launching == 1 ? " launch" : " launches"));
  }

  /** The silent attempts in words. */
  String describeSilence(UnstartedTasks tasks) {
    Machine machine = tasks.longestSilent;
    return CountFormat.of(tasks.silent, "task")
        + " on silent machines, one on "
        + machine.name
        + " in zone "
        + zones.name(machine.zone)
        + (isPartitioned(machine.zone) ? ", which is cut off" : "")
        + (tasks.provenGoneMs > 0 ? "" : "; proven gone only by the machine's deletion or report");
  }

  private boolean isPartitioned(int zone) {
    return schedulerState.health().failureDetector().isPartitioned(zone);
  }

  private static PendingReason reason(UnstartedTasks tasks, PendingCause cause, String detail) {
    return new PendingReason(cause, tasks.oldestMs, -1, -1, detail);
  }
}
