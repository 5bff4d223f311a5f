package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/** What explanations ask of the leader besides the scheduler state and placement. */
public interface AutoscalerView {
  /** Machines that are rented and do not report yet. */
  List<PendingMachines> pendingMachines(long now);

  /** Since when the cloud has refused the variant; -1 while it does not. */
  long refusedSinceMs(MachineVariant variant);

  /** The machine types that the cloud offers, as last read. */
  List<MachineType> machineTypes();

  /** True while the leader's lease holds; otherwise nothing is placed. */
  boolean isLeaseValid();

  /** When the lease was last renewed. */
  long lastRenewalSentMs();
}
