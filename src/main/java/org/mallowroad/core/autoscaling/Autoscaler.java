package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.objective.ServiceLevelObjectives;

/**
 * Sizes the fleet: rents the cheapest fitting variant on averaged spare, before machines saturate,
 * and returns the dearest empty machine when the headroom test allows it. A variant is a machine
 * type in a zone, ordinary or spot.
 */
public final class Autoscaler {
  private static final long REFUSED_MS = 15_000;
  private static final long SOON_MS = 3_000;

  /** Later arrivals may go first, so only a part of the time that is left is planned away. */
  private static final double PATIENCE = 0.4;

  private static final double CHEAP = 2;

  /** Empty machines beyond this share of the fleet, and beyond this number, go back soon. */
  private static final double IDLE_SHARE = 0.08;

  private static final int IDLE_LEAST = 8;

  /** A start later than this is late where machines are cheap. */
  private static final long LATE_MS = 5_000;

  /** A rent must bring a start forward by this much. */
  private static final long WORTH_MS = 5_000;

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private long looked;
  private long forecast;
  private final Long2LongOpenHashMap refusedUntil = new Long2LongOpenHashMap();
  private final Long2LongOpenHashMap refusedSince = new Long2LongOpenHashMap();
  private final LongOpenHashSet probing = new LongOpenHashSet();
  private final FleetHealth health;

  /** A fleet over a ledger. */
  public Autoscaler(
      SchedulerState schedulerState, AutoscalerPolicy policy, ServiceLevelObjectives objectives) {
    this.objectives = objectives;
    this.schedulerState = schedulerState;
    this.health = schedulerState.health();
    this.policy = policy;
  }

  /** Tasks forecast so far. */
  public long forecasts() {
    return forecast;
  }

  /** Machines looked at so far: what the forecasts cost. */
  public long looked() {
    return looked;
  }

  /** The cloud had none, or fewer than asked: other variants are tried for a while. */
  public void refused(MachineVariant v, long now) {
    refusedUntil.put(v.key(), now + REFUSED_MS);
    if (probing.add(v.key())) {
      refusedSince.put(v.key(), now);
    }
  }

  /**
   * Since when the cloud has refused the variant, or given fewer than asked; -1 while it has not.
   */
  public long refusedSinceMs(MachineVariant v) {
    return probing.contains(v.key()) ? refusedSince.get(v.key()) : -1;
  }

  /**
   * Tasks that are forecast in a cycle, in the order of the queue. More than a fleet of thousands
   * starts in minutes; what an array of 100,000 has beyond that rents nothing more, and forecasting
   * it held the loop up for over a second (docs/incidents, huge-array).
   */
  public static final int MOST_FORECAST = 16_000;

  /** The cloud gave all that was asked for: there may be more. */
  public void granted(MachineVariant v) {
    probing.remove(v.key());
    refusedSince.remove(v.key());
  }

  private boolean refused(MachineVariant v, int taken, long now) {
    // After a refusal one call shows whether there is room again.
    return health.failureDetector().isPartitioned(v.zone())
        || refusedUntil.get(v.key()) > now
        || (taken >= ScaleOutRequest.MAX_MACHINES && probing.contains(v.key()));
  }

  /**
   * What to rent now, given the queue and the machines on their way.
   *
   * <p>Averaged spare hides bursts and rooms too small for large tasks, so waiting tasks are also
   * counted one by one: each is put where it would start first, on a machine there is or that is on
   * its way. Only when that is later than its job's objective allows, and a machine rented now
   * would be sooner, is one rented for it. So work that can wait for room does not rent dear
   * machines.
   */
  public List<ScaleOutRequest> rents(
      List<Job> all, List<PendingMachines> every, List<MachineType> types, long now) {
    // Gangs gather by themselves (core.gang): in the averages and the forecasts their tasks would
    // rent one machine after the other, in each zone, and none of them would wait for the others.
    List<Job> queue = all.stream().filter(j -> !j.spec.gang()).toList();
    List<PendingMachines> coming = every.stream().filter(c -> c.gang() == null).toList();
    Object2IntLinkedOpenHashMap<MachineVariant> added = new Object2IntLinkedOpenHashMap<>();
    int waiting = forecast(queue, coming, types, added, now);
    if (added.isEmpty() && spareIsLow(waiting, coming)) {
      MachineVariant v = cheapestOf(queue, types, now);
      if (v != null) {
        added.addTo(v, 1);
      }
    }
    List<ScaleOutRequest> rents =
        new ArrayList<>(schedulerState.gangReservations().rents(every, types, now));
    for (Object2IntMap.Entry<MachineVariant> e : added.object2IntEntrySet()) {
      for (int left = e.getIntValue(); left > 0; left -= ScaleOutRequest.MAX_MACHINES) {
        rents.add(new ScaleOutRequest(e.getKey(), Math.min(ScaleOutRequest.MAX_MACHINES, left)));
      }
    }
    return rents;
  }

