package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;

/**
 * Holds room for gangs until all of a gang's tasks can start at once.
 *
 * <p>The averages of the design hide that free room is in pieces too small for a gang, and room
 * that comes free one machine after the other goes to whatever fits there. So a gang that waits
 * gathers: in one zone where its tasks must be together, else in the whole fleet. A machine held
 * for it takes nothing else, and what is lacking is rented once, in that place. The rules are kept
 * elsewhere: a held machine is a machine on which {@code SchedulerState.startRefusal} refuses
 * others, no more.
 *
 * <p><b>No deadlock, no rents without end.</b> In a zone one gang gathers at a time, and one more
 * in the whole fleet; a machine is held for one gang. A gathering ends when the gang starts, when
 * the place cannot complete it (the cloud refuses what it lacks and what runs there ends too late),
 * or after {@link #MOST_MS}; then all that it held is free, and the same place is left alone for
 * {@link #BACKOFF_MS}, doubled each time. It rents no more than twice the machines that the gang
 * fills and {@link #RENT_SLACK} more. So two gangs that together exceed a zone start one after the
 * other, or in two zones, and a gang that nothing holds rents a bounded number of machines for each
 * stated time.
 *
 * <p>It holds for one term: a leader that follows begins anew, with the place where most of the
 * room is; machines that were rented for a gang are known by their records ({@code
 * PendingMachines#gang}).
 */
public final class GangReservations {
  /** A gathering that takes longer is given up. */
  public static final long MOST_MS = 210_000;

  /** A place that could not complete a gang is left alone by it for so long, doubled each time. */
  static final long BACKOFF_MS = 30_000;

  static final long MOST_BACKOFF_MS = 480_000;

  /** Machines that never come are rented again, within this and twice what is needed. */
  static final int RENT_SLACK = 4;

  /**
   * Room that comes free by itself is worth waiting for that long, where the cloud has no more
   * machines. The longest tasks that stand in a gang's way run for about as long; with half of it
   * gangs gave up what was nearly complete, again and again (docs/incidents, gangs-gave-up).
   */
  private static final long HORIZON_MS = 200_000;

  /** Of so many machines and more a few are expected never to come, or late. */
  private static final int SOME = 8;

  private static final double NEVER_COME = 0.06;

  /** What runs on held machines is looked at no more often than this. */
  private static final long LOOK_MS = 1_000;

  /** The cloud's refusal of a variant is believed for so long. */
  private static final long REFUSED_MS = 20_000;

  /** How many machines of a variant there were when it was refused is believed for so long. */
  private static final long CEILING_MS = 120_000;

  /** More gangs than this do not gather at once: the others wait their turn. */
  private static final int MOST_AT_ONCE = 32;

  /** A task that was started more often is not stopped again. */
  private static final int MOST_TRIES = 3;

  private static final int ANYWHERE = -1;

  /** How a gang's gathering stands, for people. */
  public record State(int zone, int places, int need, int rented, long untilMs, boolean givenUp) {}

  /** What became of a gathering, for the log. */
  public record Change(Job job, int zone, What what, int places, int need, long lastedMs) {
    /** What became of it. */
    public enum What {
      /** It begins. */
      GATHERS,
      /** All of its tasks were placed, or it is over. */
      ENDS,
      /** The place cannot complete it, or it took too long. */
      GIVES_UP
    }
  }

  private static final class Gather {
    private final Job job;
    private final int zone;
    private final long sinceMs;
    private final ReferenceLinkedOpenHashSet<Machine> held = new ReferenceLinkedOpenHashSet<>();
    private int rented;
    private int places;

    /** Tasks for which machines rented for this gang are on their way. */
    private int coming;

    private long lookedMs = Long.MIN_VALUE / 2;

    Gather(Job job, int zone, long now) {
      this.job = job;
      this.zone = zone;
      this.sinceMs = now;
    }
  }

  /** Until when a gang avoids each zone after a failed reservation, and how often one failed. */
  private static final class PlaceBackoff {
    private final Long2LongOpenHashMap untilMs = new Long2LongOpenHashMap();
    private int failures;
    private int zone = ANYWHERE;
  }

