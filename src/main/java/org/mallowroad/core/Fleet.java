package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sizes the fleet: rents the cheapest fitting variant on averaged spare, before machines saturate,
 * and returns the dearest empty machine when the headroom test allows it. A variant is a machine
 * type in a zone, ordinary or spot.
 */
public final class Fleet {
  /** A type in a zone, ordinary or spot. */
  public record Variant(MachineType type, int zone, boolean spot) {
    long key() {
      return ((long) type.index() << 32) | ((long) zone << 1) | (spot ? 1 : 0);
    }

    double price() {
      return type.price(spot);
    }
  }

  /** Machines to be rented of one variant. */
  public record Rent(Variant variant, int count) {}

  /** Machines rented and not yet reporting: they will take waiting tasks. */
  public record Coming(Variant variant, int count) {}

  private static final long REFUSED_MS = 15_000;

  private final Ledger ledger;
  private final FleetPolicy policy;
  private final Long2LongOpenHashMap refusedUntil = new Long2LongOpenHashMap();

  /** A fleet over a ledger. */
  public Fleet(Ledger ledger, FleetPolicy policy) {
    this.ledger = ledger;
    this.policy = policy;
  }

  /** The cloud had none, or fewer than asked: other variants are tried for a while. */
  public void refused(Variant v, long now) {
    refusedUntil.put(v.key(), now + REFUSED_MS);
  }

  /** An empty or partly taken machine into which waiting tasks are counted. */
  private record Bin(Variant variant, Room room) {}

  /** What to rent now, given the queue and the machines on their way. */
  public List<Rent> rents(List<Job> queue, List<Coming> coming, List<MachineType> types, long now) {
    List<Bin> bins = new ArrayList<>();
    for (Coming c : coming) {
      for (int i = 0; i < c.count; i++) {
        bins.add(bin(c.variant));
      }
    }
    int waiting = 0;
    double[] teamCpus = new double[ledger.teams().size()];
    Int2IntOpenHashMap rented = new Int2IntOpenHashMap();
    List<Bin> added = new ArrayList<>();
    for (Job job : queue) {
      JobSpec s = job.spec;
      Team team = ledger.team(s);
      for (int left = job.pending.size(); left > 0; left--) {
        // Tasks beyond their team's limit need no machine.
        if (team.usedCpus + teamCpus[s.team()] + s.cpus() > team.cpusMax + Room.EPS) {
          break;
        }
        teamCpus[s.team()] += s.cpus();
        waiting++;
        if (fill(bins, job) || fill(added, job)) {
          continue;
        }
        Variant v = cheapest(job, left, types, added, now);
        if (v == null || rented.get(v.type.index()) >= policy.step()) {
          break;
        }
        rented.addTo(v.type.index(), 1);
        Bin b = bin(v);
        b.room.add(s, -1);
        added.add(b);
      }
    }
    if (added.isEmpty() && spareIsLow(waiting, coming)) {
      Variant v = cheapestOf(types, now);
      if (v != null) {
        added.add(bin(v));
      }
    }
    List<Rent> rents = new ArrayList<>();
    for (Bin b : added) {
      int at = -1;
      for (int i = 0; i < rents.size(); i++) {
        if (rents.get(i).variant.equals(b.variant)) {
          at = i;
        }
      }
      if (at < 0) {
        rents.add(new Rent(b.variant, 1));
      } else {
        rents.set(at, new Rent(b.variant, Math.min(50, rents.get(at).count + 1)));
      }
    }
    return rents;
  }

  /** The design's trigger: spare averaged over unsaturated machines. */
  boolean spareIsLow(int waiting, List<Coming> coming) {
    int n = 0;
    for (Machine m : ledger.machines()) {
      if (m.usable()) {
        n++;
      }
    }
    int soon = 0;
    for (Coming c : coming) {
      soon += c.count;
    }
    if (n + soon == 0) {
      return false;
    }
    double each = (double) waiting / (n + soon);
    int unsaturated = 0;
    double spare = 0;
    if (each < policy.waitingLimit()) {
      for (Machine m : ledger.machines()) {
        if (m.usable() && m.booked() < policy.bookedLimit()) {
          unsaturated++;
          spare += policy.bookedLimit() - m.booked();
        }
      }
      unsaturated += soon;
      spare += soon * policy.bookedLimit();
    }
    if (unsaturated == 0) {
      return waiting > 0;
    }
    return spare / unsaturated < policy.bookedSpare()
        || policy.waitingLimit() - each < policy.waitingSpare();
  }

  private static Bin bin(Variant v) {
    return new Bin(v, new Room(v.type.cpus(), v.type.cards(), v.type.memGb()));
  }

  private static boolean fill(List<Bin> bins, Job job) {
    for (Bin b : bins) {
      if (job.spec.allows(b.variant.type.index(), b.variant.zone, b.variant.spot)
          && b.room.fits(job.spec)) {
        b.room.add(job.spec, -1);
        return true;
      }
    }
    return false;
  }

  /** The variant on which the job's waiting tasks cost least, as far as they fill a machine. */
  private Variant cheapest(Job job, int left, List<MachineType> types, List<Bin> added, long now) {
    Variant best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType t : types) {
      if (!t.fits(job.spec)) {
        continue;
      }
      for (int zone : t.zones()) {
        for (int k = 0; k < 2; k++) {
          Variant v = new Variant(t, zone, k == 0);
          if (!job.spec.allows(t.index(), zone, v.spot)
              || refusedUntil.get(v.key()) > now
              || (job.spec.together() && job.liveCount > job.zoneLive[zone])) {
            continue;
          }
          int taken = 0;
          for (Bin b : added) {
            if (b.variant.equals(v)) {
              taken++;
            }
          }
          // Equal prices spread over the zones, so that one zone's loss takes less.
          double cost = v.price() / Math.min(left, t.holds(job.spec)) * (1 + 1e-3 * taken);
          if (cost < bestCost) {
            bestCost = cost;
            best = v;
          }
        }
      }
    }
    return best;
  }

  private Variant cheapestOf(List<MachineType> types, long now) {
    Variant best = null;
    for (MachineType t : types) {
      for (int zone : t.zones()) {
        for (int k = 0; k < 2; k++) {
          Variant v = new Variant(t, zone, k == 0);
          if (refusedUntil.get(v.key()) <= now && (best == null || v.price() < best.price())) {
            best = v;
          }
        }
      }
    }
    return best;
  }

  /** Empty machines to be returned now, dearest first, as far as the headroom test allows. */
  public List<Machine> returns(boolean anyWaiting, long now) {
    List<Machine> empty = new ArrayList<>();
    double load = 0;
    double cpus = 0;
    int n = 0;
    for (Machine m : ledger.machines()) {
      if (!m.usable()) {
        continue;
      }
      n++;
      load += m.booked() * m.type.cpus();
      cpus += m.type.cpus();
      if (m.empty() && now - m.emptySinceMs >= policy.idleMs()) {
        empty.add(m);
      }
    }
    empty.sort(
        Comparator.comparingDouble((Machine m) -> -m.type.price(m.spot))
            .thenComparing(m -> m.name));
    List<Machine> out = new ArrayList<>();
    for (Machine m : empty) {
      double rest = cpus - m.type.cpus();
      boolean last = n == 1 && !anyWaiting;
      if (last || (rest > 0 && load / rest + policy.bookedSpare() < policy.bookedLimit())) {
        out.add(m);
        cpus = rest;
        n--;
      }
    }
    return out;
  }
}