  /**
   * Puts each waiting task where it would start first. The machines are looked at once for a job;
   * its tasks then take them in the order of their starts.
   *
   * @return how many tasks wait within their teams' limits
   */
  private int forecast(
      List<Job> queue,
      List<PendingMachines> coming,
      List<MachineType> types,
      Object2IntLinkedOpenHashMap<MachineVariant> added,
      long now) {
    int[] counts = new int[queue.size()];
    double[] teamCpus = new double[schedulerState.teams().size()];
    int waiting = 0;
    for (int i = 0; i < counts.length; i++) {
      JobSpec s = queue.get(i).spec;
      Team team = schedulerState.team(s);
      // Tasks beyond their team's limit need no machine.
      double left = team.cpusMax() - team.usedCpus() - teamCpus[s.team()];
      counts[i] =
          s.cpus() <= 0
              ? queue.get(i).pendingTasks.size()
              : (int)
                  Math.max(
                      0,
                      Math.min(
                          queue.get(i).pendingTasks.size(),
                          (left + ResourceVector.EPSILON) / s.cpus()));
      teamCpus[s.team()] += counts[i] * s.cpus();
      waiting += counts[i];
    }
    int[] rented = new int[types.stream().mapToInt(t -> t.index() + 1).max().orElse(0)];
    if (waiting == 0 || !rentable(types, rented, now)) {
      return waiting;
    }
    List<Slot> slots = new ArrayList<>();
    Replaced away = new Replaced(health.policy().maxReplacementShare());
    for (Machine m : schedulerState.machines()) {
      // A slow machine is no room for urgent work, and goes back when it is empty.
      if (m.isUsable()
          && m.reservedFor == null
          && !m.health.isSuspect()
          && !(health.isPartitionedAway(m.health) && away.replaced())) {
        slots.add(Slot.of(m, now));
      }
    }
    int firstComing = slots.size();
    for (PendingMachines c : coming) {
      for (int i = 0; i < c.count(); i++) {
        if (health.failureDetector().isPartitioned(c.variant().zone()) && away.replaced()) {
          continue;
        }
        slots.add(
            new Slot(
                c.variant(), Math.max(now + SOON_MS, c.sinceMs() + c.variant().plannedBootMs())));
      }
    }
    int most = MOST_FORECAST;
    for (int i = 0; i < counts.length && most > 0; i++) {
      if (counts[i] == 0) {
        continue;
      }
      if (!rentable(types, rented, now)) {
        break; // Nothing can be rented for the others, however late they start.
      }
      int some = Math.min(counts[i], most);
      most -= some;
      forecast += some;
      place(queue.get(i), some, slots, firstComing, types, added, rented, now);
    }
    return waiting;
  }

  /**
   * Which machines of cut zones are replaced: the stated share, spread evenly. The others are
   * expected back, so work that waits for them rents nothing, or a fleet that is away for a moment
   * would be rented twice.
   */
  private static final class Replaced {
    private final double share;
    private double due;

    Replaced(double share) {
      this.share = share;
    }

    boolean replaced() {
      due += share;
      if (due < 1) {
        return false;
      }
      due--;
      return true;
    }
  }

