package org.mallowroad.core.scheduling;

import java.util.Arrays;
import java.util.Comparator;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * All machines in placement order: the smallest type first, then the cheapest. This keeps large
 * machines free for the tasks that need them. The order is recomputed only after machines were
 * added or removed.
 */
final class FleetOrder {
  /** The image fetch rate that is assumed while no machine is known, in GB/s. */
  private static final double DEFAULT_FETCH_GB_PER_S = 0.3;

  private final SchedulerState schedulerState;
  private Machine[] machines = new Machine[0];
  private long sortedVersion = -1;
  private double fetchGbPerS = DEFAULT_FETCH_GB_PER_S;

  FleetOrder(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** The machines as of the last {@link #refresh}; callers must not modify the array. */
  Machine[] machines() {
    return machines;
  }

  /** The lowest image fetch rate of all machines' types, in GB/s. */
  double fetchGbPerS() {
    return fetchGbPerS;
  }

  /** Recomputes the order if machines were added or removed since the last call. */
  void refresh() {
    if (sortedVersion == schedulerState.machinesVersion()) {
      return;
    }
    sortedVersion = schedulerState.machinesVersion();
    machines = schedulerState.machines().toArray(new Machine[0]);
    fetchGbPerS = slowestFetchGbPerS(machines);
    Arrays.sort(
        machines,
        Comparator.comparingDouble((Machine machine) -> machine.type.cpus())
            .thenComparingDouble(machine -> machine.type.price(machine.spot))
            .thenComparing(machine -> machine.name));
  }

  private static double slowestFetchGbPerS(Machine[] machines) {
    double slowest = Double.MAX_VALUE;
    for (Machine machine : machines) {
      if (machine.type.fetchGbPerS() > 0) {
        slowest = Math.min(slowest, machine.type.fetchGbPerS());
      }
    }
    return slowest < Double.MAX_VALUE ? slowest : DEFAULT_FETCH_GB_PER_S;
  }
}
