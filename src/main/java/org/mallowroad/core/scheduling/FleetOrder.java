package org.mallowroad.core.scheduling;

import java.util.Arrays;
import java.util.Comparator;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * All machines, the smallest and cheapest first: the large ones stay whole for the tasks that need
 * them. Sorted again only when machines were added or removed.
 */
final class FleetOrder {
  /** The rate at which fetches of images are planned until a machine is known, in GB a second. */
  private static final double DEFAULT_FETCH_GB_PER_S = 0.3;

  private final SchedulerState schedulerState;
  private Machine[] machines = new Machine[0];
  private long sortedVersion = -1;
  private double fetchGbPerS = DEFAULT_FETCH_GB_PER_S;

  FleetOrder(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** The machines as of the last {@link #refresh}; callers do not change the array. */
  Machine[] machines() {
    return machines;
  }

  /** The fetch rate of the slowest machine type there is, in GB a second. */
  double fetchGbPerS() {
    return fetchGbPerS;
  }

  /** Sorts the machines anew if they are others than at the last call. */
  void refresh() {
    if (sortedVersion == schedulerState.machinesVersion()) {
      return;
    }
    sortedVersion = schedulerState.machinesVersion();
    machines = schedulerState.machines().toArray(new Machine[0]);
    fetchGbPerS = slowestFetchGbPerS(machines);
    Arrays.sort(
        machines,
        Comparator.comparingDouble((Machine m) -> m.type.cpus())
            .thenComparingDouble(m -> m.type.price(m.spot))
            .thenComparing(m -> m.name));
  }

  private static double slowestFetchGbPerS(Machine[] machines) {
    double slowest = Double.MAX_VALUE;
    for (Machine m : machines) {
      if (m.type.fetchGbPerS() > 0) {
        slowest = Math.min(slowest, m.type.fetchGbPerS());
      }
    }
    return slowest < Double.MAX_VALUE ? slowest : DEFAULT_FETCH_GB_PER_S;
  }
}
