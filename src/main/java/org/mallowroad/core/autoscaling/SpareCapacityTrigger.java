package org.mallowroad.core.autoscaling;

import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * Triggers scale out by the spare capacity averaged over the machines that are not saturated, as in
 * the original design. Pending machines count as empty. Machines that are reserved for gangs or
 * unreachable are ignored.
 */
final class SpareCapacityTrigger {
  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;

  SpareCapacityTrigger(SchedulerState schedulerState, AutoscalerPolicy policy) {
    this.schedulerState = schedulerState;
    this.policy = policy;
  }

  /**
   * True when the average spare capacity is below the policy's thresholds, or when tasks wait and
   * all machines are saturated.
   */
  boolean isSpareLow(int waitingTasks, List<PendingMachines> pending) {
    int machines = 0;
    for (Machine machine : schedulerState.machines()) {
      if (isCounted(machine)) {
        machines++;
      }
    }
    int pendingCount = 0;
    for (PendingMachines pendingMachines : pending) {
      pendingCount += pendingMachines.count();
    }
    if (machines + pendingCount == 0) {
      return false;
    }
    double waitingPerMachine = (double) waitingTasks / (machines + pendingCount);
    int unsaturatedMachines = 0;
    double totalSpare = 0;
    if (waitingPerMachine < policy.waitingLimit()) {
      for (Machine machine : schedulerState.machines()) {
        if (isCounted(machine) && machine.allocatedShare() < policy.bookedLimit()) {
          unsaturatedMachines++;
          totalSpare += policy.bookedLimit() - machine.allocatedShare();
        }
      }
      unsaturatedMachines += pendingCount;
      totalSpare += pendingCount * policy.bookedLimit();
    }
    if (unsaturatedMachines == 0) {
      return waitingTasks > 0;
    }
    return totalSpare / unsaturatedMachines < policy.bookedSpare()
        || policy.waitingLimit() - waitingPerMachine < policy.waitingSpare();
  }

  private boolean isCounted(Machine machine) {
    return machine.isUsable()
        && machine.reservedFor == null
        && !schedulerState.health().isPartitionedAway(machine.health);
  }
}