  private final MachinePool machinePool;
  private final Reference2ObjectLinkedOpenHashMap<Job, Gather> gathers =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, PlaceBackoff> backoffs =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final Long2LongOpenHashMap refusedUntil = new Long2LongOpenHashMap();
  private final Long2ObjectOpenHashMap<long[]> ceilings = new Long2ObjectOpenHashMap<>();
  private List<MachineType> types = List.of();
  private final List<Change> changes = new ArrayList<>();
  private final SpotInterruptionRate losses = new SpotInterruptionRate();
  private long looked;
  private long clock;

  /** Without reservations, over the machines of one term. */
  public GangReservations(MachinePool machinePool) {
    this.machinePool = machinePool;
  }

  /** Machines and attempts looked at so far: what gathering costs. */
  public long looked() {
    return looked;
  }

  /** How many gangs gather. */
  public int size() {
    return gathers.size();
  }

  /** How the job's gathering stands; null when it has never gathered. */
  public State state(Job job, long now) {
    Gather g = gathers.get(job);
    if (g != null) {
      return new State(g.zone, g.places, need(job), g.rented, g.sinceMs + MOST_MS, false);
    }
    PlaceBackoff p = backoffs.get(job);
    if (p == null || p.failures == 0) {
      return null;
    }
    long until = p.untilMs.get(p.zone);
    return new State(p.zone, 0, need(job), 0, until, until > now);
  }

  /**
   * Brings what is held up to date, before anything is placed.
   *
   * @param queue jobs that wait, in the order in which they get room
   * @param mayStart whether a gang's turn has come: neither held back nor beyond its team's limit
   */
  public void reserve(List<Job> queue, Predicate<Job> mayStart, long now) {
    losses.watch(machinePool.machines(), now);
    if (gathers.isEmpty() && queue.stream().noneMatch(j -> j.spec.gang())) {
      backoffs.clear();
      return;
    }
    for (Gather g : new ArrayList<>(gathers.values())) {
      if (!g.job.hasWaitingTasks() || !mayStart.test(g.job)) {
        changed(g, Change.What.ENDS, now);
        end(g);
      }
    }
    backoffs.keySet().removeIf(j -> !j.hasWaitingTasks());
    for (Job job : queue) {
      if (!job.spec.gang()
          || !mayStart.test(job)
          || job.spec.isUnsatisfiable(machinePool.zones())) {
        continue;
      }
      Gather g = gathers.get(job);
      if (g == null && gathers.size() < MOST_AT_ONCE) {
        g = begin(job, now);
      }
      if (g != null) {
        hold(g, now);
      }
    }
  }

  private static int need(Job job) {
    return job.waitingCount();
  }

  private boolean taken(int zone) {
    for (Gather g : gathers.values()) {
      if (g.zone == zone) {
        return true;
      }
    }
    return false;
  }

  /** Chooses the place where the gang can start first; null where none is free or holds it. */
  private Gather begin(Job job, long now) {
    if (types.isEmpty()) {
      return null; // The fleet's first cycle tells what can be rented.
    }
    clock = now;
    PlaceBackoff backoff = backoffs.computeIfAbsent(job, j -> new PlaceBackoff());
    int best = Integer.MIN_VALUE;
    long bestAt = Long.MAX_VALUE;
    int bestNear = -1;
    int from = job.spec.together() ? 0 : ANYWHERE;
    int to = job.spec.together() ? machinePool.zones() : 0;
    for (int zone = from; zone < to; zone++) {
      if (taken(zone)
          || backoff.untilMs.get(zone) > now
          || (job.spec.zone() >= 0 && zone >= 0 && zone != job.spec.zone())
          || (job.spec.together() && job.liveAttemptCount() > 0 && !job.hasLiveAttemptIn(zone))
          || (zone >= 0 && machinePool.health().failureDetector().isPartitioned(zone))) {
        continue;
      }
      long boot = bootMs(job.spec, zone, now);
      int near = sum(job, options(job, zone, now + Math.max(0, boot)));
      long at = completeMs(job, zone, now);
      if (boot >= 0 && near + rentable(job.spec, zone, now) >= need(job)) {
        at = Math.min(at, now + boot);
      }
      if (at < bestAt || (at == bestAt && at < Long.MAX_VALUE && near > bestNear)) {
        best = zone;
        bestAt = at;
        bestNear = near;
      }
    }
    if (best == Integer.MIN_VALUE) {
      return null;
    }
    Gather g = new Gather(job, best, now);
    gathers.put(job, g);
    backoff.zone = best;
    changed(g, Change.What.GATHERS, now);
    return g;
  }

