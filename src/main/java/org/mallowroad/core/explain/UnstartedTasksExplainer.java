package org.mallowroad.core.explain;

import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;

/** Explains jobs without startable tasks, some of whose attempts do not run or are silent. */
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

  /**
   * Reports the first obstacle that applies, in this order: silent machines, uncommitted records,
   * image fetches, launches.
   */
  PendingReason explain(UnstartedTasks unstartedTasks) {
    if (unstartedTasks.silentCount > 0) {
      int zone = unstartedTasks.longestSilentMachine.zone;
      return new PendingReason(
          isPartitioned(zone) ? PendingCause.ZONE_CUT : PendingCause.NOT_PROVEN_GONE,
          unstartedTasks.silentSinceMs,
          unstartedTasks.leasesExpiredMs > 0 ? unstartedTasks.leasesExpiredMs : -1,
          zone,
          describeSilence(unstartedTasks));
    }
    if (unstartedTasks.committingCount > 0) {
      return newReason(
          unstartedTasks,
          autoscaler.isLeaseValid() ? PendingCause.AWAITS_COMMIT : PendingCause.STATE_AWAY,
          CountFormat.of(unstartedTasks.committingCount, "start")
              + ", "
              + CountFormat.of(schedulerState.dirtyRecords().size(), "uncommitted record"));
    }
    if (unstartedTasks.pullingCount > 0) {
      return newReason(
          unstartedTasks,
          PendingCause.IMAGE,
          CountFormat.of(unstartedTasks.pullingCount, "task") + " without an image");
    }
    return newReason(
        unstartedTasks,
        PendingCause.AWAITS_WORKER,
        unstartedTasks.launchingCount
            + (unstartedTasks.launchingCount == 1 ? " launch" : " launches"));
  }

  /** Describes the attempts on silent machines. */
  String describeSilence(UnstartedTasks unstartedTasks) {
    Machine machine = unstartedTasks.longestSilentMachine;
    return CountFormat.of(unstartedTasks.silentCount, "task")
        + " on silent machines, one on "
        + machine.name
        + " in zone "
        + zones.name(machine.zone)
        + (isPartitioned(machine.zone) ? ", which is cut off" : "")
        + (unstartedTasks.leasesExpiredMs > 0
            ? ""
            : "; proven gone only by the machine's deletion or report");
  }

  private boolean isPartitioned(int zone) {
    return schedulerState.health().failureDetector().isPartitioned(zone);
  }

  private static PendingReason newReason(
      UnstartedTasks unstartedTasks, PendingCause cause, String detail) {
    return new PendingReason(cause, unstartedTasks.oldestCreatedMs, -1, -1, detail);
  }
}
