package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/** What the explanation asks of the leadership beyond ledger and placement. */
public interface AutoscalerView {
  /** Machines rented and not yet reporting. */
  List<PendingMachines> coming(long now);

  /** Since when the cloud has refused the variant; -1 while it has not. */
  long refusedSinceMs(MachineVariant v);

  /** Machine types as last read. */
  List<MachineType> types();

  /** True while the leader's lease holds: otherwise nothing is placed. */
  boolean firm();

  /** When the lease was last renewed. */
  long renewedMs();
}