  /** When the machines that there are have room for the whole gang; the largest long for never. */
  private long completeMs(Job job, int zone, long now) {
    int[] inZone = new int[machinePool.zones()];
    int places = 0;
    for (Option o : options(job, zone, now + HORIZON_MS)) {
      int some = Math.min(o.holds, job.spec.maxTasksPerZone() - inZone[o.machine.zone]);
      inZone[o.machine.zone] += Math.max(0, some);
      places += Math.max(0, some);
      if (places >= need(job)) {
        return o.atMs;
      }
    }
    return Long.MAX_VALUE;
  }

  /** How long a machine rented now for the gang takes; -1 where none can be rented. */
  private long bootMs(JobSpec s, int zone, long now) {
    MachineVariant v = cheapest(s, zone, now);
    return v == null ? -1 : v.plannedBootMs();
  }

  /**
   * The most tasks that machines rented now could have room for. Of a variant that was refused the
   * cloud has no more than there were then: what it may give is what was lost of it since.
   */
  private long rentable(JobSpec s, int zone, long now) {
    long sum = 0;
    for (MachineType t : types) {
      for (int z : t.zones()) {
        for (int k = 0; k < 2; k++) {
          MachineVariant v = new MachineVariant(t, z, k == 0);
          if ((zone < 0 || z == zone) && t.fits(s) && s.allows(t.index(), z, v.spot())) {
            long[] c = ceilings.get(v.key());
            boolean unknown = c == null || c[0] < now;
            sum += unknown ? s.tasks() : Math.max(0, c[1] - count(v)) * t.capacityFor(s);
          }
        }
      }
    }
    return sum;
  }

  private int count(MachineVariant v) {
    int n = 0;
    for (Machine m : machinePool.machines()) {
      boolean is = m.type.index() == v.type().index() && m.zone == v.zone() && m.spot == v.spot();
      n += is && !m.failed && !m.deleting ? 1 : 0;
    }
    return n;
  }

  private MachineVariant cheapest(JobSpec s, int zone, long now) {
    MachineVariant best = null;
    double least = Double.MAX_VALUE;
    for (MachineType t : types) {
      if (!t.fits(s)) {
        continue;
      }
      int holds = Math.max(1, Math.min(s.tasks(), t.capacityFor(s)));
      // One machine that is taken ends the run of all: what is cheap by the hour may cost more.
      double again = losses.repeats((s.tasks() + holds - 1) / holds, s.estimateS());
      for (int z : t.zones()) {
        if ((zone >= 0 && z != zone) || machinePool.health().failureDetector().isPartitioned(z)) {
          continue;
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant v = new MachineVariant(t, z, k == 0);
          if (s.allows(t.index(), z, v.spot())
              && refusedUntil.get(v.key()) <= now
              && v.price() * (v.spot() ? again : 1) / holds < least) {
            least = v.price() * (v.spot() ? again : 1) / holds;
            best = v;
          }
        }
      }
    }
    return best;
  }

  /** Room for so many of a gang's tasks on a machine, and from when on. */
  private record Option(Machine machine, int holds, long atMs) {}

  /** Machines of the place on which the gang's tasks have room by then, the soonest first. */
  private List<Option> options(Job job, int zone, long byMs) {
    List<Option> out = new ArrayList<>();
    long now = clock;
    for (Machine m : machinePool.machines()) {
      looked++;
      if ((zone < 0 || m.zone == zone) && allows(job, m, now)) {
        Option o = option(job, m, now, byMs);
        if (o.holds > 0) {
          out.add(o);
        }
      }
    }
    out.sort(
        Comparator.comparingLong((Option o) -> o.atMs)
            .thenComparingInt(o -> o.machine.isEmpty() ? 0 : 1)
            .thenComparingInt(o -> o.machine.spot ? 1 : 0)
            .thenComparing(o -> o.machine.name));
    return out;
  }

  private boolean allows(Job job, Machine m, long now) {
    return (m.reservedFor == null || m.reservedFor == job)
        && !m.health.isSuspect()
        && machinePool.acceptsNewTasks(m, now)
        && job.spec.allows(m.type.index(), m.zone, m.spot)
        && m.type.fits(job.spec);
  }

