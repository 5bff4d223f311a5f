package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
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
 * Sizes the fleet. Scale out: rents the cheapest fitting {@link MachineVariant} on low averaged
 * spare capacity, before machines saturate, and for tasks that would start too late. Scale in:
 * returns the dearest empty machines as far as the headroom test allows.
 *
 * <p>Confined to the thread of the event loop, as the state is.
 */
public final class Autoscaler {
  /** A pending machine is taken to need at least this long until its first heartbeat. */
  private static final long MIN_REMAINING_BOOT_MS = 3_000;

  /** Later arrivals may go first, so only a part of the time that is left is planned away. */
  private static final double PLANNED_WAIT_SHARE = 0.4;

  /** A variant is cheap when a CPU costs up to this multiple of the cheapest CPU there is. */
  private static final double CHEAP_PRICE_FACTOR = 2;

  /** A start later than this is late where machines are cheap. */
  private static final long LATE_START_MS = 5_000;

  /** A rent must bring a start forward by this much. */
  private static final long MIN_GAIN_MS = 5_000;

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private long machinesScanned;
  private long tasksForecast;
  private final VariantRefusals refusals = new VariantRefusals();
  private final SpareCapacityTrigger spareCapacityTrigger;
  private final ScaleInPlanner scaleInPlanner;
  private final FleetHealth health;

  /** An autoscaler for the machines of one leader's term. */
  public Autoscaler(
      SchedulerState schedulerState, AutoscalerPolicy policy, ServiceLevelObjectives objectives) {
    this.objectives = objectives;
    this.schedulerState = schedulerState;
    this.health = schedulerState.health();
    this.policy = policy;
    this.spareCapacityTrigger = new SpareCapacityTrigger(schedulerState, policy);
    this.scaleInPlanner = new ScaleInPlanner(schedulerState, policy);
  }

  /** Tasks forecast so far. */
  public long tasksForecast() {
    return tasksForecast;
  }

  /** Machines looked at so far: the cost of the forecasts. */
  public long machinesScanned() {
    return machinesScanned;
  }

  /** The cloud had none, or fewer than asked: other variants are tried for a while. */
  public void recordRefusal(MachineVariant v, long now) {
    refusals.recordRefusal(v, now);
  }

  /**
   * Since when the cloud has refused the variant, or given fewer than asked; -1 while it has not.
   */
  public long refusedSinceMs(MachineVariant v) {
    return refusals.sinceMs(v);
  }

  /**
   * Tasks that are forecast in a cycle, in the order of the queue. More than a fleet of thousands
   * starts in minutes; what an array of 100,000 has beyond that rents nothing more, and forecasting
   * it held the loop up for over a second (docs/incidents, huge-array).
   */
  public static final int MAX_FORECAST_TASKS = 16_000;

  /** The cloud gave all that was asked for: there may be more. */
  public void recordGrant(MachineVariant v) {
    refusals.recordGrant(v);
  }

