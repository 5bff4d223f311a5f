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
import org.mallowroad.core.health.FleetHealth;
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
  /**
   * Deleted machines that are remembered: reports and lists that still have them come minutes late
   * at the most. One that came later yet would be met as an unexpected machine and returned.
   */
  static final int MAX_DELETED_NAMES = 10_000;

  private final long term;
  private final long leaseMs;
  private final long heartbeatOverdueMs;
  private final List<Team> teams;
  private final NameIndex zones;
  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Machine> machines =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<String> deletedNames = new ObjectLinkedOpenHashSet<>();
  private final ObjectLinkedOpenHashSet<AttemptRecord> dirtyRecords =
      new ObjectLinkedOpenHashSet<>();

  /** The dirty records for which starts wait, in the order in which they were placed. */
  private final ObjectLinkedOpenHashSet<AttemptRecord> urgentRecords =
      new ObjectLinkedOpenHashSet<>();

  /** Machines for which a launch or a stop may be due that no message has carried yet. */
  private final ObjectLinkedOpenHashSet<Machine> machinesWithUnsentCommands =
      new ObjectLinkedOpenHashSet<>();

  /** Changes with every machine that comes or goes. */
  private long machinesVersion;

  private final ObjectLinkedOpenHashSet<Job> jobsToComplete = new ObjectLinkedOpenHashSet<>();

  private long attemptsStarted;
  private long attemptsCompleted;
  private long rebuiltQueueTasks;
  private final CostAccounting costAccounting = new CostAccounting();
  private final FleetHealth health;
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
        new FleetHealth(HealthPolicy.defaults(), zones.size(), heartbeatIntervalS, 0));
  }

  /** An empty ledger for a term without limits on fetches. */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      FleetHealth health) {
    this(term, leaseS, heartbeatIntervalS, teams, zones, health, ImageFetchPolicy.defaults());
  }

  /** An empty ledger for a term; machines whose report is overdue get no work. */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      FleetHealth health,
      ImageFetchPolicy fetches) {
    this.imageDistribution = new ImageDistribution(fetches, zones.size());
    this.sharedAttemptRecords = new SharedAttemptRecords(term);
    this.health = health;
    this.heartbeatOverdueMs = (long) (heartbeatIntervalS * 1250) + 1_500;
    this.term = term;
    // Clocks of two machines drift apart by up to 0.05%; half a second covers timers that fire
    // late.
    this.leaseMs = (long) (leaseS * 1000 * 1.001) + 500;
    this.heartbeatReconciler =
        new HeartbeatReconciler(this, jobs, health, term, heartbeatOverdueMs, leaseMs);
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
  public boolean isDeleted(String machine) {
    return deletedNames.contains(machine);
  }

  /** How many entries each table holds: what an operator looks at when memory grows. */
  public Map<String, Integer> tableSizes() {
    Map<String, Integer> sizes = new LinkedHashMap<>();
    sizes.put("jobs", jobs.size());
    sizes.put("machines", machines.size());
    sizes.put("gone", deletedNames.size());
    sizes.put("dirty", dirtyRecords.size());
    sizes.put("urgent", urgentRecords.size());
    sizes.put("outbox", machinesWithUnsentCommands.size());
    sizes.put("shared", sharedAttemptRecords.records().size());
    sizes.put("ending", jobsToComplete.size());
    sizes.put("watched", health.failureDetector().knownMachines());
    sizes.put("classes", health.stragglerDetector().taskClassCount());
    return sizes;
  }

  /** Marks the names that jobs and machines have. */
  public void markUsedNames(BitSet images, BitSet classes, BitSet types) {
    for (Job j : jobs.values()) {
      images.set(j.spec.image());
      classes.set(j.spec.taskClass());
      if (j.spec.types() != null) {
        types.or(j.spec.types());
      }
    }
    for (Machine m : machines.values()) {
      types.set(m.type.index());
      m.cachedImages.keySet().forEach(images::set);
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
  public Collection<AttemptRecord> dirtyRecords() {
    return dirtyRecords;
  }

  /** The dirty records for which starts wait. */
  public Collection<AttemptRecord> urgentRecords() {
    return urgentRecords;
  }

  /**
   * Machines that may have orders to be sent straight away. The caller removes those it has dealt
   * with: a message a worker must not cost a walk over the fleet.
   */
  public Collection<Machine> machinesWithUnsentCommands() {
    return machinesWithUnsentCommands;
  }

  /** Changes with every machine that comes or goes. */
  public long machinesVersion() {
    return machinesVersion;
  }

  /** Jobs whose tasks are all done and whose end is to be committed. */
  public Collection<Job> jobsToComplete() {
    return jobsToComplete;
  }

  /** Tasks looked at so far to make queues anew: what a takeover costs. */
  long rebuiltQueueTasks() {
    return rebuiltQueueTasks;
  }

  /** What is suspected in this term. */
  @Override
  public FleetHealth health() {
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
  public boolean canServeImages(Machine m, long now) {
    return machineRefusal(m, now) == null && !m.health.isSuspect() && m.interruptionMs == 0;
  }

  /** How many zones there are. */
  @Override
  public int zones() {
    return zones.size();
  }

  /** Where the money of this term went. */
  public CostAccounting costAccounting() {
    return costAccounting;
  }

  /** Number of attempts made in this term. */
  public long attemptsStarted() {
    return attemptsStarted;
  }

  /** Number of attempts that completed in this term. */
  public long attemptsCompleted() {
    return attemptsCompleted;
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
      job.pendingTasks.enqueue(t);
    }
    job.held = spec.dependencies().isGated();
    jobs.put(spec.id(), job);
    return job;
  }

  /** Takes what the record of a chunk says, on takeover. */
  public void restoreRecord(
      AttemptRecord attemptRecord, long version, BitSet doneInChunk, int high) {
    Job job = attemptRecord.job;
    attemptRecord.version = version;
    for (int t = attemptRecord.firstTask(); t < attemptRecord.endTask(); t++) {
      job.highestAttemptNumbers[t] = high;
      if (doneInChunk.get(t - attemptRecord.firstTask())) {
        job.doneTasks.set(t);
      }
    }
  }

  /** Takes a recorded attempt, on takeover: it counts until it is proven gone. */
  public void restoreAttempt(
      Job job, int task, int number, Machine machine, long incarnation, long now) {
    if (task < 0
        || task >= job.spec.tasks()
        || job.liveAttempts[task] != null
        || job.doneTasks.get(task)) {
      return;
    }
    Attempt a = new Attempt(job, task, number, machine, incarnation, Attempt.Phase.COMMITTED, now);
    a.restoredFromRecord = true;
    job.highestAttemptNumbers[task] = Math.max(job.highestAttemptNumbers[task], number);
    book(a);
    // A report of an earlier session must not look like news.
    if (incarnation > machine.incarnation) {
      machine.incarnation = incarnation;
      machine.sequence = 0;
    }
    if (job.cancelled) {
      requestStop(a, 0, now);
    }
  }

  /**
   * Call once all chunks of a restored job were taken: its queue is made anew here, once a job and
   * not once an attempt, since a takeover runs cold code on a fraction of a core.
   */
  public void finishRestore(Job job, long now) {
    rebuildPending(job);
    if (!job.cancelled && job.areAllTasksDone()) {
      job.allDoneMs = now;
      jobsToComplete.add(job);
    }
  }

  private void rebuildPending(Job job) {
    job.pendingTasks.clear();
    if (job.cancelled || job.ended) {
      return;
    }
    rebuiltQueueTasks += job.spec.tasks();
    for (int t = 0; t < job.spec.tasks(); t++) {
      if (!job.doneTasks.get(t) && job.liveAttempts[t] == null) {
        job.pendingTasks.enqueue(t);
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
    job.pendingTasks.clear();
    jobsToComplete.remove(job);
    for (Attempt a : job.liveAttempts) {
      if (a == null) {
        continue;
      }
      if (a.phase == Attempt.Phase.RECORDING) {
        resolve(a, AttemptOutcome.LOST, now); // Its launch was never sent, and never will be.
      } else {
        requestStop(a, 0, now);
      }
    }
  }

  /** A release of the job is on record: its tasks may start under it. */
  public void release(Job job, long now) {
    if (job.held) {
      job.held = false;
      job.releasedMs = now;
      job.waitingSinceMs = now;
    }
  }

  /**
   * The release on record does not hold any more. What was to be recorded under it is not: its
   * launches were never sent, and never will be.
   */
  public void hold(Job job, long now) {
    for (Attempt a : job.liveAttempts) {
      if (a != null && a.phase == Attempt.Phase.RECORDING) {
        resolve(a, AttemptOutcome.LOST, now);
      }
    }
    job.held = true;
  }

  /**
   * The job's end is committed, or was found. A leader that took a list of open jobs which was
   * older than that end may have placed tasks of it again (docs/incidents, done-job-placed-again).
   */
  public void markEnded(Job job, long now) {
    job.ended = true;
    over(job, now);
  }

  /** Drops a job of which nothing is left, once its records are deleted. */
  public void removeJob(Job job) {
    jobs.remove(job.spec.id());
    jobsToComplete.remove(job);
    for (AttemptRecord c : job.attemptRecords) {
      dirtyRecords.remove(c);
      urgentRecords.remove(c);
      sharedAttemptRecords.remove(c);
    }
  }

  /** The machine, made known if it is new; null when it is proven gone. */
  public Machine registerMachine(String name, MachineType type, int zone, boolean spot, long now) {
    if (deletedNames.contains(name)) {
      return null;
    }
    Machine m = machines.get(name);
    if (m == null) {
      m = new Machine(name, type, zone, spot, term, now);
      machines.put(name, m);
      health.register(m.health, now);
      machinesVersion++;
    }
    return m;
  }

  /** True when a pass of placement may give the machine work, or has just done so. */
  public boolean canReceiveTasks(Machine m, long now) {
    return acceptsNewTasks(m, now) && m.freeResources.cpus > ResourceVector.EPSILON;
  }

  /** True when new work may go to the machine at all. */
  @Override
  public boolean acceptsNewTasks(Machine m, long now) {
    return machineRefusal(m, now) == null;
  }

  /** Why no new work goes to the machine at all; null when it may. */
  public StartRefusal machineRefusal(Machine m, long now) {
    if (m.draining || m.deleting || m.failed) {
      return StartRefusal.DRAINING_OR_FAILED;
    }
    if (m.lastHeartbeatMs < 0 || now - m.lastHeartbeatMs > heartbeatOverdueMs) {
      return StartRefusal.HEARTBEAT_OVERDUE;
    }
    if (m.health.outboundReachability().isBroken()) {
      return StartRefusal.OUTBOUND_UNREACHABLE;
    }
    return m.backoffUntilMs > now ? StartRefusal.BACKING_OFF_AFTER_REFUSAL : null;
  }

  /** The one place that decides whether a task may start on a machine: null when it may. */
  public StartRefusal startRefusal(Job job, int task, Machine m, long now) {
    JobSpec s = job.spec;
    if (job.cancelled || job.ended || job.held) {
      return StartRefusal.JOB_NOT_ELIGIBLE;
    }
    if (job.doneTasks.get(task) || job.liveAttempts[task] != null) {
      return StartRefusal.TASK_NOT_PENDING;
    }
    StartRefusal unfit = machineRefusal(m, now);
    if (unfit != null) {
      return unfit;
    }
    if (m.reservedFor != null && m.reservedFor != job) {
      return StartRefusal.RESERVED_FOR_GANG;
    }
    if (!s.allows(m.type.index(), m.zone, m.spot)) {
      return StartRefusal.CONSTRAINTS;
    }
    if (!m.freeResources.fits(s)) {
      return StartRefusal.RESOURCES;
    }
    if (!team(s).allows(s, 1)) {
      return StartRefusal.QUOTA;
    }
    if (s.together() && job.liveAttemptCount > job.liveAttemptsByZone[m.zone]) {
      return StartRefusal.ZONE_RULES;
    }
    if (s.scatter() && job.liveAttemptsByZone[m.zone] >= s.maxTasksPerZone()) {
      return StartRefusal.ZONE_RULES;
    }
    return null;
  }

  /** Makes an attempt; it must be committed before its launch is sent. */
  public Attempt start(Job job, int task, Machine m, long now) {
    StartRefusal no = startRefusal(job, task, m, now);
    if (no != null) {
      throw new IllegalStateException("start refused: " + no);
    }
    Attempt a =
        new Attempt(
            job,
            task,
            job.highestAttemptNumbers[task] + 1,
            m,
            m.incarnation,
            Attempt.Phase.RECORDING,
            now);
    job.highestAttemptNumbers[task] = a.number;
    job.lastStartMs = now;
    attemptsStarted++;
    book(a);
    imageDistribution.began(a, m.hasImage(job.spec.image()), x -> canServeImages(x, now), now);
    if (job.begunMs < 0
        && job.liveAttemptCount + job.doneCount() >= team(job.spec).maxConcurrentTasks(job.spec)) {
      job.begunMs = now;
    }
    AttemptRecord c = markDirty(job, task, now);
    c.uncommittedStarts++;
    urgentRecords.add(c);
    return a;
  }

  private void book(Attempt a) {
    a.job.liveAttempts[a.task] = a;
    a.job.liveAttemptCount++;
    a.job.liveAttemptsByZone[a.machine.zone]++;
    a.machine.add(a);
    team(a.job.spec).add(a.job.spec, 1);
  }

  private AttemptRecord markDirty(Job job, int task, long now) {
    AttemptRecord c = job.attemptRecords[task / AttemptRecord.TASKS_PER_RECORD];
    if (!c.dirty) {
      c.dirty = true;
      c.dirtySinceMs = now;
    }
    c.changeCount++;
    dirtyRecords.add(c);
    return c;
  }

  /** The chunk's record is to be written or deleted once more. */
  public void markForRewrite(AttemptRecord c, long now) {
    markDirty(c.job, c.firstTask(), now);
  }

  private void recorded(Attempt a) {
    AttemptRecord c = a.job.attemptRecords[a.task / AttemptRecord.TASKS_PER_RECORD];
    if (--c.uncommittedStarts == 0) {
      urgentRecords.remove(c);
    }
  }

  /** A commit of the chunk as it was at {@code changes} succeeded. */
  public void recordCommitted(
      AttemptRecord c, long version, long changes, List<Attempt> recorded, long now) {
    c.version = version;
    c.dirtySinceMs = now;
    if (c.changeCount == changes) {
      c.dirty = false;
      dirtyRecords.remove(c);
    } else {
      dirtyRecords.addAndMoveToLast(c); // The others have waited longer.
    }
    for (Attempt a : recorded) {
      if (a.phase == Attempt.Phase.RECORDING) {
        a.phase = Attempt.Phase.COMMITTED;
        recorded(a);
        machinesWithUnsentCommands.add(a.machine);
      }
    }
  }

  /** Frees what an attempt takes, now that it is proven gone. */
  public void resolve(Attempt a, AttemptOutcome outcome, long now) {
    if (a.phase == Attempt.Phase.GONE) {
      return;
    }
    Job job = a.job;
    if (a.phase == Attempt.Phase.RUNNING || a.phase == Attempt.Phase.FLUSHING) {
      job.runningCount--;
    } else if (a.phase == Attempt.Phase.RECORDING) {
      recorded(a);
    }
    if (a.isStopping()) {
      team(job.spec).stoppingCpus -= job.spec.cpus();
    }
    a.phase = Attempt.Phase.GONE;
    imageDistribution.gone(a);
    costAccounting.attemptResolved(a, outcome == AttemptOutcome.COMPLETED, now);
    job.liveAttempts[a.task] = null;
    job.liveAttemptCount--;
    job.liveAttemptsByZone[a.machine.zone]--;
    a.machine.remove(a, now);
    team(job.spec).add(job.spec, -1);
    markDirty(job, a.task, now);
    if (outcome == AttemptOutcome.COMPLETED && !job.spec.service()) {
      attemptsCompleted++;
      // What an earlier leader began was seen to run for a part of its time only; and a task that
      // had completed before ends at once when it is started again.
      if (a.runningSinceMs > 0 && !a.restoredFromRecord && a.number == 1) {
        health.taskFinished(
            a.machine.health,
            job.runTimes,
            job.spec.taskClass(),
            now - a.runningSinceMs,
            job.spec.estimateS(),
            now);
      }
      job.doneTasks.set(a.task);
      job.consecutiveFailures = 0;
      if (!job.cancelled && job.areAllTasksDone()) {
        job.allDoneMs = now;
        jobsToComplete.add(job);
      }
      return;
    }
    switch (outcome) {
      case FAILED -> {
        job.consecutiveFailures++;
        // Where it fails on three it is at fault itself: more of them are not asked for.
        if (job.failedMachines.size() < 3) {
          job.failedMachines.add(a.machine.name);
        }
        health.taskFailed(
            a.machine.health, job.spec.id().hashCode(), job.failedMachines.size() >= 3, now);
        holdBack(job, now);
      }
      case LAUNCH_REFUSED, COMPLETED -> {
        job.consecutiveFailures++;
        holdBack(job, now);
      }
      case INSUFFICIENT_RESOURCES -> a.machine.backoffUntilMs = now + 3000;
      default -> {}
    }
    if (!job.cancelled && !job.ended) {
      if (job.pendingTasks.isEmpty()) {
        job.waitingSinceMs = now;
      }
      job.pendingTasks.enqueueFirst(a.task);
    }
  }

  /** A job that keeps failing is tried again ever more seldom, never in a tight loop. */
  private static void holdBack(Job job, long now) {
    long wait = Math.min(60_000L, 250L << Math.min(8, job.consecutiveFailures));
    job.retryNotBeforeMs = Math.max(job.retryNotBeforeMs, now + wait);
  }

  /**
   * Takes a worker's report and answers with the orders for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> processHeartbeat(Machine m, Heartbeat r, boolean mayLaunch, long now) {
    return heartbeatReconciler.reconcile(m, r, mayLaunch, now);
  }

  /** What is said to machines, and heard from them. */
  public HeartbeatReconciler heartbeatReconciler() {
    return heartbeatReconciler;
  }

  /** The machine and all on it are proven gone. */
  public void machineDeleted(Machine m, long now) {
    for (Attempt a : new ArrayList<>(m.attempts)) {
      resolve(a, AttemptOutcome.LOST, now);
    }
    machines.remove(m.name);
    gangReservations.gone(m);
    imageDistribution.lost(m);
    health.remove(m.health);
    costAccounting.machineDeleted(m, now);
    machinesVersion++;
    machinesWithUnsentCommands.remove(m);
    deletedNames.add(m.name);
    if (deletedNames.size() > MAX_DELETED_NAMES) {
      deletedNames.removeFirst();
    }
  }

  /** The list says the machine failed: its tasks are gone, the name stays until it is deleted. */
  public void machineFailed(Machine m, long now) {
    m.failed = true;
    for (Attempt a : new ArrayList<>(m.attempts)) {
      resolve(a, AttemptOutcome.LOST, now);
    }
  }

  /**
   * Frees the attempts of workers whose leases must have run out: the worker had seen this term, so
   * only this leader's answers renewed its lease, and the last one is long enough ago.
   */
  public void expireLeases(long now) {
    for (Machine m : machines.values()) {
      if (!m.attempts.isEmpty() && leaseExpiryMs(m) >= 0 && now > leaseExpiryMs(m)) {
        for (Attempt a : new ArrayList<>(m.attempts)) {
          if (a.phase != Attempt.Phase.RECORDING) {
            resolve(a, AttemptOutcome.LOST, now);
          }
        }
      }
    }
  }

  /**
   * When the lease of the machine's worker must have run out if no answer reaches it any more,
   * which proves its attempts gone; -1 while no lease can prove that.
   */
  public long leaseExpiryMs(Machine m) {
    return m.highestTokenSeen >= term && m.lastResponseMs >= 0 ? m.lastResponseMs + leaseMs : -1;
  }

  /** Asks for a stop of an attempt so that its machine can drain or another job gets room. */
  @Override
  public void requestStop(Attempt a, double graceS, long now) {
    if (!a.isStopping()) {
      team(a.job.spec).stoppingCpus += a.job.spec.cpus();
    }
    a.stop(graceS, now);
    machinesWithUnsentCommands.add(a.machine);
  }
}
