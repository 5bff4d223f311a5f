package org.mallowroad.core;

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
 * The state of one leader's term: its jobs, attempts and machines. It owns the classes that each
 * keep a part of it, and is what the rest of the scheduler talks to:
 *
 * <ul>
 *   <li>{@link StartAdmission}: may this task start on this machine?
 *   <li>{@link AttemptTracker}: the life cycle of attempts, and the proof that one is gone;
 *   <li>{@link JobRegistry} and {@link MachineRegistry}: what there is;
 *   <li>{@link PendingWrites}: which attempt records are to be written;
 *   <li>{@link HeartbeatReconciler}: what workers say, and what they are told.
 * </ul>
 *
 * <p>It does no I/O and reads no clock: callers pass the time as milliseconds on the process's
 * steady clock. It is confined to one thread, the event loop's.
 */
public final class SchedulerState implements MachinePool {
  private final List<Team> teams;
  private final NameIndex zones;
  private final FleetHealth health;
  private final CostAccounting costAccounting = new CostAccounting();
  private final PendingWrites pendingWrites = new PendingWrites();
  private final JobRegistry jobs;
  private final MachineRegistry machines;
  private final StartAdmission admission;
  private final AttemptTracker attempts;
  private final HeartbeatReconciler heartbeatReconciler;
  private final ImageDistribution imageDistribution;
  private final SharedAttemptRecords sharedAttemptRecords;
  private final GangReservations gangReservations = new GangReservations(this);

  /** An empty state for a term that suspects machines by the default thresholds. */
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

