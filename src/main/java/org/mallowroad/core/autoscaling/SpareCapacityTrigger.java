package org.mallowroad.core.autoscaling;

import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * The design's trigger for scale out: the spare capacity averaged over the machines that are not
 * saturated. Pending machines count as empty; reserved and unreachable ones do not count.
 */
final class SpareCapacityTrigger {
  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;

  SpareCapacityTrigger(SchedulerState schedulerState, AutoscalerPolicy policy) {
    this.schedulerState = schedulerState;
    this.policy = policy;
  }

  /** True when the averaged spare is below the policy's limits, or all machines are saturated. */
  boolean isSpareLow(int waitingTasks, List<PendingMachines> pending) {
    int machines = 0;
    for (Machine m : schedulerState.machines()) {
      if (counts(m)) {
        machines++;
      }
    }
    int pendingCount = 0;
    for (PendingMachines p : pending) {
      pendingCount += p.count();
    }
    if (machines + pendingCount == 0) {
      return false;
    }
    double waitingPerMachine = (double) waitingTasks / (machines + pendingCount);
    int unsaturated = 0;
    double spare = 0;
    if (waitingPerMachine < policy.waitingLimit()) {
      for (Machine m : schedulerState.machines()) {
        if (counts(m) && m.allocatedShare() < policy.bookedLimit()) {
          unsaturated++;
          spare += policy.bookedLimit() - m.allocatedShare();
        }
      }
      unsaturated += pendingCount;
      spare += pendingCount * policy.bookedLimit();
    }
    if (unsaturated == 0) {
      return waitingTasks > 0;
    }
    return spare / unsaturated < policy.bookedSpare()
        || policy.waitingLimit() - waitingPerMachine < policy.waitingSpare();
  }

  private boolean counts(Machine m) {
    return m.isUsable()
        && m.reservedFor == null
        && !schedulerState.health().isPartitionedAway(m.health);
  }
}
