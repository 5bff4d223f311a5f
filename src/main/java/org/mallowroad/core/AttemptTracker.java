package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.image.ImageDistribution;

/**
 * Manages the life cycle of attempts: start, commit, stop, and the proof that an attempt is gone.
 *
 * <p><b>Invariant.</b> An attempt occupies its team's quota, a slot in its zone and resources of
 * its machine from its creation until it is proven gone. Only the following are proofs; no other
 * evidence is accepted, however likely it seems that an attempt has ended:
 *
 * <ul>
 *   <li>the worker reports the exit of the task;
 *   <li>the worker sends a heartbeat with a later incarnation, since a new session starts without
 *       tasks;
 *   <li>a worker that has seen this term's fencing token sends a newer heartbeat that does not list
 *       the attempt, and no message that may still arrive carries its launch ({@link
 *       LaunchMessages});
 *   <li>the cloud confirms the deletion of the machine, or lists it as failed;
 *   <li>the worker's lease must have expired, see {@link #leaseExpiryMs};
 *   <li>the attempt was never committed, so its launch was never sent and never will be.
 * </ul>
 *
 * <p>Therefore a task never has two running attempts and no quota is exceeded, whatever the network
 * loses, delays or duplicates. Every change of what an attempt occupies goes through {@link
 * #allocateResources} and {@link #resolve}.
 */
final class AttemptTracker {
  private static final long RETRY_BASE_MS = 250;
  private static final long MAX_RETRY_MS = 60_000;
  private static final int MAX_RETRY_DOUBLINGS = 8;

  /** Backoff in ms for a machine that refused a launch because it lacked free resources. */
  private static final long MACHINE_BACKOFF_MS = 3_000;

  /** After failures on this many machines the job itself is at fault; no more are recorded. */
  private static final int MAX_FAILED_MACHINES = 3;

  private final TermTiming timing;
  private final StartAdmission admission;
  private final JobRegistry jobs;
  private final PendingWrites pendingWrites;
  private final FleetHealth health;
  private final ImageDistribution imageDistribution;
  private final CostAccounting costAccounting;
  private final AttemptAudit audit;

  /** Machines that may have a launch or stop command that no message has carried yet. */
  private final ObjectLinkedOpenHashSet<Machine> machinesWithUnsentCommands =
      new ObjectLinkedOpenHashSet<>();

  private long attemptsStarted;
  private long attemptsCompleted;

  AttemptTracker(
      TermTiming timing,
      StartAdmission admission,
      JobRegistry jobs,
      PendingWrites pendingWrites,
      FleetHealth health,
      ImageDistribution imageDistribution,
      CostAccounting costAccounting,
      AttemptAudit audit) {
    this.timing = timing;
    this.admission = admission;
    this.jobs = jobs;
    this.pendingWrites = pendingWrites;
    this.health = health;
    this.imageDistribution = imageDistribution;
    this.costAccounting = costAccounting;
    this.audit = audit;
  }

  /** Machines that may have commands to send directly; the caller removes those it has handled. */
  Collection<Machine> machinesWithUnsentCommands() {
    return machinesWithUnsentCommands;
  }

  /** Number of attempts created in this term. */
  long attemptsStarted() {
    return attemptsStarted;
  }

  /** Number of attempts that completed in this term. */
  long attemptsCompleted() {
    return attemptsCompleted;
  }

  /**
   * Creates an attempt. It must be committed before its launch is sent.
   *
   * @throws StartRefusedException when {@link StartAdmission} refuses it
   */
  Attempt start(Job job, int task, Machine machine, long now) {
    StartRefusal refusal = admission.startRefusal(job, task, machine, now);
    if (refusal != null) {
      throw new StartRefusedException(refusal);
    }
    int number = job.highestAttemptNumbers[task] + 1;
    Attempt attempt =
        new Attempt(job, task, number, machine, machine.incarnation, Attempt.Phase.RECORDING, now);
    job.highestAttemptNumbers[task] = number;
    job.lastStartMs = now;
    attemptsStarted++;
    audit.recordStart(machine.lastHeartbeatSource);
    allocateResources(attempt);
    imageDistribution.recordPlaced(
        attempt,
        machine.hasImage(job.spec.image()),
        source -> admission.canServeImages(source, now));
    int placedOrDone = job.liveAttemptCount + job.doneTaskCount();
    if (job.fullyPlacedMs < 0
        && placedOrDone >= admission.team(job.spec).maxConcurrentTasks(job.spec)) {
      job.fullyPlacedMs = now;
    }
    pendingWrites.addUncommittedStart(job.attemptRecordOf(task), now);
    return attempt;
  }

