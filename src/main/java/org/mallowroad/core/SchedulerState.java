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
 * The state of one leadership term: its jobs, attempts and machines. This facade is used by the
 * rest of the scheduler; it owns the classes that each hold a part of the state:
 *
 * <ul>
 *   <li>{@link StartAdmission} decides whether a task may start on a machine;
 *   <li>{@link AttemptTracker} manages the life cycle of attempts and the proofs that they are
 *       gone;
 *   <li>{@link JobRegistry} and {@link MachineRegistry} hold jobs and machines;
 *   <li>{@link PendingWrites} tracks the attempt records to be written;
 *   <li>{@link HeartbeatReconciler} turns worker heartbeats into proofs and commands; {@link
 *       DirectCommandPlanner} decides which commands are sent without waiting for a heartbeat.
 * </ul>
 *
 * <p>The class performs no I/O and reads no clock: callers pass the time as milliseconds on the
 * process's monotonic clock. It is confined to the event loop's thread.
 */
public final class SchedulerState implements MachinePool {
  private final List<Team> teams;
  private final NameIndex zones;
  private final FleetHealth health;
  private final CostAccounting costAccounting = new CostAccounting();
  private final AttemptAudit attemptAudit = new AttemptAudit();
  private final PendingWrites pendingWrites = new PendingWrites();
  private final JobRegistry jobs;
  private final MachineRegistry machines;
  private final StartAdmission admission;
  private final AttemptTracker attempts;
  private final WorkerCommandFactory commandFactory;
  private final HeartbeatReconciler heartbeatReconciler;
  private final DirectCommandPlanner directCommandPlanner;
  private final ImageDistribution imageDistribution;
  private final SharedAttemptRecords sharedAttemptRecords;
  private final GangReservations gangReservations = new GangReservations(this);

  /** Creates the empty state of a term with the default health thresholds. */
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