  /** Forecasts the starts of a job's tasks, and rents for those that would come too late. */
  private void place(
      Job job,
      int count,
      List<Slot> slots,
      int firstComing,
      List<MachineType> types,
      Object2IntLinkedOpenHashMap<MachineVariant> added,
      int[] rented,
      long now) {
    PriorityQueue<Start> starts =
        new PriorityQueue<>(
            Comparator.comparingLong((Start x) -> x.at).thenComparingInt(x -> x.slot));
    looked += slots.size();
    for (int i = 0; i < slots.size(); i++) {
      // Room in a zone where its other tasks do not let it be is none (docs/incidents,
      // room-in-the-other-zone).
      long at =
          job.allowsZone(slots.get(i).variant.zone())
              ? slots.get(i).start(job.spec)
              : Long.MAX_VALUE;
      if (at < Long.MAX_VALUE) {
        starts.add(new Start(at, i));
      }
    }
    int fresh = firstComing;
    int left = count;
    while (left > 0) {
      Start best = starts.peek();
      if (best != null) {
        // A slot that took a task aside has less room than this start supposes.
        long at = slots.get(best.slot).start(job.spec);
        if (at != best.at) {
          starts.poll();
          if (at < Long.MAX_VALUE) {
            starts.add(new Start(at, best.slot));
          }
          continue;
        }
      }
      if (best == null || best.at > now) {
        MachineVariant v = cheapest(job, left, types, added, now);
        if (v != null && cheap(v, types) && (best == null || best.at > now + LATE_MS)) {
          // What has to wait although machines are cheap goes to new ones, and leaves the room that
          // others set free to what comes next: otherwise a lasting burst is always just about to
          // find room, and nothing is rented for it.
          while (fresh < slots.size()
              && !(job.allowsZone(slots.get(fresh).variant.zone())
                  && slots.get(fresh).holds(job.spec))) {
            fresh++;
          }
          if (fresh == slots.size() && rented[v.type().index()] < policy.step()) {
            rented[v.type().index()]++;
            added.addTo(v, 1);
            slots.add(new Slot(v, now + v.plannedBootMs()));
          }
          if (fresh < slots.size()) {
            slots.get(fresh).take(job.spec, slots.get(fresh).at);
            left--;
            continue;
          }
        }
        if (v != null
            && rented[v.type().index()] < policy.step()
            && worth(job, v, best == null ? Long.MAX_VALUE : best.at, types, now)) {
          rented[v.type().index()]++;
          added.addTo(v, 1);
          best = new Start(now + v.plannedBootMs(), slots.size());
          slots.add(new Slot(v, best.at));
          starts.add(best);
        }
      }
      best = starts.poll();
      if (best == null) {
        return;
      }
      left--;
      Slot slot = slots.get(best.slot);
      slot.take(job.spec, best.at);
      long next = slot.start(job.spec);
      if (next < Long.MAX_VALUE) {
        starts.add(new Start(next, best.slot));
      }
    }
  }

  /** True when a machine of the variant rented now would bring a late start forward enough. */
  private boolean worth(Job job, MachineVariant v, long start, List<MachineType> types, long now) {
    if (start <= now + v.plannedBootMs() + WORTH_MS) {
      return false;
    }
    if (cheap(v, types)) {
      return true; // Waiting saves nothing where machines are cheap.
    }
    double fetchS = job.spec.imageGb() / v.type().fetchGbPerS();
    double readyS = (now + v.plannedBootMs() - job.eligibleSinceMs()) / 1000.0 + fetchS;
    double within = objectives.startWithinS(job.spec, fetchS, job.guaranteed, readyS);
    return start
        > (long) Math.min(Long.MAX_VALUE / 4.0, job.eligibleSinceMs() + 1000 * PATIENCE * within);
  }

  /** True while any variant may still be rented in this cycle. */
  private boolean rentable(List<MachineType> types, int[] rented, long now) {
    for (MachineType t : types) {
      if (rented[t.index()] >= policy.step()) {
        continue;
      }
      for (int zone : t.zones()) {
        if (!health.failureDetector().isPartitioned(zone)
            && (refusedUntil.get(new MachineVariant(t, zone, true).key()) <= now
                || refusedUntil.get(new MachineVariant(t, zone, false).key()) <= now)) {
          return true;
        }
      }
    }
    return false;
  }