  private Option option(Job job, Machine m, long now, long byMs) {
    ResourceVector room = m.copyFreeResources();
    int most = need(job);
    int holds = room.capacityFor(job.spec, most);
    long at = now;
    if (byMs > now) {
      List<Release> ends = new ArrayList<>();
      for (Attempt a : m.attempts()) {
        looked++;
        ends.add(new Release(endMs(a, now), a.job.spec));
      }
      ends.sort(Comparator.comparingLong(Release::atMs));
      for (Release r : ends) {
        if (r.atMs > byMs) {
          break;
        }
        room.add(r.spec, 1);
        int more = room.capacityFor(job.spec, most);
        if (more > holds) {
          holds = more;
          at = r.atMs;
        }
      }
    }
    return new Option(m, holds, at);
  }

  private record Release(long atMs, JobSpec spec) {}

  private static long endMs(Attempt a, long now) {
    JobSpec s = a.job.spec;
    if (a.isStopping()) {
      return now + (long) (s.saveS() * 1000) + 2_000;
    }
    if (s.service()) {
      return Long.MAX_VALUE;
    }
    double left = Math.max(s.estimateS() - (now - a.createdMs) / 1000.0, s.estimateS() / 4);
    return now + (long) (left * 1000);
  }

  /** Tasks of the gang that have room, by its zone rules. */
  private int sum(Job job, Collection<Option> options) {
    int[] inZone = new int[machinePool.zones()];
    int sum = 0;
    for (Option o : options) {
      int some = Math.min(o.holds, job.spec.maxTasksPerZone() - inZone[o.machine.zone]);
      inZone[o.machine.zone] += Math.max(0, some);
      sum += Math.max(0, some);
    }
    return Math.min(sum, need(job));
  }

  /** Takes machines for the gang as far as it needs them, and lets go those it does not. */
  private void hold(Gather g, long now) {
    clock = now;
    boolean look = now - g.lookedMs >= LOOK_MS;
    for (Machine m : g.held.toArray(new Machine[0])) {
      if (machinePool.machine(m.name) != m || !allows(g.job, m, now)) {
        free(g, m);
      }
    }
    if (!look) {
      takeFree(g, now);
      return;
    }
    g.lookedMs = now;
    // While machines can be rented, what comes free later than one would boot is left to others. A
    // variant that was refused a moment ago is asked for again, and is not one that can be rented:
    // each time nothing that ends later than a boot would have been taken or counted.
    long boot = bootMs(g.job.spec, g.zone, now);
    boolean enough =
        boot >= 0
            && sum(g.job, options(g.job, g.zone, now + boot)) + rentable(g.job.spec, g.zone, now)
                >= need(g.job);
    long by = now + (enough ? boot : HORIZON_MS);
    int wanted = need(g.job) - g.coming;
    int[] inZone = new int[machinePool.zones()];
    int places = 0;
    for (Option o : options(g.job, g.zone, by)) {
      int some = Math.min(o.holds, g.job.spec.maxTasksPerZone() - inZone[o.machine.zone]);
      if (places >= wanted || some <= 0) {
        free(g, o.machine);
        continue;
      }
      inZone[o.machine.zone] += some;
      places += some;
      take(g, o.machine);
      if (o.atMs > now) {
        giveWay(g.job, o.machine, now);
      }
    }
    g.places = Math.min(places, need(g.job));
  }

  /** New machines and freed ones: cheap enough for every pass. */
  private void takeFree(Gather g, long now) {
    for (Machine m : machinePool.machines()) {
      if (g.places >= need(g.job) - g.coming) {
        return;
      }
      looked++;
      if (m.reservedFor == null
          && (g.zone < 0 || m.zone == g.zone)
          && m.isEmpty()
          && allows(g.job, m, now)) {
        take(g, m);
        g.places += m.type.capacityFor(g.job.spec);
      }
    }
  }

  private static void take(Gather g, Machine m) {
    if (g.held.add(m)) {
      m.reservedFor = g.job;
    }
  }

  private static void free(Gather g, Machine m) {
    if (g.held.remove(m) && m.reservedFor == g.job) {
      m.reservedFor = null;
    }
  }

