package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.core.gang.MachinePool;
import org.mallowroad.core.health.Health;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.image.ImageDistribution;
import org.mallowroad.core.image.ImageFetchPolicy;

/**
 * Jobs, attempts and machines of one leader's term, and the sole answer to "may this task start?".
 *
 * <p>An attempt takes quota, zone and room from the moment it is made until it is proven gone: the
 * worker reports its exit, or a later session, or (having seen this term) a newer list without it;
 * the cloud answered the machine's deletion; the list says the machine failed; or the worker's
 * lease must have run out. Nothing else frees it, whatever seems likely.
 *
 * <p>What is said to one machine and by it is the matter of {@link HeartbeatReconciler}.
 */
public final class SchedulerState implements MachinePool {
  /** How an attempt ended. */
  public enum Outcome {
    /** Completed. */
    DONE,
    /** Stopped by command. */
    STOPPED,
    /** Failed by itself. */
    ERROR,
    /** The worker refused it for want of room. */
    NO_ROOM,
    /** The worker refused it for another reason. */
    REFUSED,
    /** Gone with its machine or its session, or never started. */
    LOST
  }

  /** Why a task may not start on a machine. */
  public enum Refusal {
    /** Its job is over. */
    OVER,
    /** It is done or has an unresolved attempt. */
    BUSY,
    /** The machine is being emptied or returned, or has failed. */
    LEAVING,
    /** The machine's report is overdue, or it has not reported to this leader. */
    SILENT,
    /** The machine refused a task a moment ago. */
    COOLING,
    /** The machine is held for a gang that gathers. */
    HELD,
    /** The machine reports, and nothing that is said to it arrives. */
    DEAF,
    /** It would have to fetch the image, and as many fetch as the operators allow. */
    FETCHES,
    /** The machine is slow or faulty, and the job urgent or a gang. */
    DOUBTED,
    /** A task of the job failed on the machine. */
    FAILED_HERE,
    /** The job does not allow the type, zone or kind. */
    PLACE,
    /** Not enough free room. */
    ROOM,
    /** The team's limit. */
    QUOTA,
    /** The zone rules of the job with its other tasks. */
    ZONE
  }

  /**
   * Deleted machines that are remembered: reports and lists that still have them come minutes late
   * at the most. One that came later yet would be met as an unexpected machine and returned.
   */
  static final int MOST_GONE = 10_000;

  private final long term;
  private final long leaseMs;
  private final long freshMs;
  private final List<Team> teams;
  private final NameIndex zones;
  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Machine> machines =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<String> gone = new ObjectLinkedOpenHashSet<>();
  private final ObjectLinkedOpenHashSet<AttemptRecord> dirty = new ObjectLinkedOpenHashSet<>();

  /** The dirty records for which starts wait, in the order in which they were placed. */
  private final ObjectLinkedOpenHashSet<AttemptRecord> urgent = new ObjectLinkedOpenHashSet<>();

  /** Machines for which a launch or a stop may be due that no message has carried yet. */
  private final ObjectLinkedOpenHashSet<Machine> outbox = new ObjectLinkedOpenHashSet<>();

  /** Changes with every machine that comes or goes. */
  private long machinesVersion;

  private final ObjectLinkedOpenHashSet<Job> ending = new ObjectLinkedOpenHashSet<>();

  private long started;
  private long completed;
  private long requeued;
  private final CostAccounting spending = new CostAccounting();
  private final Health health;
  private final GangReservations gangReservations = new GangReservations(this);
  private final HeartbeatReconciler heartbeatReconciler;
  private final ImageDistribution imageDistribution;
  private final SharedAttemptRecords sharedAttemptRecords;

  /** An empty ledger for a term that suspects by the default thresholds. */
  public SchedulerState(
      long term, double leaseS, double heartbeatIntervalS, List<Team> teams, NameIndex zones) {
    this(
        term,
        leaseS,
        heartbeatIntervalS,
        teams,
        zones,
        new Health(HealthPolicy.defaults(), zones.size(), heartbeatIntervalS, 0));
  }

