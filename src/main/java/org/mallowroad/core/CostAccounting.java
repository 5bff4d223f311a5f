package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Accounts for the cost of one term by machine type, on-demand and spot separately: boot time, idle
 * resources, task start-up including image fetches, lost work and completed work.
 *
 * <p>Totals are updated at a machine's first heartbeat, when an attempt is proven gone and when a
 * machine is deleted. This costs a few additions per event, and work that is still running is not
 * included. Costs use the prices at the time of the event. A machine that was found on failover is
 * charged from that time on.
 */
public final class CostAccounting {
  private static final double MS_PER_HOUR = 3_600_000;

  private final Int2ObjectLinkedOpenHashMap<CostTotals> totalsByMachineKind =
      new Int2ObjectLinkedOpenHashMap<>();

  /** Totals for the machines of one type, on-demand or spot; all amounts are money. */
  private static final class CostTotals {
    private final String type;
    private final boolean spot;
    private double boot;
    private double lifetime;
    private double starting;
    private double completedWork;
    private double lostWork;
    private int deletedMachines;

    CostTotals(String type, boolean spot) {
      this.type = type;
      this.spot = spot;
    }
  }

  /**
   * Costs so far of the on-demand or spot machines of one type, existing machines included.
   *
   * @param deletedMachines number of machines deleted so far
   * @param idle cost that no resolved or live attempt accounts for, boot time included
   * @param starting cost of attempts before their task ran
   */
  public record MachineTypeCosts(
      String type,
      boolean spot,
      int deletedMachines,
      double boot,
      double idle,
      double starting,
      double completedWork,
      double lostWork) {}

  /** Costs of each machine type used. Unresolved attempts are not included, not even as idle. */
  public List<MachineTypeCosts> costsByMachineType(Collection<Machine> machines, long now) {
    Reference2DoubleOpenHashMap<CostTotals> liveIdleCosts = new Reference2DoubleOpenHashMap<>();
    for (Machine machine : machines) {
      double idleCost = cost(machine, 1, now - machine.firstSeenMs);
      for (Attempt attempt : machine.attempts) {
        idleCost -= cost(machine, share(attempt.job.spec, machine.type), now - attempt.createdMs);
      }
      liveIdleCosts.addTo(totalsOf(machine.type, machine.spot), idleCost);
    }
    List<MachineTypeCosts> costs = new ArrayList<>();
    for (CostTotals totals : totalsByMachineKind.values()) {
      double idle =
          liveIdleCosts.getDouble(totals)
              + totals.lifetime
              - totals.starting
              - totals.completedWork
              - totals.lostWork;
      costs.add(
          new MachineTypeCosts(
              totals.type,
              totals.spot,
              totals.deletedMachines,
              totals.boot,
              idle,
              totals.starting,
              totals.completedWork,
              totals.lostWork));
    }
    return costs;
  }

  private CostTotals totalsOf(MachineType type, boolean spot) {
    int key = 2 * type.index() + (spot ? 1 : 0);
    CostTotals totals = totalsByMachineKind.get(key);
    if (totals == null) {
      totals = new CostTotals(type.name(), spot);
      totalsByMachineKind.put(key, totals);
    }
    return totals;
  }

  private static double cost(Machine machine, double share, long durationMs) {
    return share * machine.type.price(machine.spot) * durationMs / MS_PER_HOUR;
  }

  /**
   * Records a machine's first heartbeat, which came {@code bootMs} after the machine was rented.
   */
  public void machineBooted(Machine machine, long bootMs) {
    totalsOf(machine.type, machine.spot).boot += cost(machine, 1, bootMs);
  }

  /** Adds the costs of an attempt that is proven gone. */
  void attemptResolved(Attempt attempt, boolean completed, long now) {
    CostTotals totals = totalsOf(attempt.machine.type, attempt.machine.spot);
    double share = share(attempt.job.spec, attempt.machine.type);
    long runMs = attempt.runningSinceMs > 0 ? now - attempt.runningSinceMs : 0;
    totals.starting += cost(attempt.machine, share, now - attempt.createdMs - runMs);
    if (completed) {
      totals.completedWork += cost(attempt.machine, share, runMs);
    } else {
      totals.lostWork += cost(attempt.machine, share, runMs);
    }
  }

  /** Adds the costs of a deleted machine. */
  void machineDeleted(Machine machine, long now) {
    CostTotals totals = totalsOf(machine.type, machine.spot);
    totals.deletedMachines++;
    totals.lifetime += cost(machine, 1, now - machine.firstSeenMs);
  }

  /** Share of a machine's price charged to a task: the larger of its CPU and card shares. */
  private static double share(JobSpec spec, MachineType type) {
    double share = type.cpus() > 0 ? spec.cpus() / type.cpus() : 0;
    if (type.cards() > 0) {
      share = Math.max(share, spec.cards() / type.cards());
    }
    return share;
  }
}