  /** Creates the empty state of a term with the default image fetch policy. */
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
   * Creates the empty state of a term.
   *
   * @param term the first fencing token of the term, which identifies it
   * @param leaseS seconds for which a worker keeps its tasks running without a leader's response
   * @param heartbeatIntervalS interval of worker heartbeats in seconds
   * @param zones names of all zones; their indices are less than its size
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
            timing,
            admission,
            jobs,
            pendingWrites,
            health,
            imageDistribution,
            costAccounting,
            attemptAudit);
    this.commandFactory = new WorkerCommandFactory(imageDistribution);
    this.heartbeatReconciler =
        new HeartbeatReconciler(
            timing, attempts, jobs, health, imageDistribution, commandFactory, attemptAudit);
    this.directCommandPlanner = new DirectCommandPlanner(timing, commandFactory);
  }

  /** Open jobs and jobs with attempts that are not proven gone, in order of acceptance. */
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

  /** True when the machine was deleted in this term and its name is still remembered. */
  public boolean isDeleted(String machineName) {
    return machines.isDeleted(machineName);
  }

  /** Number of entries by table; helps operators to find the cause of memory growth. */
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

  /** Marks the name indices that are in use and must not be reassigned. */
  public void markUsedNames(BitSet images, BitSet classes, BitSet types) {
    jobs.markUsedNames(images, classes, types);
    machines.markUsedNames(images, types);
    imageDistribution.markTrackedImages(images);
  }

  /** The team that a job belongs to. */
  public Team team(JobSpec spec) {
    return admission.team(spec);
  }

  /** All teams. */
  public List<Team> teams() {
    return teams;
  }

  /** Records that changed since their latest commit, longest-waiting first. */
  public Collection<AttemptRecord> dirtyRecords() {
    return pendingWrites.dirtyRecords();
  }

  /** The dirty records with uncommitted starts. */
  public Collection<AttemptRecord> urgentRecords() {
    return pendingWrites.urgentRecords();
  }

  /**
   * Machines that may have commands to send directly. The caller removes those it has handled. The
   * set makes it unnecessary to iterate over the fleet for each message to a worker.
   */
  public Collection<Machine> machinesWithUnsentCommands() {
    return attempts.machinesWithUnsentCommands();
  }

  /** A counter that changes whenever a machine is added or deleted. */
  public long machinesVersion() {
    return machines.version();
  }

  /** Jobs whose tasks are all done and whose end is not committed yet. */
  public Collection<Job> jobsToComplete() {
    return jobs.jobsToComplete();
  }

  /** Number of tasks visited so far to rebuild queues; measures the cost of a failover. */
  long rebuiltQueueTasks() {
    return jobs.rebuiltQueueTasks();
  }

  @Override
  public FleetHealth health() {
    return health;
  }

  /** The attempt records that small jobs share. */
  public SharedAttemptRecords sharedAttemptRecords() {
    return sharedAttemptRecords;
  }

  /** The machines that are reserved for gangs. */
  public GangReservations gangReservations() {
    return gangReservations;
  }

  /** The image fetches in progress and their sources. */
  public ImageDistribution imageDistribution() {
    return imageDistribution;
  }

  /** True when other workers may be directed to fetch images from the machine. */
  public boolean canServeImages(Machine machine, long now) {
    return admission.canServeImages(machine, now);
  }

  @Override
  public int zones() {
    return zones.size();
  }

  /** The costs of this term. */
  public CostAccounting costAccounting() {
    return costAccounting;
  }

  /** What allowed the starts and proved the ends of this term's attempts. */
  public AttemptAudit attemptAudit() {
    return attemptAudit;
  }

  /** Number of attempts created in this term. */
  public long attemptsStarted() {
    return attempts.attemptsStarted();
  }

  /** Number of attempts that completed in this term. */
  public long attemptsCompleted() {
    return attempts.attemptsCompleted();
  }

  /**
   * Adds an open job that is recorded in the state service.
   *
   * @param version version of the job's record
   * @param ageMs time since the submission
   * @return the existing job with this id if there is one, else a new one
   */
  public Job accept(JobSpec spec, long version, long ageMs, long now) {
    return jobs.accept(spec, version, ageMs, now);
  }

  /**
   * Restores the contents of an attempt record on failover, except its attempts.
   *
   * @param doneTasks completed tasks; bit 0 is the record's first task
   * @param highestAttemptNumber upper bound of the attempt numbers that the tasks have had
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

  /** Restores a recorded attempt on failover. It counts until it is proven gone. */
  public void restoreAttempt(
      Job job, int task, int number, Machine machine, long incarnation, long now) {
    attempts.restore(job, task, number, machine, incarnation, now);
  }

  /**
   * Completes the restoration of a job after all its records were restored. The job's queue is
   * rebuilt here, once per job instead of once per attempt, since a failover runs code that is not
   * JIT-compiled yet on a fraction of a core.
   */
  public void finishRestore(Job job, long now) {
    jobs.rebuildQueue(job);
    if (!job.cancelled) {
      jobs.completeIfDone(job, now);
    }
  }

  /**
   * Applies the user's cancellation: no task of the job starts any more, and its attempts are
   * stopped.
   */
  public void cancel(Job job, long now) {
    if (job.cancelled || job.ended) {
      return;
    }
    job.cancelled = true;
    jobs.close(job);
    attempts.stopAll(job, now);
  }

  /** Makes a held job eligible, after its release was recorded because its dependencies are met. */
  public void release(Job job, long now) {
    if (job.held) {
      job.held = false;
      job.releasedMs = now;
      job.waitingSinceMs = now;
    }
  }

  /**
   * Holds a job whose recorded release is no longer valid, and withdraws its uncommitted starts.
   */
  public void hold(Job job, long now) {
    attempts.withdrawUncommitted(job, now);
    job.held = true;
  }

  /**
   * Records that the job's end is committed or was found in the state service, and stops its
   * attempts. A leader that read a list of open jobs from before that end may have placed tasks of
   * the job again (docs/incidents, done-job-placed-again).
   */
  public void markEnded(Job job, long now) {
    job.ended = true;
    jobs.close(job);
    attempts.stopAll(job, now);
  }

  /** Removes a job that has no attempts left, once its records are deleted. */
  public void removeJob(Job job) {
    jobs.remove(job);
    for (AttemptRecord attemptRecord : job.attemptRecords) {
      pendingWrites.remove(attemptRecord);
      sharedAttemptRecords.remove(attemptRecord);
    }
  }

  /** Returns the machine, registering it if it is new; null when it is proven deleted. */
  public Machine registerMachine(String name, MachineType type, int zone, boolean spot, long now) {
    if (machines.isDeleted(name)) {
      return null;
    }
    Machine existing = machines.get(name);
    if (existing != null) {
      return existing;
    }
    Machine machine = machines.add(name, type, zone, spot, now);
    health.register(machine.health, now);
    return machine;
  }

  /** True when the machine accepts new tasks and has free CPUs, so a placement pass may use it. */
  public boolean canReceiveTasks(Machine machine, long now) {
    return admission.canReceiveTasks(machine, now);
  }

  @Override
  public boolean acceptsNewTasks(Machine machine, long now) {
    return admission.machineRefusal(machine, now) == null;
  }

  /** Why the machine gets no new work from any job; null when it may get some. */
  public StartRefusal machineRefusal(Machine machine, long now) {
    return admission.machineRefusal(machine, now);
  }

  /** The first rule that forbids starting the task on the machine; null when it may start. */
  public StartRefusal startRefusal(Job job, int task, Machine machine, long now) {
    return admission.startRefusal(job, task, machine, now);
  }

  /**
   * Creates an attempt. It must be committed before its launch is sent.
   *
   * @throws StartRefusedException when {@link #startRefusal} returns a reason
   */
  public Attempt start(Job job, int task, Machine machine, long now) {
    return attempts.start(job, task, machine, now);
  }

  /** Marks a record to be written or deleted again. */
  public void markForRewrite(AttemptRecord attemptRecord, long now) {
    pendingWrites.markDirty(attemptRecord, now);
  }

  /**
   * Records that a commit of an attempt record succeeded.
   *
   * @param version the record's new version in the state service
   * @param changeCount the record's change count when its written content was encoded
   * @param writtenAttempts the live attempts that were written
   */
  public void recordCommitted(
      AttemptRecord attemptRecord,
      long version,
      long changeCount,
      List<Attempt> writtenAttempts,
      long now) {
    pendingWrites.markCommitted(attemptRecord, version, changeCount, now);
    attempts.markCommitted(writtenAttempts);
  }

  /** Releases the quota and resources of an attempt whose exit was reported. Idempotent. */
  public void resolve(Attempt attempt, AttemptOutcome outcome, long now) {
    attempts.resolve(attempt, outcome, ResolutionProof.WORKER_REPORT, now);
  }

  /**
   * Applies a heartbeat that a worker sent by itself and returns the commands for the worker.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the heartbeat is not newer than the newest one seen and must be ignored
   */
  public List<WorkerCommand> processHeartbeat(
      Machine machine, Heartbeat heartbeat, boolean mayLaunch, long now) {
    return heartbeatReconciler.reconcile(machine, heartbeat, mayLaunch, now);
  }

  /** Applies the heartbeat in a worker's answer to direct commands. */
  public void processCommandResponse(Machine machine, Heartbeat heartbeat, long now) {
    heartbeatReconciler.reconcileCommandResponse(machine, heartbeat, now);
  }

  /** The component that processes heartbeats. */
  public HeartbeatReconciler heartbeatReconciler() {
    return heartbeatReconciler;
  }

  /** The component that decides which commands are sent directly to workers. */
  public DirectCommandPlanner directCommandPlanner() {
    return directCommandPlanner;
  }

  /** The component that creates launch and stop commands. */
  public WorkerCommandFactory commandFactory() {
    return commandFactory;
  }

  /** Removes a machine that is proven deleted, and resolves its attempts. */
  public void machineDeleted(Machine machine, long now) {
    attempts.resolveAll(machine, ResolutionProof.MACHINE_DELETED, now);
    machines.delete(machine);
    gangReservations.removeMachine(machine);
    imageDistribution.removeMachine(machine);
    health.remove(machine.health);
    costAccounting.machineDeleted(machine, now);
    attempts.machinesWithUnsentCommands().remove(machine);
  }

  /**
   * Marks a machine that the cloud reported as failed, and resolves its attempts. It stays
   * registered until it is deleted.
   */
  public void machineFailed(Machine machine, long now) {
    machine.failed = true;
    attempts.resolveAll(machine, ResolutionProof.MACHINE_FAILED, now);
  }

  /** Resolves the attempts of all workers whose leases must have expired. */
  public void expireLeases(long now) {
    for (Machine machine : machines.all()) {
      attempts.expireLease(machine, now);
    }
  }

  /**
   * Time by which the lease of the machine's worker must have expired if no further response
   * reaches it; this proves its attempts gone. Returns -1 while lease expiry cannot be proven.
   */
  public long leaseExpiryMs(Machine machine) {
    return attempts.leaseExpiryMs(machine);
  }

  @Override
  public void requestStop(Attempt attempt, double graceS, long now) {
    attempts.requestStop(attempt, graceS, now);
  }
}