  private boolean isUnavailable(MachineVariant v, int requested, long now) {
    return health.failureDetector().isPartitioned(v.zone())
        || refusals.isUnavailable(v, requested, now);
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
  public List<ScaleOutRequest> scaleOut(
      List<Job> all, List<PendingMachines> every, List<MachineType> types, long now) {
    // Gangs gather by themselves (core.gang): in the averages and the forecasts their tasks would
    // rent one machine after the other, in each zone, and none of them would wait for the others.
    List<Job> queue = all.stream().filter(j -> !j.spec.gang()).toList();
    List<PendingMachines> coming = every.stream().filter(c -> c.gang() == null).toList();
    Object2IntLinkedOpenHashMap<MachineVariant> added = new Object2IntLinkedOpenHashMap<>();
    int waiting = forecast(queue, coming, types, added, now);
    if (added.isEmpty() && spareCapacityTrigger.isSpareLow(waiting, coming)) {
      MachineVariant v = cheapestOf(queue, types, now);
      if (v != null) {
        added.addTo(v, 1);
      }
    }
    List<ScaleOutRequest> rents =
        new ArrayList<>(schedulerState.gangReservations().scaleOut(every, types, now));
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
    List<ForecastMachine> slots = new ArrayList<>();
    ReplacementQuota replacements = new ReplacementQuota(health.policy().maxReplacementShare());
    for (Machine m : schedulerState.machines()) {
      // A slow machine is no room for urgent work, and goes back when it is empty.
      if (m.isUsable()
          && m.reservedFor == null
          && !m.health.isSuspect()
          && !(health.isPartitionedAway(m.health) && replacements.isReplaced())) {
        slots.add(ForecastMachine.of(m, now));
      }
    }
    int firstComing = slots.size();
    for (PendingMachines c : coming) {
      for (int i = 0; i < c.count(); i++) {
        if (health.failureDetector().isPartitioned(c.variant().zone())
            && replacements.isReplaced()) {
          continue;
        }
        slots.add(
            new ForecastMachine(
                c.variant(),
                Math.max(now + MIN_REMAINING_BOOT_MS, c.sinceMs() + c.variant().plannedBootMs())));
      }
    }
    int most = MAX_FORECAST_TASKS;
    for (int i = 0; i < counts.length && most > 0; i++) {
      if (counts[i] == 0) {
        continue;
      }
      if (!rentable(types, rented, now)) {
        break; // Nothing can be rented for the others, however late they start.
      }
      int some = Math.min(counts[i], most);
      most -= some;
      tasksForecast += some;
      place(queue.get(i), some, slots, firstComing, types, added, rented, now);
    }
    return waiting;
  }

  /** Forecasts the starts of a job's tasks, and rents for those that would come too late. */
  private void place(
      Job job,
      int count,
      List<ForecastMachine> slots,
      int firstComing,
      List<MachineType> types,
      Object2IntLinkedOpenHashMap<MachineVariant> added,
      int[] rented,
      long now) {
    PriorityQueue<Start> starts =
        new PriorityQueue<>(
            Comparator.comparingLong((Start x) -> x.at).thenComparingInt(x -> x.slot));
    machinesScanned += slots.size();
    for (int i = 0; i < slots.size(); i++) {
      // Room in a zone where its other tasks do not let it be is none (docs/incidents,
      // room-in-the-other-zone).
      long at =
          job.allowsZone(slots.get(i).variant().zone())
              ? slots.get(i).earliestStartMs(job.spec)
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
        long at = slots.get(best.slot).earliestStartMs(job.spec);
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
        if (v != null && cheap(v, types) && (best == null || best.at > now + LATE_START_MS)) {
          // What has to wait although machines are cheap goes to new ones, and leaves the room that
          // others set free to what comes next: otherwise a lasting burst is always just about to
          // find room, and nothing is rented for it.
          while (fresh < slots.size()
              && !(job.allowsZone(slots.get(fresh).variant().zone())
                  && slots.get(fresh).fitsNow(job.spec))) {
            fresh++;
          }
          if (fresh == slots.size() && rented[v.type().index()] < policy.step()) {
            rented[v.type().index()]++;
            added.addTo(v, 1);
            slots.add(new ForecastMachine(v, now + v.plannedBootMs()));
          }
          if (fresh < slots.size()) {
            slots.get(fresh).place(job.spec, slots.get(fresh).availableMs());
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
          slots.add(new ForecastMachine(v, best.at));
          starts.add(best);
        }
      }
      best = starts.poll();
      if (best == null) {
        return;
      }
      left--;
      ForecastMachine slot = slots.get(best.slot);
      slot.place(job.spec, best.at);
      long next = slot.earliestStartMs(job.spec);
      if (next < Long.MAX_VALUE) {
        starts.add(new Start(next, best.slot));
      }
    }
  }

  /** True when a machine of the variant rented now would bring a late start forward enough. */
  private boolean worth(Job job, MachineVariant v, long start, List<MachineType> types, long now) {
    if (start <= now + v.plannedBootMs() + MIN_GAIN_MS) {
      return false;
    }
    if (cheap(v, types)) {
      return true; // Waiting saves nothing where machines are cheap.
    }
    double fetchS = job.spec.imageGb() / v.type().fetchGbPerS();
    double readyS = (now + v.plannedBootMs() - job.eligibleSinceMs()) / 1000.0 + fetchS;
    double within = objectives.latestStartS(job.spec, fetchS, job.guaranteed, readyS);
    return start
        > (long)
            Math.min(
                Long.MAX_VALUE / 4.0, job.eligibleSinceMs() + 1000 * PLANNED_WAIT_SHARE * within);
  }

  /** True while any variant may still be rented in this cycle. */
  private boolean rentable(List<MachineType> types, int[] rented, long now) {
    for (MachineType t : types) {
      if (rented[t.index()] >= policy.step()) {
        continue;
      }
      for (int zone : t.zones()) {
        if (!health.failureDetector().isPartitioned(zone)
            && (!refusals.isActive(new MachineVariant(t, zone, true), now)
                || !refusals.isActive(new MachineVariant(t, zone, false), now))) {
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
    return v.price() / v.type().cpus() <= CHEAP_PRICE_FACTOR * least;
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
              || isUnavailable(v, taken, now)
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
          if (v.price() < price || (v.price() == price && refusals.isActive(best, now))) {
            price = v.price();
            best = v;
          }
        }
      }
    }
    return best == null || refusals.isActive(best, now) ? null : best;
  }

  /** Empty machines to be returned now, dearest first, as far as the headroom test allows. */
  public List<Machine> scaleIn(boolean anyWaiting, long now) {
    return scaleInPlanner.machinesToReturn(anyWaiting, now);
  }
}