  /** Restores an attempt from an earlier term's record. It counts until it is proven gone. */
  void restore(Job job, int task, int number, Machine machine, long incarnation, long now) {
    if (task < 0
        || task >= job.spec.tasks()
        || job.liveAttempts[task] != null
        || job.doneTasks.get(task)) {
      return;
    }
    Attempt attempt =
        new Attempt(job, task, number, machine, incarnation, Attempt.Phase.READY, now);
    attempt.restoredFromRecord = true;
    job.highestAttemptNumbers[task] = Math.max(job.highestAttemptNumbers[task], number);
    allocateResources(attempt);
    machine.lease.recordSession(incarnation, now);
    // Prevents a heartbeat of an earlier session from being accepted as new.
    if (incarnation > machine.incarnation) {
      machine.incarnation = incarnation;
      machine.sequence = 0;
    }
    if (job.cancelled) {
      requestStop(attempt, 0, now);
    }
  }

  /** Charges the attempt to its team's quota, its zone and its machine's resources. */
  private void allocateResources(Attempt attempt) {
    Job job = attempt.job;
    job.liveAttempts[attempt.task] = attempt;
    job.liveAttemptCount++;
    job.liveAttemptsByZone[attempt.machine.zone]++;
    attempt.machine.add(attempt);
    admission.team(job.spec).add(job.spec, 1);
  }

  /** Marks attempts whose record was committed as ready to launch, unless they are gone already. */
  void markCommitted(List<Attempt> writtenAttempts) {
    for (Attempt attempt : writtenAttempts) {
      if (attempt.phase == Attempt.Phase.RECORDING) {
        attempt.phase = Attempt.Phase.READY;
        pendingWrites.removeUncommittedStart(attempt.job.attemptRecordOf(attempt.task));
        machinesWithUnsentCommands.add(attempt.machine);
      }
    }
  }

  /**
   * Requests a stop. The attempt keeps its quota and resources until it is proven gone.
   *
   * @param graceS grace period for saving progress, in seconds
   */
  void requestStop(Attempt attempt, double graceS, long now) {
    if (!attempt.isStopping()) {
      admission.team(attempt.job.spec).stoppingCpus += attempt.job.spec.cpus();
    }
    attempt.recordStopRequest(graceS, now);
    machinesWithUnsentCommands.add(attempt.machine);
  }

  /**
   * Ends all attempts of a job that has ended or was cancelled. Uncommitted ones are resolved at
   * once, since they were never launched; the others are stopped.
   */
  void stopAll(Job job, long now) {
    for (Attempt attempt : job.liveAttempts) {
      if (attempt == null) {
        continue;
      }
      if (attempt.phase == Attempt.Phase.RECORDING) {
        resolve(attempt, AttemptOutcome.LOST, ResolutionProof.NEVER_COMMITTED, now);
      } else {
        requestStop(attempt, 0, now);
      }
    }
  }

  /** Resolves the job's uncommitted attempts, whose launches were never sent. */
  void withdrawUncommitted(Job job, long now) {
    for (Attempt attempt : job.liveAttempts) {
      if (attempt != null && attempt.phase == Attempt.Phase.RECORDING) {
        resolve(attempt, AttemptOutcome.LOST, ResolutionProof.NEVER_COMMITTED, now);
      }
    }
  }

