package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import java.util.Collection;

/**
 * Where the money of a term went, by machine type and kind: boots, room that nobody used, starts
 * and fetches, work that was lost, work that completed. It is counted when a machine reports first,
 * when an attempt is proven gone and when a machine is, so it costs a few additions an event and
 * lags by what is still running. Prices are those of the moment; a machine met on takeover counts
 * from then.
 */
public final class Spending {
  private static final double MS_AN_HOUR = 3_600_000;

  private final Int2ObjectLinkedOpenHashMap<Kind> kinds = new Int2ObjectLinkedOpenHashMap<>();

  /** What went into machines of one type, ordinary or spot; amounts are money. */
  public static final class Kind {
    /** Name of the type. */
    public final String type;

    /** True for spot machines. */
    public final boolean spot;

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

    /** Machines gone so far. */
    public int machines() {
      return machines;
    }

    /** From the rental request to the first report. */
    public double boot() {
      return boot;
    }

    /** From an attempt's making to its run: records, launches, image fetches. */
    public double starting() {
      return starting;
    }

    /** Runs of tasks that completed. */
    public double useful() {
      return useful;
    }

    /** Runs that did not end with a completed task. */
    public double lost() {
      return lost;
    }

    /** Room of machines that are gone that no attempt took; below 0 while much still runs. */
    public double idle() {
      return life - starting - useful - lost;
    }
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

  private static double money(Machine m, double share, long ms) {
    return share * m.type.price(m.spot) * ms / MS_AN_HOUR;
  }

  /** A machine reported for the first time, this long after it was rented. */
  public void booted(Machine m, long ms) {
    kind(m.type, m.spot).boot += money(m, 1, ms);
  }

  /** An attempt is proven gone. */
  void resolved(Attempt a, boolean done, long now) {
    Kind k = kind(a.machine.type, a.machine.spot);
    double share = share(a.job.spec, a.machine.type);
    long ran = a.runningSinceMs > 0 ? now - a.runningSinceMs : 0;
    k.starting += money(a.machine, share, now - a.sinceMs - ran);
    if (done) {
      k.useful += money(a.machine, share, ran);
    } else {
      k.lost += money(a.machine, share, ran);
    }
  }

  /** A machine is proven gone. */
  void gone(Machine m, long now) {
    Kind k = kind(m.type, m.spot);
    k.machines++;
    k.life += money(m, 1, now - m.sinceMs);
  }

  /** What of a machine's price a task stands for: its part of the scarcest resource. */
  private static double share(JobSpec s, MachineType t) {
    double share = t.cpus() > 0 ? s.cpus() / t.cpus() : 0;
    if (t.cards() > 0) {
      share = Math.max(share, s.cards() / t.cards());
    }
    return share;
  }

  /** Each kind that was used; at most two for each machine type. */
  public Collection<Kind> kinds() {
    return kinds.values();
  }
}
