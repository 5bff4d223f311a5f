package org.mallowroad.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * Decides which empty machines are returned: those that were idle for long enough, and of a large
 * fleet that runs empty all beyond a reserve; the dearest first, as far as the rest keeps headroom.
 */
final class ScaleInPlanner {
  /** A machine in excess of the reserve, or a slow or faulty one, is returned after this time. */
  private static final long SHORT_IDLE_MS = 3_000;

  /** Idle machines beyond this share of the fleet, and beyond the least reserve, are in excess. */
  private static final double IDLE_RESERVE_SHARE = 0.08;

  private static final int MIN_IDLE_RESERVE = 8;

  private static final Comparator<Machine> DEAREST_FIRST =
      Comparator.comparingDouble((Machine m) -> -m.type.price(m.spot)).thenComparing(m -> m.name);

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;

  /** What one walk over the fleet found. */
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

  /** Empty machines to be returned now, dearest first. */
  List<Machine> machinesToReturn(boolean anyWaiting, long now) {
    FleetUsage usage = measure(now);
    List<Machine> candidates = usage.returnable;
    int limit = candidates.size();
    // When a large fleet runs empty, those beyond what a burst may want need not wait.
    int excess = usage.idle - (int) Math.max(MIN_IDLE_RESERVE, IDLE_RESERVE_SHARE * usage.machines);
    if (excess > candidates.size()) {
      candidates = idleMachines(now);
      limit = excess;
    }
    candidates.sort(DEAREST_FIRST);
    return withinHeadroom(candidates, limit, usage, anyWaiting);
  }

  private FleetUsage measure(long now) {
    double cheapestCpuPrice = cheapestCpuPrice();
    FleetUsage usage = new FleetUsage();
    for (Machine m : schedulerState.machines()) {
      // Of a machine whose heartbeat is overdue nothing is known, least of all that it is empty.
      if (!schedulerState.acceptsNewTasks(m, now)) {
        continue;
      }
      usage.machines++;
      usage.bookedCpus += (m.reservedFor == null ? m.allocatedShare() : 1) * m.type.cpus();
      usage.cpus += m.type.cpus();
      if (m.reservedFor != null
          || schedulerState.imageDistribution().isServing(m)
          || !m.isEmpty()) {
        continue; // Reserved for a gang, or others fetch an image from it: as good as booked.
      }
      usage.idle++;
      if (now - m.idleSinceMs >= requiredIdleMs(m, cheapestCpuPrice)) {
        usage.returnable.add(m);
      }
    }
    return usage;
  }

  private double cheapestCpuPrice() {
    double cheapest = Double.MAX_VALUE;
    for (Machine m : schedulerState.machines()) {
      cheapest = Math.min(cheapest, Math.min(m.type.price(), m.type.spotPrice()) / m.type.cpus());
    }
    return cheapest;
  }

  /**
   * How long a machine has to be idle. The dearer its CPUs, the sooner it goes: it must pay for the
   * next boot that it saves.
   */
  private double requiredIdleMs(Machine m, double cheapestCpuPrice) {
    if (m.health.isSuspect()) {
      return SHORT_IDLE_MS;
    }
    double cheapness = cheapestCpuPrice * m.type.cpus() / Math.max(1e-9, m.type.price(m.spot));
    return policy.idleMs() * Math.min(1, cheapness);
  }

  private List<Machine> idleMachines(long now) {
    List<Machine> idle = new ArrayList<>();
    for (Machine m : schedulerState.machines()) {
      if (schedulerState.acceptsNewTasks(m, now)
          && m.reservedFor == null
          && m.isEmpty()
          && now - m.idleSinceMs >= SHORT_IDLE_MS) {
        idle.add(m);
      }
    }
    return idle;
  }

  /** The candidates that can go while the load of the rest stays below the policy's limit. */
  private List<Machine> withinHeadroom(
      List<Machine> candidates, int limit, FleetUsage usage, boolean anyWaiting) {
    List<Machine> returned = new ArrayList<>();
    double cpus = usage.cpus;
    int machines = usage.machines;
    for (Machine m : candidates) {
      if (returned.size() >= limit) {
        break;
      }
      double remaining = cpus - m.type.cpus();
      boolean lastAndUnused = machines == 1 && !anyWaiting;
      if (lastAndUnused || hasHeadroom(usage.bookedCpus, remaining)) {
        returned.add(m);
        cpus = remaining;
        machines--;
      }
    }
    return returned;
  }

  private boolean hasHeadroom(double bookedCpus, double cpus) {
    return cpus > 0 && bookedCpus / cpus + policy.bookedSpare() < policy.bookedLimit();
  }
}