  /** An empty state for a term without limits on image fetches. */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      FleetHealth health) {
    this(term, leaseS, heartbeatIntervalS, teams, zones, health, ImageFetchPolicy.defaults());
  }

  /**
   * An empty state for a term.
   *
   * @param term the first fencing token of the term
   * @param leaseS how long a worker runs on without an answer of the leader, in seconds
   * @param heartbeatIntervalS how often workers report, in seconds
   * @param zones names of all zones; their indices are below its size
   */
  public SchedulerState(
      long term,
      double leaseS,
      double heartbeatIntervalS,
      List<Team> teams,
      NameIndex zones,
      FleetHealth health,
      ImageFetchPolicy imageFetchPolicy) {
    this.teams = teams;
    this.zones = zones;
    this.health = health;
    this.imageDistribution = new ImageDistribution(imageFetchPolicy, zones.size());
    this.sharedAttemptRecords = new SharedAttemptRecords(term);
    this.jobs = new JobRegistry(zones.size());
    this.machines = new MachineRegistry(term);
    TermTiming timing = TermTiming.of(term, leaseS, heartbeatIntervalS);
    this.admission = new StartAdmission(teams, timing.heartbeatOverdueMs());
    this.attempts =
        new AttemptTracker(
            timing, admission, jobs, pendingWrites, health, imageDistribution, costAccounting);
    this.heartbeatReconciler =
        new HeartbeatReconciler(timing, attempts, jobs, health, imageDistribution);
  }

  /** Open jobs and those whose tasks are not all proven gone. */
  public Collection<Job> jobs() {
    return jobs.all();
  }

  /** A job by id, or null. */
  public Job job(String id) {
    return jobs.get(id);
  }

  @Override
  public Collection<Machine> machines() {
    return machines.all();
  }

  @Override
  public Machine machine(String name) {
    return machines.get(name);
  }

  /** True when the machine was deleted in this term. */
  public boolean isDeleted(String machine) {
    return machines.isDeleted(machine);
  }

  /** How many entries each table holds: what an operator looks at when memory grows. */
  public Map<String, Integer> tableSizes() {
    Map<String, Integer> sizes = new LinkedHashMap<>();
    sizes.put("jobs", jobs.all().size());
    sizes.put("machines", machines.all().size());
    sizes.put("gone", machines.deletedCount());
    sizes.put("dirty", dirtyRecords().size());
    sizes.put("urgent", urgentRecords().size());
    sizes.put("outbox", machinesWithUnsentCommands().size());
    sizes.put("shared", sharedAttemptRecords.records().size());
    sizes.put("ending", jobsToComplete().size());
    sizes.put("watched", health.failureDetector().knownMachineCount());
    sizes.put("classes", health.stragglerDetector().taskClassCount());
    return sizes;
  }

  /** Marks the indices of names that jobs and machines have: these may not be reused. */
  public void markUsedNames(BitSet images, BitSet classes, BitSet types) {
    jobs.markUsedNames(images, classes, types);
    machines.markUsedNames(images, types);
    imageDistribution.markTrackedImages(images);
  }

  /** The team of a job. */
  public Team team(JobSpec spec) {
    return admission.team(spec);
  }

  /** All teams. */
  public List<Team> teams() {
    return teams;
  }

  /** Records that changed since they were committed. */
  public Collection<AttemptRecord> dirtyRecords() {
    return pendingWrites.dirtyRecords();
  }

  /** The dirty records for which starts wait. */
  public Collection<AttemptRecord> urgentRecords() {
    return pendingWrites.urgentRecords();
  }

  /**
   * Machines that may have commands to be sent straight away. The caller removes those it has dealt
   * with: a message to a worker must not cost a walk over the fleet.
   */
  public Collection<Machine> machinesWithUnsentCommands() {
    return attempts.machinesWithUnsentCommands();
  }

  /** Changes with every machine that comes or goes. */
  public long machinesVersion() {
    return machines.version();
  }

  /** Jobs whose tasks are all done and whose end is to be committed. */
  public Collection<Job> jobsToComplete() {
    return jobs.jobsToComplete();
  }

  /** Tasks looked at so far to rebuild queues: what a failover costs. */
  long rebuiltQueueTasks() {
    return jobs.rebuiltQueueTasks();
  }

  @Override
  public FleetHealth health() {
    return health;
  }

  /** Which small jobs share attempt records. */
  public SharedAttemptRecords sharedAttemptRecords() {
    return sharedAttemptRecords;
  }

  /** Which machines are reserved for gangs. */
  public GangReservations gangReservations() {
    return gangReservations;
  }

  /** Who fetches which image, and from whom. */
  public ImageDistribution imageDistribution() {
    return imageDistribution;
  }

  /** True when other workers may be told to fetch an image from the machine. */
  public boolean canServeImages(Machine machine, long now) {
    return admission.canServeImages(machine, now);
  }

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
    return attempts.attemptsStarted();
  }

  /** Number of attempts that completed in this term. */
  public long attemptsCompleted() {
    return attempts.attemptsCompleted();
  }

  /**
   * Takes an open job that is recorded in the state service.
   *
   * @param version of the job's record
   * @param ageMs how long ago it was submitted
   * @return the job that is known by this id, if there is one, else a new one
   */
  public Job accept(JobSpec spec, long version, long ageMs, long now) {
    return jobs.accept(spec, version, ageMs, now);
  }

  /**
   * Takes what an attempt record says, on failover.
   *
   * @param doneTasks bit 0 is the record's first task
   * @param highestAttemptNumber an upper bound for the numbers that its tasks have had
   */
  public void restoreRecord(
      AttemptRecord attemptRecord, long version, BitSet doneTasks, int highestAttemptNumber) {
    Job job = attemptRecord.job;
    attemptRecord.version = version;
    for (int task = attemptRecord.firstTask(); task < attemptRecord.endTask(); task++) {
      job.highestAttemptNumbers[task] = highestAttemptNumber;
      if (doneTasks.get(task - attemptRecord.firstTask())) {
        job.doneTasks.set(task);
      }
    }
  }

  /** Takes a recorded attempt, on failover: it counts until it is proven gone. */
  public void restoreAttempt(
      Job job, int task, int number, Machine machine, long incarnation, long now) {
    attempts.restore(job, task, number, machine, incarnation, now);
  }

  /**
   * Call once all records of a restored job were taken: its queue is rebuilt here, once a job and
   * not once an attempt, since a failover runs cold code on a fraction of a core.
   */
  public void finishRestore(Job job, long now) {
    jobs.rebuildQueue(job);
    if (!job.cancelled) {
      jobs.completeIfDone(job, now);
    }
  }

  /** The user cancelled the job: nothing of it starts any more, and what runs is stopped. */
  public void cancel(Job job, long now) {
    if (job.cancelled || job.ended) {
      return;
    }
    job.cancelled = true;
    jobs.close(job);
    attempts.stopAll(job, now);
  }

  /** The job's dependencies are met, and that is on record: its tasks may start. */
  public void release(Job job, long now) {
    if (job.held) {
      job.held = false;
      job.releasedMs = now;
      job.waitingSinceMs = now;
    }
  }

  /** The release on record is no longer valid: starts that were to be recorded under it are not. */
  public void hold(Job job, long now) {
    attempts.withdrawUncommitted(job, now);
    job.held = true;
  }

  /**
   * The job's end is committed, or was found. A leader that took a list of open jobs which was
   * older than that end may have placed tasks of it again (docs/incidents, done-job-placed-again).
   */
  public void markEnded(Job job, long now) {
    job.ended = true;
    jobs.close(job);
    attempts.stopAll(job, now);
  }

  /** Drops a job of which nothing is left, once its records are deleted. */
  public void removeJob(Job job) {
    jobs.remove(job);
    for (AttemptRecord attemptRecord : job.attemptRecords) {
      pendingWrites.remove(attemptRecord);
      sharedAttemptRecords.remove(attemptRecord);
    }
  }

  /** The machine, made known if it is new; null when it is proven deleted. */
  public Machine registerMachine(String name, MachineType type, int zone, boolean spot, long now) {
    if (machines.isDeleted(name)) {
      return null;
    }
    Machine known = machines.get(name);
    if (known != null) {
      return known;
    }
    Machine machine = machines.add(name, type, zone, spot, now);
    health.register(machine.health, now);
    return machine;
  }

  /** True when a placement pass may give the machine work, or has just done so. */
  public boolean canReceiveTasks(Machine machine, long now) {
    return admission.canReceiveTasks(machine, now);
  }

  @Override
  public boolean acceptsNewTasks(Machine machine, long now) {
    return admission.machineRefusal(machine, now) == null;
  }

  /** Why no new work goes to the machine at all; null when it may. */
  public StartRefusal machineRefusal(Machine machine, long now) {
    return admission.machineRefusal(machine, now);
  }

  /** Why the task may not start on the machine; null when it may. */
  public StartRefusal startRefusal(Job job, int task, Machine machine, long now) {
    return admission.startRefusal(job, task, machine, now);
  }

  /**
   * Makes an attempt; it must be committed before its launch is sent.
   *
   * @throws StartRefusedException when {@link #startRefusal} has a reason against it
   */
  public Attempt start(Job job, int task, Machine machine, long now) {
    return attempts.start(job, task, machine, now);
  }

  /** The record is to be written or deleted once more. */
  public void markForRewrite(AttemptRecord attemptRecord, long now) {
    pendingWrites.markDirty(attemptRecord, now);
  }

  /**
   * A commit of the record as it was at {@code changeCount} succeeded.
   *
   * @param version of the record in the state service from now on
   * @param recorded the live attempts that were written
   */
  public void recordCommitted(
      AttemptRecord attemptRecord,
      long version,
      long changeCount,
      List<Attempt> recorded,
      long now) {
    pendingWrites.committed(attemptRecord, version, changeCount, now);
    attempts.committed(recorded);
  }

  /** Frees what an attempt takes, now that it is proven gone. */
  public void resolve(Attempt attempt, AttemptOutcome outcome, long now) {
    attempts.resolve(attempt, outcome, now);
  }

  /**
   * Takes a worker's heartbeat and answers with the commands for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service, and for a heartbeat
   *     that answers direct commands
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> processHeartbeat(
      Machine machine, Heartbeat heartbeat, boolean mayLaunch, long now) {
    return heartbeatReconciler.reconcile(machine, heartbeat, mayLaunch, now);
  }

  /** What workers say, and what they are told. */
  public HeartbeatReconciler heartbeatReconciler() {
    return heartbeatReconciler;
  }

  /** The machine and all on it are proven gone. */
  public void machineDeleted(Machine machine, long now) {
    attempts.resolveAll(machine, now);
    machines.delete(machine);
    gangReservations.removeMachine(machine);
    imageDistribution.removeMachine(machine);
    health.remove(machine.health);
    costAccounting.machineDeleted(machine, now);
    attempts.machinesWithUnsentCommands().remove(machine);
  }

  /** The cloud says the machine failed: its tasks are gone, the name stays until it is deleted. */
  public void machineFailed(Machine machine, long now) {
    machine.failed = true;
    attempts.resolveAll(machine, now);
  }

  /** Resolves the attempts of all workers whose leases must have expired. */
  public void expireLeases(long now) {
    for (Machine machine : machines.all()) {
      attempts.expireLease(machine, now);
    }
  }

  /**
   * When the lease of the machine's worker must have expired if no response reaches it any more,
   * which proves its attempts gone; -1 while no lease can prove that.
   */
  public long leaseExpiryMs(Machine machine) {
    return attempts.leaseExpiryMs(machine);
  }

  @Override
  public void requestStop(Attempt attempt, double graceS, long now) {
    attempts.requestStop(attempt, graceS, now);
  }
}
