package org.mallowroad.core.explain;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * Finds for each open job why tasks of it wait. {@link #begin} looks at every machine and attempt
 * once; {@link #step} explains jobs until it has asked a stated number of questions, so that a
 * leader on a fraction of a core goes on with its work between two steps. What changes meanwhile
 * shows in later jobs only; a job that is over by its turn is left out.
 */
public final class PendingReasonExplainer {
  /** Tasks of a job that wait or hang, by how far they are. */
  private static final class Counts {
    private int recording;
    private int ready;
    private int pulling;
    private int silent;
    private Machine silentOn;
    private long oldestMs = Long.MAX_VALUE;
    private long silentSinceMs = Long.MAX_VALUE;
    private long goneMs;

    int starting() {
      return recording + ready + pulling;
    }
  }

  /** Machines alike in type, zone and kind, and what holds them. */
  private static final class Group {
    private final MachineVariant variant;
    private final List<Machine> machines = new ArrayList<>();
    private final double[][] held;
    private int coming;
    private long dueMs = Long.MAX_VALUE;
    private long rentedMs;

    Group(MachineVariant variant, int teams) {
      this.variant = variant;
      this.held = new double[teams][PRIORITIES];
    }

    boolean allows(JobSpec s) {
      return s.allows(variant.type().index(), variant.zone(), variant.spot())
          && variant.type().fits(s);
    }
  }

  private static final int PRIORITIES = 4;

  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final AutoscalerView supply;
  private final NameIndex zones;
  private final NameIndex classes;

  private final List<Job> jobs = new ArrayList<>();
  private final List<Group> groups = new ArrayList<>();
  private final List<MachineVariant> offered = new ArrayList<>();
  private final Reference2ObjectOpenHashMap<Job, Counts> counts =
      new Reference2ObjectOpenHashMap<>();
  private final Object2ObjectOpenHashMap<Shape, Tally> tallies = new Object2ObjectOpenHashMap<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, PendingReason> findings =
      new Reference2ObjectLinkedOpenHashMap<>();

  /**
   * CPUs that wait ahead, by team, priority and guarantee; of a job's rank only better ones count.
   */
  private double[][][] ahead = new double[0][0][0];

  private int next;
  private long now;
  private long asked;

  /** Over one term's decisions; the names turn indices back into words. */
  public PendingReasonExplainer(
      SchedulerState schedulerState,
      TaskScheduler placement,
      AutoscalerView supply,
      NameIndex zones,
      NameIndex classes) {
    this.schedulerState = schedulerState;
    this.placement = placement;
    this.supply = supply;
    this.zones = zones;
    this.classes = classes;
  }

  /** Questions asked of the decision so far: what explaining costs. */
  public long asked() {
    return asked;
  }

  /** Begins anew, with the state of this moment. */
  public void begin(long at) {
    now = at;
    next = 0;
    jobs.clear();
    groups.clear();
    offered.clear();
    counts.clear();
    findings.clear();
    tallies.clear();
    List<Job> queue = placement.queue(now);
    jobs.addAll(queue);
    for (Job j : schedulerState.jobs()) {
      if (!j.hasWaitingTasks() && !j.isEnded()) {
        jobs.add(j);
      }
    }
    ahead = new double[schedulerState.teams().size()][PRIORITIES][2];
    for (Job j : queue) {
      ahead[j.spec.team()][j.spec.priority()][j.isGuaranteed() ? 1 : 0] +=
          j.waitingCount() * j.spec.cpus();
    }
    survey();
    for (MachineType t : supply.types()) {
      for (int zone : t.zones()) {
        offered.add(new MachineVariant(t, zone, true));
        offered.add(new MachineVariant(t, zone, false));
      }
    }
  }

  private void survey() {
    Object2ObjectLinkedOpenHashMap<MachineVariant, Group> byVariant =
        new Object2ObjectLinkedOpenHashMap<>();
    for (Machine m : schedulerState.machines()) {
      Group g = group(byVariant, new MachineVariant(m.type, m.zone, m.spot));
      g.machines.add(m);
      boolean silent = unheard(m, now);
      for (Attempt a : m.attempts()) {
        g.held[a.job.spec.team()][a.job.spec.priority()] += a.job.spec.cpus();
        count(a, m, silent);
      }
    }
    for (PendingMachines c : supply.coming(now)) {
      Group g = group(byVariant, c.variant());
      g.coming += c.count();
      long due = c.sinceMs() + (long) (c.variant().type().bootS() * 1000);
      if (due < g.dueMs) {
        g.dueMs = due;
        g.rentedMs = c.sinceMs();
      }
    }
    groups.addAll(byVariant.values());
  }

  /** Not heard: its report is overdue, in a cut zone, or it is being returned for that. */
  boolean unheard(Machine m, long at) {
    return schedulerState.machineRefusal(m, at) == StartRefusal.HEARTBEAT_OVERDUE
        || schedulerState.health().isPartitionedAway(m.health)
        || (m.deleting && !m.failed && m.health.isOverdue());
  }

  private Group group(
      Object2ObjectLinkedOpenHashMap<MachineVariant, Group> byVariant, MachineVariant v) {
    return byVariant.computeIfAbsent(v, k -> new Group(v, schedulerState.teams().size()));
  }

  private void count(Attempt a, Machine m, boolean silent) {
    if (!silent
        && a.phase != Attempt.Phase.RECORDING
        && a.phase != Attempt.Phase.READY
        && a.phase != Attempt.Phase.PULLING) {
      return;
    }
    Counts c = counts.computeIfAbsent(a.job, k -> new Counts());
    if (silent && a.phase != Attempt.Phase.RECORDING) {
      c.silent++;
      long since = m.lastHeartbeatMs < 0 ? m.firstSeenMs : m.lastHeartbeatMs;
      long gone = schedulerState.leaseExpiryMs(m);
      if (since < c.silentSinceMs) {
        c.silentSinceMs = since;
        c.silentOn = m;
      }
      // One whose lease proves nothing is gone only when the cloud has answered its deletion.
      c.goneMs = gone < 0 || c.goneMs < 0 ? -1 : Math.max(c.goneMs, gone);
      return;
    }
    c.oldestMs = Math.min(c.oldestMs, a.createdMs);
    switch (a.phase) {
      case RECORDING -> c.recording++;
      case READY -> c.ready++;
      default -> c.pulling++;
    }
  }

  /**
   * Explains further jobs.
   *
   * @param questions after so many a step ends; one job may ask once a machine more
   * @param most no more jobs than this in all
   * @return true when so many, or all, are explained
   */
  public boolean step(int questions, int most) {
    long until = asked + questions;
    int end = Math.min(most, jobs.size());
    while (next < end && asked < until) {
      Job job = jobs.get(next++);
      asked++;
      PendingReason f = find(job);
      if (f != null) {
        findings.put(job, f);
      }
    }
    return next >= end;
  }

  /** How many of the jobs are explained so far. */
  public int explained() {
    return next;
  }

  /** Explains one job by itself, which costs a survey and its own questions. */
  PendingReason only(Job job, long at) {
    begin(at);
    return find(job);
  }

  /** Why tasks of the job wait; null when all of them run, or it was not open. */
  public PendingReason finding(Job job) {
    return findings.get(job);
  }

  /** The jobs of this explanation: those that wait in the order of the queue, then the others. */
  public List<Job> jobs() {
    return jobs;
  }

  /** Attempts of the job that are recorded and not yet running, on machines that are heard. */
  public int starting(Job job) {
    Counts c = counts.get(job);
    return c == null ? 0 : c.starting();
  }

  /** Attempts of the job on machines that are not heard. */
  public int silent(Job job) {
    Counts c = counts.get(job);
    return c == null ? 0 : c.silent;
  }

  private PendingReason find(Job job) {
    if (job.isEnded() || (job.isCancelled() && job.liveAttemptCount() == 0)) {
      return null;
    }
    Counts c = counts.get(job);
    if (job.isHeld() && !job.isCancelled()) {
      return plain(job, PendingCause.HELD_BY_TIES, job.holdReason);
    }
    if (!job.hasWaitingTasks()) {
      return c == null ? null : underWay(c);
    }
    PendingReason f = pending(job);
    if (c == null || c.silent == 0) {
      return f;
    }
    return new PendingReason(
        f.reason(),
        f.sinceMs(),
        f.dueMs(),
        f.zone() < 0 ? c.silentOn.zone : f.zone(),
        f.detail() + "; besides, " + failureDetector(c));
  }

  /** None of its tasks waits for a place, but some have not begun, or nobody hears of them. */
  private PendingReason underWay(Counts c) {
    if (c.silent > 0) {
      boolean cut = schedulerState.health().failureDetector().isPartitioned(c.silentOn.zone);
      return new PendingReason(
          cut ? PendingCause.ZONE_CUT : PendingCause.NOT_PROVEN_GONE,
          c.silentSinceMs,
          c.goneMs > 0 ? c.goneMs : -1,
          c.silentOn.zone,
          failureDetector(c));
    }
    if (c.recording > 0) {
      PendingCause r = supply.firm() ? PendingCause.AWAITS_COMMIT : PendingCause.STATE_AWAY;
      return new PendingReason(
          r,
          c.oldestMs,
          -1,
          -1,
          CountFormat.of(c.recording, "start")
              + ", "
              + CountFormat.of(schedulerState.dirtyRecords().size(), "uncommitted record"));
    }
    if (c.pulling > 0) {
      return new PendingReason(
          PendingCause.IMAGE,
          c.oldestMs,
          -1,
          -1,
          CountFormat.of(c.pulling, "task") + " without an image");
    }
    return new PendingReason(
        PendingCause.AWAITS_WORKER,
        c.oldestMs,
        -1,
        -1,
        c.ready + (c.ready == 1 ? " launch" : " launches"));
  }

  private String failureDetector(Counts c) {
    Machine m = c.silentOn;
    return CountFormat.of(c.silent, "task")
        + " on silent machines, one on "
        + m.name
        + " in zone "
        + zones.name(m.zone)
        + (schedulerState.health().failureDetector().isPartitioned(m.zone)
            ? ", which is cut off"
            : "")
        + (c.goneMs > 0 ? "" : "; proven gone only by the machine's deletion or report");
  }

  private PendingReason pending(Job job) {
    JobSpec s = job.spec;
    if (!supply.firm()) {
      return new PendingReason(
          PendingCause.STATE_AWAY,
          supply.renewedMs(),
          -1,
          -1,
          "the lease is not renewed: nothing is placed");
    }
    if (job.isBackingOff(now)) {
      return new PendingReason(
          PendingCause.HELD_BACK,
          job.waitingSinceMs(),
          job.retryNotBeforeMs(),
          -1,
          CountFormat.of(job.consecutiveFailures(), "failure") + " in a row");
    }
    Team team = schedulerState.team(s);
    if (placement.exceedsTeamLimit(job)) {
      return new PendingReason(
          PendingCause.TEAM_LIMIT, job.waitingSinceMs(), -1, -1, limit(team, s));
    }
    if (s.isUnsatisfiable(zones.size())) {
      return plain(
          job,
          PendingCause.ZONE_RULES,
          "never: all "
              + s.tasks()
              + " tasks of the gang have to be in one zone, and scatter lets "
              + s.maxTasksPerZone()
              + " be there");
    }
    Tally t = ask(job);
    if (t.allowed == 0) {
      return unsupplied(
          job, PendingCause.NO_MACHINES, "none of the types, zones and kinds it allows");
    }
    if (t.free) {
      return s.gang() ? gang(job) : aboutToStart(job);
    }
    return switch (t.most()) {
      case RESOURCES ->
          unsupplied(
              job,
              PendingCause.NO_ROOM,
              CountFormat.of(t.of(StartRefusal.RESOURCES), "machine") + " full");
      case ZONE_RULES -> zoneRules(job);
      case HEARTBEAT_OVERDUE -> silent(job, t);
      case SUSPECTED_SLOW_OR_FAULTY ->
          plain(
              job,
              PendingCause.SLOW_MACHINES,
              CountFormat.of(t.of(StartRefusal.SUSPECTED_SLOW_OR_FAULTY), "machine"));
      case FAILED_ON_MACHINE ->
          plain(
              job,
              PendingCause.FAILED_THERE,
              CountFormat.of(t.of(StartRefusal.FAILED_ON_MACHINE), "machine"));
      case IMAGE_FETCH_LIMIT ->
          plain(
              job,
              PendingCause.STAGED,
              CountFormat.of(schedulerState.imageDistribution().fromSource(), "machine")
                  + " fetch from the source now, "
                  + schedulerState.imageDistribution().holders(job.spec.image())
                  + " hold the image");
      case RESERVED_FOR_GANG ->
          plain(
              job,
              PendingCause.HELD,
              CountFormat.of(t.of(StartRefusal.RESERVED_FOR_GANG), "machine"));
      case OUTBOUND_UNREACHABLE ->
          plain(
              job,
              PendingCause.MACHINES_DEAF,
              CountFormat.of(t.of(StartRefusal.OUTBOUND_UNREACHABLE), "machine"));
      case QUOTA ->
          new PendingReason(PendingCause.TEAM_LIMIT, job.waitingSinceMs(), -1, -1, limit(team, s));
      default -> plain(job, PendingCause.LEAVING, CountFormat.of(t.allowed, "machine"));
    };
  }

  private PendingReason plain(Job job, PendingCause reason, String detail) {
    return new PendingReason(reason, job.waitingSinceMs(), -1, -1, detail);
  }

  private PendingReason aboutToStart(Job job) {
    return plain(job, PendingCause.STARTING, "there is room");
  }

  private PendingReason gang(Job job) {
    int places = placement.findGangPlacement(job, now).size();
    asked += schedulerState.machines().size();
    if (places >= job.waitingCount()) {
      return aboutToStart(job);
    }
    String detail = "places for " + places + " of " + job.waitingCount() + " tasks";
    GangReservations.State s = schedulerState.gangReservations().state(job, now);
    if (s == null) {
      return unsupplied(job, PendingCause.GANG, detail + "; waits for its turn to gather");
    }
    String where = s.zone() < 0 ? "any zone" : "zone " + zones.name(s.zone());
    if (s.givenUp()) {
      return new PendingReason(
          PendingCause.GANG,
          job.waitingSinceMs(),
          s.untilMs(),
          s.zone(),
          detail + "; " + where + " could not hold all of it and is left alone until then");
    }
    return new PendingReason(
        PendingCause.GANG,
        job.waitingSinceMs(),
        s.untilMs(),
        s.zone(),
        detail
            + "; gathers in "
            + where
            + ": "
            + s.places()
            + " of "
            + s.need()
            + " held or soon free, "
            + CountFormat.of(s.rented(), "machine")
            + " rented for it");
  }

  private String limit(Team team, JobSpec s) {
    boolean cards = s.cards() > 0 && team.usedCards() + s.cards() > team.cardsMax();
    return cards
        ? amount(team.usedCards())
            + " of "
            + amount(team.cardsMax())
            + " cards used by "
            + team.name
        : amount(team.usedCpus()) + " of " + amount(team.cpusMax()) + " CPUs used by " + team.name;
  }

  private PendingReason zoneRules(Job job) {
    StringBuilder b = new StringBuilder("its other tasks are in");
    for (int z = 0; z < zones.size(); z++) {
      if (job.hasLiveAttemptIn(z)) {
        b.append(' ').append(zones.name(z));
      }
    }
    return plain(
        job,
        PendingCause.ZONE_RULES,
        b.append(job.spec.together() ? " (together)" : " (scatter)").toString());
  }

  private PendingReason silent(Job job, Tally t) {
    int zone = t.silentZone();
    if (schedulerState.health().failureDetector().isPartitioned(zone)) {
      return new PendingReason(
          PendingCause.ZONE_CUT,
          now - schedulerState.health().failureDetector().partitionedForMs(zone, now),
          -1,
          zone,
          CountFormat.of(t.silentIn[zone], "silent machine") + " in zone " + zones.name(zone));
    }
    return new PendingReason(
        PendingCause.MACHINES_SILENT,
        job.waitingSinceMs(),
        -1,
        zone,
        CountFormat.of(t.of(StartRefusal.HEARTBEAT_OVERDUE), "silent machine")
            + ", most in zone "
            + zones.name(zone));
  }

  /**
   * What stands in the way of more room: boots, the cloud, better ranks; else {@code otherwise}.
   */
  private PendingReason unsupplied(Job job, PendingCause otherwise, String detail) {
    Group booting = null;
    int coming = 0;
    for (Group g : groups) {
      if (g.coming > 0 && g.allows(job.spec)) {
        coming += g.coming;
        if (booting == null || g.dueMs < booting.dueMs) {
          booting = g;
        }
      }
    }
    if (booting != null) {
      return new PendingReason(
          otherwise == PendingCause.GANG ? PendingCause.GANG : PendingCause.BOOTING,
          booting.rentedMs,
          booting.dueMs,
          -1,
          detail
              + "; "
              + CountFormat.of(coming, "machine")
              + " booting, the first a "
              + name(booting.variant));
    }
    long refused = Long.MAX_VALUE;
    MachineVariant refusedOne = null;
    boolean all = true;
    for (MachineVariant v : offered) {
      if (!job.spec.allows(v.type().index(), v.zone(), v.spot()) || !v.type().fits(job.spec)) {
        continue;
      }
      long since = supply.refusedSinceMs(v);
      all &= since >= 0;
      if (since >= 0 && since < refused) {
        refused = since;
        refusedOne = v;
      }
    }
    if (all && refusedOne != null) {
      return new PendingReason(
          otherwise == PendingCause.GANG ? PendingCause.GANG : PendingCause.CLOUD_REFUSES,
          refused,
          -1,
          -1,
          detail + "; the cloud refuses all it may run on, " + name(refusedOne) + " for longest");
    }
    return otherwise == PendingCause.NO_ROOM ? behind(job, detail) : plain(job, otherwise, detail);
  }

  /** Whose work of a better rank holds the machines or waits for them. */
  private PendingReason behind(Job job, String detail) {
    double[] cpus = new double[schedulerState.teams().size()];
    int rank = job.spec.priority();
    for (Group g : groups) {
      if (g.allows(job.spec)) {
        for (int t = 0; t < cpus.length; t++) {
          for (int p = 0; p < rank; p++) {
            cpus[t] += g.held[t][p];
          }
        }
      }
    }
    for (int t = 0; t < cpus.length; t++) {
      for (int p = 0; p < rank; p++) {
        cpus[t] += ahead[t][p][0] + ahead[t][p][1];
      }
      if (!job.isGuaranteed()) {
        cpus[t] += ahead[t][rank][1];
      }
    }
    int most = 0;
    for (int t = 1; t < cpus.length; t++) {
      if (cpus[t] > cpus[most]) {
        most = t;
      }
    }
    if (cpus.length == 0 || cpus[most] <= 0) {
      return plain(job, PendingCause.NO_ROOM, detail);
    }
    return plain(
        job,
        PendingCause.BEHIND,
        detail
            + "; work of "
            + schedulerState.teams().get(most).name
            + " that goes first runs on or waits for "
            + amount(cpus[most])
            + " CPUs");
  }

  /** How the decision answered for the machines that a job allows. */
  private static final class Tally {
    private static final List<StartRefusal> ALONE =
        List.of(
            StartRefusal.ZONE_RULES,
            StartRefusal.FAILED_ON_MACHINE,
            StartRefusal.SUSPECTED_SLOW_OR_FAULTY,
            StartRefusal.IMAGE_FETCH_LIMIT,
            StartRefusal.QUOTA);

    private final int[] of = new int[StartRefusal.values().length];
    private final int[] silentIn;
    private int allowed;
    private boolean free;

    Tally(int zones) {
      silentIn = new int[zones];
    }

    int of(StartRefusal r) {
      return of[r.ordinal()];
    }

    /** What stands in the way: where a single rule is all that does, it counts before numbers. */
    StartRefusal most() {
      for (StartRefusal r : ALONE) {
        if (of(r) > 0) {
          return r;
        }
      }
      StartRefusal best = StartRefusal.RESOURCES;
      for (StartRefusal r : StartRefusal.values()) {
        if (of(r) > of(best)) {
          best = r;
        }
      }
      return best;
    }

    int silentZone() {
      int best = 0;
      for (int z = 1; z < silentIn.length; z++) {
        if (silentIn[z] > silentIn[best]) {
          best = z;
        }
      }
      return best;
    }
  }

  /** What the decision goes by in a job that has no tasks whose places or failures count. */
  private record Shape(
      int team,
      boolean careful,
      int image,
      double cpus,
      double cards,
      double memGb,
      BitSet types,
      int zone,
      boolean spot) {}

  /**
   * One answer for all jobs that the decision cannot tell apart: most of them are of few classes.
   */
  private Tally ask(Job job) {
    JobSpec s = job.spec;
    if (s.together() || s.scatter() || job.hasFailedMachines()) {
      return askEach(job);
    }
    Shape shape =
        new Shape(
            s.team(),
            s.gang() || TaskScheduler.isUrgent(s),
            schedulerState.imageDistribution().limited() ? s.image() : -1,
            s.cpus(),
            s.cards(),
            s.memGb(),
            s.types(),
            s.zone(),
            s.spot());
    Tally t = tallies.get(shape);
    if (t == null) {
      t = askEach(job);
      tallies.put(shape, t);
    }
    return t;
  }

  private Tally askEach(Job job) {
    Tally t = new Tally(zones.size());
    for (Group g : groups) {
      if (!g.allows(job.spec)) {
        continue;
      }
      for (Machine m : g.machines) {
        if (schedulerState.machine(m.name) != m) {
          continue; // Gone since the survey.
        }
        asked++;
        t.allowed++;
        StartRefusal no = placement.refusal(job, m, now);
        if (no == null) {
          t.free = true;
          return t;
        }
        t.of[no.ordinal()]++;
        if (no == StartRefusal.HEARTBEAT_OVERDUE) {
          t.silentIn[m.zone]++;
        }
      }
    }
    return t;
  }

  private String name(MachineVariant v) {
    return v.type().name() + (v.spot() ? " (spot)" : "") + " in zone " + zones.name(v.zone());
  }

  private static String amount(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : String.format(Locale.ROOT, "%.1f", d);
  }

  /** The class of a job in words. */
  public String taskClass(Job job) {
    return classes.name(job.spec.taskClass());
  }
}