  /** An empty ledger for a term without limits on fetches. */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      Health health) {
    this(term, leaseS, heartbeatIntervalS, teams, zones, health, ImageFetchPolicy.defaults());
  }

  /** An empty ledger for a term; machines whose report is overdue get no work. */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      Health health,
      ImageFetchPolicy fetches) {
    this.imageDistribution = new ImageDistribution(fetches, zones.size());
    this.sharedAttemptRecords = new SharedAttemptRecords(term);
    this.health = health;
    this.freshMs = (long) (heartbeatIntervalS * 1250) + 1_500;
    this.term = term;
    // Clocks of two machines drift apart by up to 0.05%; half a second covers timers that fire
    // late.
    this.leaseMs = (long) (leaseS * 1000 * 1.001) + 500;
    this.heartbeatReconciler = new HeartbeatReconciler(this, jobs, health, term, freshMs, leaseMs);
    this.teams = teams;
    this.zones = zones;
  }

  /** Open jobs and those whose tasks are not all proven gone. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** A job by id, or null. */
  public Job job(String id) {
    return jobs.get(id);
  }

  /** All machines not proven gone. */
  @Override
  public Collection<Machine> machines() {
    return machines.values();
  }

  /** A machine by name, or null. */
  @Override
  public Machine machine(String name) {
    return machines.get(name);
  }

  /** True when the machine was deleted in this term. */
  public boolean isGone(String machine) {
    return gone.contains(machine);
  }

  /** How many entries each table holds: what an operator looks at when memory grows. */
  public Map<String, Integer> tables() {
    Map<String, Integer> sizes = new LinkedHashMap<>();
    sizes.put("jobs", jobs.size());
    sizes.put("machines", machines.size());
    sizes.put("gone", gone.size());
    sizes.put("dirty", dirty.size());
    sizes.put("urgent", urgent.size());
    sizes.put("outbox", outbox.size());
    sizes.put("shared", sharedAttemptRecords.all().size());
    sizes.put("ending", ending.size());
    sizes.put("watched", health.failureDetector().known());
    sizes.put("classes", health.stragglerDetector().classes());
    return sizes;
  }

  /** Marks the names that jobs and machines have. */
  public void names(BitSet images, BitSet classes, BitSet types) {
    for (Job j : jobs.values()) {
      images.set(j.spec.image());
      classes.set(j.spec.taskClass());
      if (j.spec.types() != null) {
        types.or(j.spec.types());
      }
    }
    for (Machine m : machines.values()) {
      types.set(m.type.index());
      m.images.keySet().forEach(images::set);
    }
    imageDistribution.names(images);
  }

  /** The team of a job. */
  public Team team(JobSpec spec) {
    return teams.get(spec.team());
  }

  /** All teams. */
  public List<Team> teams() {
    return teams;
  }

  /** Records that changed since they were committed. */
  public Collection<AttemptRecord> dirty() {
    return dirty;
  }

  /** The dirty records for which starts wait. */
  public Collection<AttemptRecord> urgent() {
    return urgent;
  }

  /**
   * Machines that may have orders to be sent straight away. The caller removes those it has dealt
   * with: a message a worker must not cost a walk over the fleet.
   */
  public Collection<Machine> outbox() {
    return outbox;
  }

  /** Changes with every machine that comes or goes. */
  public long machinesVersion() {
    return machinesVersion;
  }

  /** Jobs whose tasks are all done and whose end is to be committed. */
  public Collection<Job> ending() {
    return ending;
  }

  /** Tasks looked at so far to make queues anew: what a takeover costs. */
  long requeued() {
    return requeued;
  }

  /** What is suspected in this term. */
  @Override
  public Health health() {
    return health;
  }

  /** Which small jobs share records. */
  public SharedAttemptRecords sharedAttemptRecords() {
    return sharedAttemptRecords;
  }

  /** Which room is held for gangs. */
  public GangReservations gangReservations() {
    return gangReservations;
  }

  /** Who fetches which image, and from whom. */
  public ImageDistribution imageDistribution() {
    return imageDistribution;
  }

  /** True when a machine may be asked to hand an image on. */
  public boolean mayGive(Machine m, long now) {
    return unfit(m, now) == null && !m.health.doubted() && m.noticeMs == 0;
  }

  /** How many zones there are. */
  @Override
  public int zones() {
    return zones.size();
  }

  /** Where the money of this term went. */
  public CostAccounting spending() {
    return spending;
  }

  /** Number of attempts made in this term. */
  public long started() {
    return started;
  }

  /** Number of attempts that completed in this term. */
  public long completed() {
    return completed;
  }

  /**
   * Takes an open job that is recorded in the state service.
   *
   * @param ageMs how long ago it was submitted
   */
  public Job accept(JobSpec spec, long version, long ageMs, long now) {
    Job known = jobs.get(spec.id());
    if (known != null) {
      return known;
    }
    Job job = new Job(spec, version, zones.size(), now - Math.max(0, ageMs), now);
    for (int t = 0; t < spec.tasks(); t++) {
      job.pending.enqueue(t);
    }
    job.held = spec.dependencies().held();
    jobs.put(spec.id(), job);
    return job;
  }

  /** Takes what the record of a chunk says, on takeover. */
  public void restore(AttemptRecord attemptRecord, long version, BitSet doneInChunk, int high) {
    Job job = attemptRecord.job;
    attemptRecord.version = version;
    for (int t = attemptRecord.from(); t < attemptRecord.to(); t++) {
      job.number[t] = high;
      if (doneInChunk.get(t - attemptRecord.from())) {
        job.done.set(t);
      }
    }
  }

  /** Takes a recorded attempt, on takeover: it counts until it is proven gone. */
  public void restoreAttempt(
      Job job, int task, int number, Machine machine, long incarnation, long now) {
    if (task < 0 || task >= job.spec.tasks() || job.live[task] != null || job.done.get(task)) {
      return;
    }
    Attempt a = new Attempt(job, task, number, machine, incarnation, Attempt.Phase.READY, now);
    a.restored = true;
    job.number[task] = Math.max(job.number[task], number);
    book(a);
    // A report of an earlier session must not look like news.
    if (incarnation > machine.incarnation) {
      machine.incarnation = incarnation;
      machine.sequence = 0;
    }
    if (job.cancelled) {
      stop(a, 0, now);
    }
  }

  /**
   * Call once all chunks of a restored job were taken: its queue is made anew here, once a job and
   * not once an attempt, since a takeover runs cold code on a fraction of a core.
   */
  public void restored(Job job, long now) {
    rebuildPending(job);
    if (!job.cancelled && job.allDone()) {
      job.allDoneMs = now;
      ending.add(job);
    }
  }

  private void rebuildPending(Job job) {
    job.pending.clear();
    if (job.cancelled || job.ended) {
      return;
    }
    requeued += job.spec.tasks();
    for (int t = 0; t < job.spec.tasks(); t++) {
      if (!job.done.get(t) && job.live[t] == null) {
        job.pending.enqueue(t);
      }
    }
  }

  /** The user cancelled the job: nothing of it starts any more, and what runs is stopped. */
  public void cancel(Job job, long now) {
    if (job.cancelled || job.ended) {
      return;
    }
    job.cancelled = true;
    over(job, now);
  }

  /** Nothing of a job that is over starts any more, and what there is of it ends. */
  private void over(Job job, long now) {
    job.pending.clear();
    ending.remove(job);
    for (Attempt a : job.live) {
      if (a == null) {
        continue;
      }
      if (a.phase == Attempt.Phase.RECORDING) {
        resolve(a, Outcome.LOST, now); // Its launch was never sent, and never will be.
      } else {
        stop(a, 0, now);
      }
    }
  }

  /** A release of the job is on record: its tasks may start under it. */
  public void open(Job job, long now) {
    if (job.held) {
      job.held = false;
      job.openedMs = now;
      job.waitingSinceMs = now;
    }
  }

  /**
   * The release on record does not hold any more. What was to be recorded under it is not: its
   * launches were never sent, and never will be.
   */
  public void close(Job job, long now) {
    for (Attempt a : job.live) {
      if (a != null && a.phase == Attempt.Phase.RECORDING) {
        resolve(a, Outcome.LOST, now);
      }
    }
    job.held = true;
  }

  /**
   * The job's end is committed, or was found. A leader that took a list of open jobs which was
   * older than that end may have placed tasks of it again (docs/incidents, done-job-placed-again).
   */
  public void ended(Job job, long now) {
    job.ended = true;
    over(job, now);
  }

  /** Drops a job of which nothing is left, once its records are deleted. */
  public void forget(Job job) {
    jobs.remove(job.spec.id());
    ending.remove(job);
    for (AttemptRecord c : job.attemptRecords) {
      dirty.remove(c);
      urgent.remove(c);
      sharedAttemptRecords.forget(c);
    }
  }

  /** The machine, made known if it is new; null when it is proven gone. */
  public Machine meet(String name, MachineType type, int zone, boolean spot, long now) {
    if (gone.contains(name)) {
      return null;
    }
    Machine m = machines.get(name);
    if (m == null) {
      m = new Machine(name, type, zone, spot, term, now);
      machines.put(name, m);
      health.met(m.health, now);
      machinesVersion++;
    }
    return m;
  }

  /** True when a pass of placement may give the machine work, or has just done so. */
  public boolean mayGetWork(Machine m, long now) {
    return takesWork(m, now) && m.free.cpus > ResourceVector.EPS;
  }

  /** True when new work may go to the machine at all. */
  @Override
  public boolean takesWork(Machine m, long now) {
    return unfit(m, now) == null;
  }

  /** Why no new work goes to the machine at all; null when it may. */
  public Refusal unfit(Machine m, long now) {
    if (m.draining || m.returning || m.failed) {
      return Refusal.LEAVING;
    }
    if (m.lastHeartbeatMs < 0 || now - m.lastHeartbeatMs > freshMs) {
      return Refusal.SILENT;
    }
    if (m.health.outboundReachability().deaf()) {
      return Refusal.DEAF;
    }
    return m.coolUntilMs > now ? Refusal.COOLING : null;
  }

  /** The one place that decides whether a task may start on a machine: null when it may. */
  public Refusal mayStart(Job job, int task, Machine m, long now) {
    JobSpec s = job.spec;
    if (job.cancelled || job.ended || job.held) {
      return Refusal.OVER;
    }
    if (job.done.get(task) || job.live[task] != null) {
      return Refusal.BUSY;
    }
    Refusal unfit = unfit(m, now);
    if (unfit != null) {
      return unfit;
    }
    if (m.heldFor != null && m.heldFor != job) {
      return Refusal.HELD;
    }
    if (!s.allows(m.type.index(), m.zone, m.spot)) {
      return Refusal.PLACE;
    }
    if (!m.free.fits(s)) {
      return Refusal.ROOM;
    }
    if (!team(s).allows(s, 1)) {
      return Refusal.QUOTA;
    }
    if (s.together() && job.liveCount > job.zoneLive[m.zone]) {
      return Refusal.ZONE;
    }
    if (s.scatter() && job.zoneLive[m.zone] >= s.zoneCap()) {
      return Refusal.ZONE;
    }
    return null;
  }

  /** Makes an attempt; it must be committed before its launch is sent. */
  public Attempt start(Job job, int task, Machine m, long now) {
    Refusal no = mayStart(job, task, m, now);
    if (no != null) {
      throw new IllegalStateException("start refused: " + no);
    }
    Attempt a =
        new Attempt(
            job, task, job.number[task] + 1, m, m.incarnation, Attempt.Phase.RECORDING, now);
    job.number[task] = a.number;
    job.lastStartMs = now;
    started++;
    book(a);
    imageDistribution.began(a, m.hasImage(job.spec.image()), x -> mayGive(x, now), now);
    if (job.begunMs < 0 && job.liveCount + job.doneCount() >= team(job.spec).atOnce(job.spec)) {
      job.begunMs = now;
    }
    AttemptRecord c = touch(job, task, now);
    c.recording++;
    urgent.add(c);
    return a;
  }

  private void book(Attempt a) {
    a.job.live[a.task] = a;
    a.job.liveCount++;
    a.job.zoneLive[a.machine.zone]++;
    a.machine.add(a);
    team(a.job.spec).add(a.job.spec, 1);
  }

  private AttemptRecord touch(Job job, int task, long now) {
    AttemptRecord c = job.attemptRecords[task / AttemptRecord.TASKS];
    if (!c.dirty) {
      c.dirty = true;
      c.dirtySinceMs = now;
    }
    c.changes++;
    dirty.add(c);
    return c;
  }

  /** The chunk's record is to be written or deleted once more. */
  public void redo(AttemptRecord c, long now) {
    touch(c.job, c.from(), now);
  }

  private void recorded(Attempt a) {
    AttemptRecord c = a.job.attemptRecords[a.task / AttemptRecord.TASKS];
    if (--c.recording == 0) {
      urgent.remove(c);
    }
  }

  /** A commit of the chunk as it was at {@code changes} succeeded. */
  public void committed(
      AttemptRecord c, long version, long changes, List<Attempt> recorded, long now) {
    c.version = version;
    c.dirtySinceMs = now;
    if (c.changes == changes) {
      c.dirty = false;
      dirty.remove(c);
    } else {
      dirty.addAndMoveToLast(c); // The others have waited longer.
    }
    for (Attempt a : recorded) {
      if (a.phase == Attempt.Phase.RECORDING) {
        a.phase = Attempt.Phase.READY;
        recorded(a);
        outbox.add(a.machine);
      }
    }
  }

  /** Frees what an attempt takes, now that it is proven gone. */
  public void resolve(Attempt a, Outcome outcome, long now) {
    if (a.phase == Attempt.Phase.GONE) {
      return;
    }
    Job job = a.job;
    if (a.phase == Attempt.Phase.RUNNING || a.phase == Attempt.Phase.FLUSHING) {
      job.runningCount--;
    } else if (a.phase == Attempt.Phase.RECORDING) {
      recorded(a);
    }
    if (a.stopping()) {
      team(job.spec).stoppingCpus -= job.spec.cpus();
    }
    a.phase = Attempt.Phase.GONE;
    imageDistribution.gone(a);
    spending.resolved(a, outcome == Outcome.DONE, now);
    job.live[a.task] = null;
    job.liveCount--;
    job.zoneLive[a.machine.zone]--;
    a.machine.remove(a, now);
    team(job.spec).add(job.spec, -1);
    touch(job, a.task, now);
    if (outcome == Outcome.DONE && !job.spec.service()) {
      completed++;
      // What an earlier leader began was seen to run for a part of its time only; and a task that
      // had completed before ends at once when it is started again.
      if (a.runningSinceMs > 0 && !a.restored && a.number == 1) {
        health.finished(
            a.machine.health,
            job.peers,
            job.spec.taskClass(),
            now - a.runningSinceMs,
            job.spec.estimateS(),
            now);
      }
      job.done.set(a.task);
      job.failures = 0;
      if (!job.cancelled && job.allDone()) {
        job.allDoneMs = now;
        ending.add(job);
      }
      return;
    }
    switch (outcome) {
      case ERROR -> {
        job.failures++;
        // Where it fails on three it is at fault itself: more of them are not asked for.
        if (job.failedOn.size() < 3) {
          job.failedOn.add(a.machine.name);
        }
        health.failed(a.machine.health, job.spec.id().hashCode(), job.failedOn.size() >= 3, now);
        holdBack(job, now);
      }
      case REFUSED, DONE -> {
        job.failures++;
        holdBack(job, now);
      }
      case NO_ROOM -> a.machine.coolUntilMs = now + 3000;
      default -> {}
    }
    if (!job.cancelled && !job.ended) {
      if (job.pending.isEmpty()) {
        job.waitingSinceMs = now;
      }
      job.pending.enqueueFirst(a.task);
    }
  }

  /** A job that keeps failing is tried again ever more seldom, never in a tight loop. */
  private static void holdBack(Job job, long now) {
    long wait = Math.min(60_000L, 250L << Math.min(8, job.failures));
    job.notBeforeMs = Math.max(job.notBeforeMs, now + wait);
  }

  /**
   * Takes a worker's report and answers with the orders for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> report(Machine m, Heartbeat r, boolean mayLaunch, long now) {
    return heartbeatReconciler.report(m, r, mayLaunch, now);
  }

  /** What is said to machines, and heard from them. */
  public HeartbeatReconciler heartbeatReconciler() {
    return heartbeatReconciler;
  }

  /** The machine and all on it are proven gone. */
  public void machineGone(Machine m, long now) {
    for (Attempt a : new ArrayList<>(m.attempts)) {
      resolve(a, Outcome.LOST, now);
    }
    machines.remove(m.name);
    gangReservations.gone(m);
    imageDistribution.lost(m);
    health.gone(m.health);
    spending.gone(m, now);
    machinesVersion++;
    outbox.remove(m);
    gone.add(m.name);
    if (gone.size() > MOST_GONE) {
      gone.removeFirst();
    }
  }

  /** The list says the machine failed: its tasks are gone, the name stays until it is deleted. */
  public void machineFailed(Machine m, long now) {
    m.failed = true;
    for (Attempt a : new ArrayList<>(m.attempts)) {
      resolve(a, Outcome.LOST, now);
    }
  }

  /**
   * Frees the attempts of workers whose leases must have run out: the worker had seen this term, so
   * only this leader's answers renewed its lease, and the last one is long enough ago.
   */
  public void expireSilent(long now) {
    for (Machine m : machines.values()) {
      if (!m.attempts.isEmpty() && leaseEndsMs(m) >= 0 && now > leaseEndsMs(m)) {
        for (Attempt a : new ArrayList<>(m.attempts)) {
          if (a.phase != Attempt.Phase.RECORDING) {
            resolve(a, Outcome.LOST, now);
          }
        }
      }
    }
  }

  /**
   * When the lease of the machine's worker must have run out if no answer reaches it any more,
   * which proves its attempts gone; -1 while no lease can prove that.
   */
  public long leaseEndsMs(Machine m) {
    return m.highestTokenSeen >= term && m.lastAnswerMs >= 0 ? m.lastAnswerMs + leaseMs : -1;
  }

  /** Asks for a stop of an attempt so that its machine can drain or another job gets room. */
  @Override
  public void stop(Attempt a, double graceS, long now) {
    if (!a.stopping()) {
      team(a.job.spec).stoppingCpus += a.job.spec.cpus();
    }
    a.stop(graceS, now);
    outbox.add(a.machine);
  }
}
