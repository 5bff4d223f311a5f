package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.Autoscaler.Coming;
import org.mallowroad.core.autoscaling.Autoscaler.Variant;

/** What the explanation asks of the leadership beyond ledger and placement. */
public interface AutoscalerView {
  /** Machines rented and not yet reporting. */
  List<Coming> coming(long now);

  /** Since when the cloud has refused the variant; -1 while it has not. */
  long refusedSinceMs(Variant v);

  /** Machine types as last read. */
  List<MachineType> types();

  /** True while the leader's lease holds: otherwise nothing is placed. */
  boolean firm();

  /** When the lease was last renewed. */
  long renewedMs();
}