  /** When a slot could start the next task. */
  private record Start(long at, int slot) {}

  /** True when a CPU of the variant costs little more than the cheapest one of all. */
  private static boolean cheap(MachineVariant v, List<MachineType> types) {
    double least = Double.MAX_VALUE;
    for (MachineType t : types) {
      least = Math.min(least, Math.min(t.price(), t.spotPrice()) / t.cpus());
    }
    return v.price() / v.type().cpus() <= CHEAP * least;
  }

  /** A machine as the forecast sees it: room from a time on, and when more is set free. */
  private static final class Slot {
    private final MachineVariant variant;
    private final ResourceVector room;
    private final List<Release> releases = new ArrayList<>();
    private long at;

    private record Release(long at, JobSpec job) {}

    Slot(MachineVariant variant, long at) {
      this.variant = variant;
      this.at = at;
      this.room =
          new ResourceVector(variant.type().cpus(), variant.type().cards(), variant.type().memGb());
    }

    static Slot of(Machine m, long now) {
      Slot s = new Slot(new MachineVariant(m.type, m.zone, m.spot), now);
      for (Attempt a : m.attempts) {
        s.room.add(a.job.spec, -1);
        double est = a.job.spec.service() ? 1e9 : a.job.spec.estimateS();
        double left =
            a.isStopping()
                ? a.job.spec.saveS()
                : Math.max(est - (now - a.createdMs) / 1000.0, est / 4);
        s.add(now + (long) (left * 1000), a.job.spec);
      }
      return s;
    }

    private void add(long time, JobSpec job) {
      int i = releases.size();
      while (i > 0 && releases.get(i - 1).at > time) {
        i--;
      }
      releases.add(i, new Release(time, job));
    }

    /** True when a task has room here without waiting for another to end. */
    boolean holds(JobSpec s) {
      return s.allows(variant.type().index(), variant.zone(), variant.spot()) && room.fits(s);
    }

    /** When a task of the job would have room; the largest long for never. */
    long start(JobSpec s) {
      if (!s.allows(variant.type().index(), variant.zone(), variant.spot())
          || !variant.type().fits(s)) {
        return Long.MAX_VALUE;
      }
      if (room.fits(s)) {
        return at;
      }
      ResourceVector r = new ResourceVector(room.cpus, room.cards, room.memGb);
      for (Release x : releases) {
        r.add(x.job, 1);
        if (r.fits(s)) {
          return Math.max(at, x.at);
        }
      }
      return Long.MAX_VALUE;
    }

    void take(JobSpec s, long start) {
      int freed = 0;
      while (!room.fits(s) && freed < releases.size()) {
        room.add(releases.get(freed++).job, 1);
      }
      releases.subList(0, freed).clear();
      at = Math.max(at, start);
      room.add(s, -1);
      double run = s.estimateS() + s.imageGb() / variant.type().fetchGbPerS();
      add(at + (long) (run * 1000), s);
    }
  }

