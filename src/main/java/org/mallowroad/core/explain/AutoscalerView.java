package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/**
 * The leader's machine supply and lease, which explanations need in addition to the scheduler state
 * and the task scheduler.
 */
public interface AutoscalerView {
  /** Machines that were requested from the cloud and have not sent a heartbeat yet. */
  List<PendingMachines> pendingMachines(long now);

  /** Time in ms since which the cloud has refused the variant; -1 while it does not refuse it. */
  long refusedSinceMs(MachineVariant variant);

  /** Machine types that the cloud offers, as of the latest read. */
  List<MachineType> machineTypes();

  /** True while the leader's lease is valid; otherwise no task is placed. */
  boolean isLeaseValid();

  /** Time in ms at which the latest successful renewal of the lease was sent. */
  long lastRenewalSentMs();
}