  /** Less important work on a held machine makes room at once, by the rank rules alone. */
  private void giveWay(Job job, Machine m, long now) {
    for (Attempt a : m.attempts()) {
      if (!a.isStopping()
          && a.job.spec.priority() > job.spec.priority()
          && a.number <= MOST_TRIES
          && (a.phase == Attempt.Phase.RUNNING || a.phase == Attempt.Phase.PULLING)) {
        machinePool.requestStop(a, a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0, now);
      }
    }
  }

  /**
   * What is lacking, to be rented now; places that cannot be completed are given up here, since
   * this is when it is known what the cloud has.
   */
  public List<ScaleOutRequest> rents(
      List<PendingMachines> coming, List<MachineType> offered, long now) {
    types = offered;
    clock = now;
    List<ScaleOutRequest> out = new ArrayList<>();
    for (Gather g : new ArrayList<>(gathers.values())) {
      if (now - g.sinceMs > MOST_MS) {
        fail(g, now);
        continue;
      }
      JobSpec s = g.job.spec;
      g.coming = 0;
      for (PendingMachines c : coming) {
        if (s.id().equals(c.gang()) && (g.zone < 0 || c.variant().zone() == g.zone)) {
          g.coming += c.count() * Math.max(1, c.variant().type().capacityFor(s));
        }
      }
      int there = g.places + g.coming;
      int lack = need(g.job) - there;
      if (lack <= 0) {
        continue;
      }
      MachineVariant v = cheapest(s, g.zone, now);
      if (v == null) {
        // The cloud has no more: what is there and coming must do, or another place.
        if (there < need(g.job)
            && sum(g.job, options(g.job, g.zone, now + HORIZON_MS)) + g.coming < need(g.job)) {
          fail(g, now);
        }
        continue;
      }
      int each = Math.max(1, v.type().capacityFor(s));
      int bound = 2 * ((s.tasks() + each - 1) / each) + RENT_SLACK;
      int machines = (lack + each - 1) / each;
      // One that never comes holds all the others up for twice a boot: a few more cost less.
      machines += machines >= SOME ? (int) Math.ceil(machines * NEVER_COME) : 0;
      int left = Math.min(machines, bound - g.rented);
      if (s.scatter()) {
        left = Math.min(left, Math.max(1, s.maxTasksPerZone() / each));
      }
      g.rented += Math.max(0, left);
      for (; left > 0; left -= ScaleOutRequest.MAX_MACHINES) {
        out.add(new ScaleOutRequest(v, Math.min(ScaleOutRequest.MAX_MACHINES, left), s.id()));
      }
    }
    return out;
  }

  /**
   * The cloud gave fewer machines of a variant than were asked for.
   *
   * @param there how many of it there are then, those on their way included
   */
  public void refused(MachineVariant v, int there, long now) {
    refusedUntil.put(v.key(), now + REFUSED_MS);
    ceilings.put(v.key(), new long[] {now + CEILING_MS, there});
  }

  private void fail(Gather g, long now) {
    PlaceBackoff p = backoffs.computeIfAbsent(g.job, j -> new PlaceBackoff());
    p.zone = g.zone;
    long wait = Math.min(MOST_BACKOFF_MS, BACKOFF_MS << Math.min(8, p.failures));
    p.failures++;
    p.untilMs.put(g.zone, now + wait);
    changed(g, Change.What.GIVES_UP, now);
    end(g);
  }

  private void changed(Gather g, Change.What what, long now) {
    if (changes.size() < MOST_AT_ONCE) {
      changes.add(new Change(g.job, g.zone, what, g.places, need(g.job), now - g.sinceMs));
    }
  }

  /** Changes since the last call. */
  public List<Change> changes() {
    List<Change> out = new ArrayList<>(changes);
    changes.clear();
    return out;
  }

  private void end(Gather g) {
    for (Machine m : g.held) {
      if (m.reservedFor == g.job) {
        m.reservedFor = null;
      }
    }
    gathers.remove(g.job);
  }

  /** The machine is gone. */
  public void gone(Machine m) {
    if (m.reservedFor != null) {
      Gather g = gathers.get(m.reservedFor);
      if (g != null) {
        free(g, m);
      }
      m.reservedFor = null;
    }
  }
}