  /** The design's trigger: spare averaged over unsaturated machines. */
  boolean spareIsLow(int waiting, List<PendingMachines> coming) {
    int n = 0;
    for (Machine m : schedulerState.machines()) {
      if (m.isUsable() && m.reservedFor == null && !health.isPartitionedAway(m.health)) {
        n++;
      }
    }
    int soon = 0;
    for (PendingMachines c : coming) {
      soon += c.count();
    }
    if (n + soon == 0) {
      return false;
    }
    double each = (double) waiting / (n + soon);
    int unsaturated = 0;
    double spare = 0;
    if (each < policy.waitingLimit()) {
      for (Machine m : schedulerState.machines()) {
        if (m.isUsable()
            && m.reservedFor == null
            && !health.isPartitionedAway(m.health)
            && m.bookedShare() < policy.bookedLimit()) {
          unsaturated++;
          spare += policy.bookedLimit() - m.bookedShare();
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

  /** The variant on which the job's waiting tasks cost least, as far as they fill a machine. */
  private MachineVariant cheapest(
      Job job,
      int left,
      List<MachineType> types,
      Object2IntLinkedOpenHashMap<MachineVariant> added,
      long now) {
    MachineVariant best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType t : types) {
      if (!t.fits(job.spec)) {
        continue;
      }
      int holds = Math.min(left, t.capacityFor(job.spec));
      for (int zone : t.zones()) {
        for (int k = 0; k < 2; k++) {
          MachineVariant v = new MachineVariant(t, zone, k == 0);
          int taken = added.getInt(v);
          if (!job.spec.allows(t.index(), zone, v.spot())
              || refused(v, taken, now)
              || !job.allowsZone(zone)) {
            continue;
          }
          // Equal prices spread over the zones, so that one zone's loss takes less.
          double cost = v.price() / holds * (1 + 1e-5 * taken);
          if (cost < bestCost) {
            bestCost = cost;
            best = v;
          }
        }
      }
    }
    return best;
  }

  /** The cheapest variant; while it is refused the spare trigger rents nothing dearer. */
  private MachineVariant cheapestOf(List<Job> queue, List<MachineType> types, long now) {
    MachineVariant best = null;
    double price = Double.MAX_VALUE;
    for (MachineType t : types) {
      if (!queue.isEmpty() && queue.stream().noneMatch(j -> t.fits(j.spec))) {
        continue;
      }
      for (int zone : t.zones()) {
        if (health.failureDetector().isPartitioned(zone)) {
          continue; // Nothing there could report to this leader.
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant v = new MachineVariant(t, zone, k == 0);
          if (v.price() < price || (v.price() == price && refusedUntil.get(best.key()) > now)) {
            price = v.price();
            best = v;
          }
        }
      }
    }
    return best == null || refusedUntil.get(best.key()) > now ? null : best;
  }

  /** Empty machines to be returned now, dearest first, as far as the headroom test allows. */
  public List<Machine> returns(boolean anyWaiting, long now) {
    double least = Double.MAX_VALUE;
    for (Machine m : schedulerState.machines()) {
      least = Math.min(least, Math.min(m.type.price(), m.type.spotPrice()) / m.type.cpus());
    }
    List<Machine> empty = new ArrayList<>();
    int idle = 0;
    double load = 0;
    double cpus = 0;
    int n = 0;
    for (Machine m : schedulerState.machines()) {
      // Of a machine whose report is overdue nothing is known, least of all that it is empty.
      if (!schedulerState.acceptsNewTasks(m, now)) {
        continue;
      }
      n++;
      load += (m.reservedFor == null ? m.bookedShare() : 1) * m.type.cpus();
      cpus += m.type.cpus();
      if (m.reservedFor != null || schedulerState.imageDistribution().gives(m)) {
        continue; // Held for a gang, or others fetch from it: as good as booked.
      }
      // The dearer its CPUs, the sooner an idle machine goes: it must pay for the next boot it
      // saves.
      double dear = least * m.type.cpus() / Math.max(1e-9, m.type.price(m.spot));
      if (m.isEmpty()) {
        idle++;
        if (now - m.idleSinceMs
            >= (m.health.isSuspect() ? SOON_MS : policy.idleMs() * Math.min(1, dear))) {
          empty.add(m);
        }
      }
    }
    // When a large fleet runs empty, those beyond what a burst may want need not wait.
    int excess = idle - (int) Math.max(IDLE_LEAST, IDLE_SHARE * n);
    if (excess > empty.size()) {
      empty.clear();
      for (Machine m : schedulerState.machines()) {
        if (schedulerState.acceptsNewTasks(m, now)
            && m.reservedFor == null
            && m.isEmpty()
            && now - m.idleSinceMs >= SOON_MS) {
          empty.add(m);
        }
      }
    } else {
      excess = empty.size();
    }
    empty.sort(
        Comparator.comparingDouble((Machine m) -> -m.type.price(m.spot))
            .thenComparing(m -> m.name));
    List<Machine> out = new ArrayList<>();
    for (Machine m : empty) {
      if (out.size() >= excess) {
        break;
      }
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
