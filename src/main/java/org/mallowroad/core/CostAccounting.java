package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Where the money of a term went, by machine type, ordinary or spot: boots, idle resources, starts
 * and image fetches, work that was lost, work that completed. It is summed up at a machine's first
 * heartbeat, when an attempt is proven gone and when a machine is, so it costs a few additions an
 * event and lags by what is still running. Prices are those of the moment; a machine that is found
 * on failover counts from then.
 */
public final class CostAccounting {
  private static final double MS_PER_HOUR = 3_600_000;

  private final Int2ObjectLinkedOpenHashMap<Kind> kinds = new Int2ObjectLinkedOpenHashMap<>();

  /** What went into machines of one type, ordinary or spot; amounts are money. */
  private static final class Kind {
    private final String type;
    private final boolean spot;
    private double boot;
    private double life;
    private double starting;
    private double useful;
    private double lost;
    private int machines;

    Kind(String type, boolean spot) {
      this.type = type;
      this.spot = spot;
    }
  }

  /** What was spent on a kind of machines so far, those that there are included. */
  public record MachineTypeCosts(
      String type,
      boolean spot,
      int deletedMachines,
      double boot,
      double idle,
      double starting,
      double completedWork,
      double lostWork) {}

  /** A line for each kind that was used; what runs is neither idle nor anything else yet. */
  public List<MachineTypeCosts> costsByMachineType(Collection<Machine> machines, long now) {
    Reference2DoubleOpenHashMap<Kind> living = new Reference2DoubleOpenHashMap<>();
    for (Machine m : machines) {
      double sum = cost(m, 1, now - m.firstSeenMs);
      for (Attempt a : m.attempts) {
        sum -= cost(m, share(a.job.spec, m.type), now - a.createdMs);
      }
      living.addTo(kind(m.type, m.spot), sum);
    }
    List<MachineTypeCosts> lines = new ArrayList<>();
    for (Kind k : kinds.values()) {
      double idle = living.getDouble(k) + k.life - k.starting - k.useful - k.lost;
      lines.add(
          new MachineTypeCosts(
              k.type, k.spot, k.machines, k.boot, idle, k.starting, k.useful, k.lost));
    }
    return lines;
  }

  private Kind kind(MachineType type, boolean spot) {
    int key = 2 * type.index() + (spot ? 1 : 0);
    Kind k = kinds.get(key);
    if (k == null) {
      k = new Kind(type.name(), spot);
      kinds.put(key, k);
    }
    return k;
  }

  private static double cost(Machine m, double share, long ms) {
    return share * m.type.price(m.spot) * ms / MS_PER_HOUR;
  }

  /** A machine sent its first heartbeat, this many milliseconds after it was rented. */
  public void machineBooted(Machine m, long ms) {
    kind(m.type, m.spot).boot += cost(m, 1, ms);
  }

  /** An attempt is proven gone. */
  void attemptResolved(Attempt a, boolean done, long now) {
    Kind k = kind(a.machine.type, a.machine.spot);
    double share = share(a.job.spec, a.machine.type);
    long ran = a.runningSinceMs > 0 ? now - a.runningSinceMs : 0;
    k.starting += cost(a.machine, share, now - a.createdMs - ran);
    if (done) {
      k.useful += cost(a.machine, share, ran);
    } else {
      k.lost += cost(a.machine, share, ran);
    }
  }

  /** A machine is proven gone. */
  void machineDeleted(Machine m, long now) {
    Kind k = kind(m.type, m.spot);
    k.machines++;
    k.life += cost(m, 1, now - m.firstSeenMs);
  }

  /** The share of a machine's price that a task costs: its part of the scarcer resource. */
  private static double share(JobSpec s, MachineType t) {
    double share = t.cpus() > 0 ? s.cpus() / t.cpus() : 0;
    if (t.cards() > 0) {
      share = Math.max(share, s.cards() / t.cards());
    }
    return share;
  }
}