  /** Resolves all attempts on a machine that the cloud has deleted or reported as failed. */
  void resolveAll(Machine machine, ResolutionProof proof, long now) {
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      resolve(attempt, AttemptOutcome.LOST, proof, now);
    }
  }

  /**
   * Resolves the attempts of a worker's session whose lease must have expired, and of the sessions
   * before it. Uncommitted attempts stay: their launches were never sent, so the lease does not
   * concern them.
   */
  void expireLease(Machine machine, long now) {
    long expiryMs = leaseExpiryMs(machine);
    if (machine.attempts.isEmpty() || expiryMs < 0 || now <= expiryMs) {
      return;
    }
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.phase != Attempt.Phase.RECORDING
          && attempt.incarnation <= machine.lease.session()) {
        resolve(attempt, AttemptOutcome.LOST, ResolutionProof.LEASE_EXPIRED, now);
      }
    }
  }

  /**
   * Time by which the lease of the machine's worker must have expired if no further response
   * reaches it; this proves its attempts gone. Returns -1 while lease expiry cannot be proven, see
   * {@link WorkerLease}.
   */
  long leaseExpiryMs(Machine machine) {
    return machine.lease.expiryMs(timing.leaseMs());
  }

  /** Releases the quota and resources of an attempt that is proven gone. Idempotent. */
  void resolve(Attempt attempt, AttemptOutcome outcome, ResolutionProof proof, long now) {
    if (attempt.phase == Attempt.Phase.GONE) {
      return;
    }
    audit.recordResolution(attempt, proof, now);
    releaseResources(attempt, outcome, now);
    if (outcome == AttemptOutcome.COMPLETED && !attempt.job.spec.service()) {
      completeTask(attempt, now);
      return;
    }
    recordFailure(attempt, outcome, now);
    requeue(attempt, now);
  }

  private void releaseResources(Attempt attempt, AttemptOutcome outcome, long now) {
    Job job = attempt.job;
    Team team = admission.team(job.spec);
    if (attempt.phase == Attempt.Phase.RUNNING || attempt.phase == Attempt.Phase.FLUSHING) {
      job.runningCount--;
    } else if (attempt.phase == Attempt.Phase.RECORDING) {
      pendingWrites.removeUncommittedStart(job.attemptRecordOf(attempt.task));
    }
    if (attempt.isStopping()) {
      team.stoppingCpus -= job.spec.cpus();
    }
    attempt.phase = Attempt.Phase.GONE;
    imageDistribution.recordEnded(attempt);
    costAccounting.attemptResolved(attempt, outcome == AttemptOutcome.COMPLETED, now);
    job.liveAttempts[attempt.task] = null;
    job.liveAttemptCount--;
    job.liveAttemptsByZone[attempt.machine.zone]--;
    attempt.machine.remove(attempt, now);
    team.add(job.spec, -1);
    pendingWrites.markDirty(job.attemptRecordOf(attempt.task), now);
  }

  private void completeTask(Attempt attempt, long now) {
    Job job = attempt.job;
    attemptsCompleted++;
    // Restored attempts are no run time samples, since only a part of their run was observed.
    // Neither are retries: a task that had completed before ends at once when it is started again.
    if (attempt.runningSinceMs > 0 && !attempt.restoredFromRecord && attempt.number == 1) {
      health.recordTaskFinished(
          attempt.machine.health,
          job.runTimes,
          job.spec.taskClass(),
          now - attempt.runningSinceMs,
          job.spec.estimateS(),
          now);
    }
    job.doneTasks.set(attempt.task);
    job.consecutiveFailures = 0;
    if (!job.cancelled) {
      jobs.completeIfDone(job, now);
    }
  }

  private void recordFailure(Attempt attempt, AttemptOutcome outcome, long now) {
    Job job = attempt.job;
    switch (outcome) {
      case FAILED -> {
        job.consecutiveFailures++;
        if (job.failedMachines.size() < MAX_FAILED_MACHINES) {
          job.failedMachines.add(attempt.machine.name);
        }
        boolean jobAtFault = job.failedMachines.size() >= MAX_FAILED_MACHINES;
        health.recordTaskFailed(attempt.machine.health, job.spec.id().hashCode(), jobAtFault, now);
        backOff(job, now);
      }
      // Replicas of a service must keep running, so a successful exit is a failure too.
      case LAUNCH_REFUSED, COMPLETED -> {
        job.consecutiveFailures++;
        backOff(job, now);
      }
      case INSUFFICIENT_RESOURCES -> attempt.machine.backoffUntilMs = now + MACHINE_BACKOFF_MS;
      case STOPPED, LOST -> {}
    }
  }

  /** Delays the next start of a failing job by exponential backoff. */
  private static void backOff(Job job, long now) {
    int doublings = Math.min(MAX_RETRY_DOUBLINGS, job.consecutiveFailures);
    long delayMs = Math.min(MAX_RETRY_MS, RETRY_BASE_MS << doublings);
    job.retryNotBeforeMs = Math.max(job.retryNotBeforeMs, now + delayMs);
  }

  private static void requeue(Attempt attempt, long now) {
    Job job = attempt.job;
    if (job.cancelled || job.ended) {
      return;
    }
    if (job.pendingTasks.isEmpty()) {
      job.waitingSinceMs = now;
    }
    job.pendingTasks.enqueueFirst(attempt.task);
  }
}
