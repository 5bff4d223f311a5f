package org.mallowroad.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * Decides which empty machines are returned to the cloud: those that were idle for long enough, and
 * when much of the fleet is idle, all beyond a reserve. The most expensive machines are returned
 * first, as long as the remaining ones keep enough headroom.
 */
final class ScaleInPlanner {
  /**
   * Idle time after which a machine may be returned if it exceeds the reserve, or is suspected to
   * be slow or faulty.
   */
  private static final long SHORT_IDLE_MS = 3_000;

  /** Reserve of idle machines as a share of the fleet ... */
  private static final double IDLE_RESERVE_SHARE = 0.08;

  /** ... and the least number of machines in the reserve. */
  private static final int MIN_IDLE_RESERVE = 8;

  private static final Comparator<Machine> MOST_EXPENSIVE_FIRST =
      Comparator.comparingDouble((Machine machine) -> -machine.type.price(machine.spot))
          .thenComparing(machine -> machine.name);

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;

  /** The usage of the fleet, found by one scan. */
  private static final class FleetUsage {
    private final List<Machine> returnable = new ArrayList<>();
    private int machines;
    private int idle;
    private double bookedCpus;
    private double cpus;
  }

  ScaleInPlanner(SchedulerState schedulerState, AutoscalerPolicy policy) {
    this.schedulerState = schedulerState;
    this.policy = policy;
  }

  /** Empty machines to return now, the most expensive first. */
  List<Machine> machinesToReturn(boolean anyWaiting, long now) {
    FleetUsage usage = measure(now);
    List<Machine> candidates = usage.returnable;
    int limit = candidates.size();
    // When much of a large fleet is idle, machines beyond the reserve for a burst of new tasks are
    // returned without waiting for the full idle time.
    int excessMachines =
        usage.idle - (int) Math.max(MIN_IDLE_RESERVE, IDLE_RESERVE_SHARE * usage.machines);
    if (excessMachines > candidates.size()) {
      candidates = idleMachines(now);
      limit = excessMachines;
    }
    candidates.sort(MOST_EXPENSIVE_FIRST);
    return withinHeadroom(candidates, limit, usage, anyWaiting);
  }

  private FleetUsage measure(long now) {
    double cheapestCpuPrice = cheapestCpuPrice();
    FleetUsage usage = new FleetUsage();
    for (Machine machine : schedulerState.machines()) {
      // A machine whose heartbeat is overdue is not known to be empty.
      if (!schedulerState.acceptsNewTasks(machine, now)) {
        continue;
      }
      usage.machines++;
      usage.bookedCpus +=
          (machine.reservedFor == null ? machine.allocatedShare() : 1) * machine.type.cpus();
      usage.cpus += machine.type.cpus();
      if (machine.reservedFor != null
          || schedulerState.imageDistribution().isServing(machine)
          || !machine.isEmpty()) {
        continue; // Reserved for a gang, serving an image to other machines, or running tasks.
      }
      usage.idle++;
      if (now - machine.idleSinceMs >= requiredIdleMs(machine, cheapestCpuPrice)) {
        usage.returnable.add(machine);
      }
    }
    return usage;
  }

  private double cheapestCpuPrice() {
    double cheapest = Double.MAX_VALUE;
    for (Machine machine : schedulerState.machines()) {
      cheapest =
          Math.min(
              cheapest,
              Math.min(machine.type.price(), machine.type.spotPrice()) / machine.type.cpus());
    }
    return cheapest;
  }

  /**
   * How long a machine must be idle before it is returned, in milliseconds. Keeping an idle machine
   * pays off only if it saves a boot, so the time is shorter the more expensive its CPUs are.
   */
  private double requiredIdleMs(Machine machine, double cheapestCpuPrice) {
    if (machine.health.isSuspect()) {
      return SHORT_IDLE_MS;
    }
    double priceRatio =
        cheapestCpuPrice * machine.type.cpus() / Math.max(1e-9, machine.type.price(machine.spot));
    return policy.idleMs() * Math.min(1, priceRatio);
  }

  private List<Machine> idleMachines(long now) {
    List<Machine> idle = new ArrayList<>();
    for (Machine machine : schedulerState.machines()) {
      if (schedulerState.acceptsNewTasks(machine, now)
          && machine.reservedFor == null
          && machine.isEmpty()
          && now - machine.idleSinceMs >= SHORT_IDLE_MS) {
        idle.add(machine);
      }
    }
    return idle;
  }

  /** The candidates that can be returned while the remaining machines keep enough headroom. */
  private List<Machine> withinHeadroom(
      List<Machine> candidates, int limit, FleetUsage usage, boolean anyWaiting) {
    List<Machine> returned = new ArrayList<>();
    double cpus = usage.cpus;
    int machines = usage.machines;
    for (Machine machine : candidates) {
      if (returned.size() >= limit) {
        break;
      }
      double remainingCpus = cpus - machine.type.cpus();
      boolean lastAndUnused = machines == 1 && !anyWaiting;
      if (lastAndUnused || hasHeadroom(usage.bookedCpus, remainingCpus)) {
        returned.add(machine);
        cpus = remainingCpus;
        machines--;
      }
    }
    return returned;
  }

  private boolean hasHeadroom(double bookedCpus, double cpus) {
    return cpus > 0 && bookedCpus / cpus + policy.bookedSpare() < policy.bookedLimit();
  }
}
