package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.image.ImageDistribution;

/**
 * The life cycle of attempts, from the start over the commit to the proof that they are gone.
 *
 * <p><b>The rule.</b> An attempt takes quota, a place in its zone and resources of its machine from
 * the moment it is made until it is proven gone. The proofs are these, and there is no other,
 * however likely it seems that an attempt has ended:
 *
 * <ul>
 *   <li>the worker reports its exit;
 *   <li>the worker reports with a later incarnation, since a new session starts without tasks;
 *   <li>a worker that has seen this term's token sends a newer heartbeat without it, and no launch
 *       of it is in flight ({@link HeartbeatReconciler});
 *   <li>the cloud confirmed the deletion of the machine, or lists it as failed;
 *   <li>the worker's lease must have expired, {@link #leaseExpiryMs};
 *   <li>it was never committed, so its launch was never sent and never will be.
 * </ul>
 *
 * <p>So a task never has two attempts that run, and no quota is exceeded, whatever the network
 * loses, delays or repeats. All changes of what an attempt takes go through {@link #reserve} and
 * {@link #resolve}.
 */
final class AttemptTracker {
  private static final long RETRY_BASE_MS = 250;
  private static final long MAX_RETRY_MS = 60_000;
  private static final int MAX_RETRY_DOUBLINGS = 8;

  /** A machine that refused a launch for want of resources gets no new work for this long. */
  private static final long MACHINE_BACKOFF_MS = 3_000;

  /** A job that failed on so many machines is at fault itself: more are not remembered. */
  private static final int MAX_FAILED_MACHINES = 3;

  private final TermTiming timing;
  private final StartAdmission admission;
  private final JobRegistry jobs;
  private final PendingWrites pendingWrites;
  private final FleetHealth health;
  private final ImageDistribution imageDistribution;
  private final CostAccounting costAccounting;

  /** Machines for which a launch or a stop may be due that no message has carried yet. */
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
      CostAccounting costAccounting) {
    this.timing = timing;
    this.admission = admission;
    this.jobs = jobs;
    this.pendingWrites = pendingWrites;
    this.health = health;
    this.imageDistribution = imageDistribution;
    this.costAccounting = costAccounting;
  }

  /** Machines that may have commands to be sent straight away; the caller removes them. */
  Collection<Machine> machinesWithUnsentCommands() {
    return machinesWithUnsentCommands;
  }

  /** Number of attempts made in this term. */
  long attemptsStarted() {
    return attemptsStarted;
  }

  /** Number of attempts that completed in this term. */
  long attemptsCompleted() {
    return attemptsCompleted;
  }

  /**
   * Makes an attempt; it must be committed before its launch is sent.
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
    reserve(attempt);
    imageDistribution.recordPlaced(
        attempt,
        machine.hasImage(job.spec.image()),
        source -> admission.canServeImages(source, now));
    int underWay = job.liveAttemptCount + job.doneTaskCount();
    if (job.fullyPlacedMs < 0
        && underWay >= admission.team(job.spec).maxConcurrentTasks(job.spec)) {
      job.fullyPlacedMs = now;
    }
    pendingWrites.addUncommittedStart(job.attemptRecordOf(task), now);
    return attempt;
  }

  /**
   * Takes an attempt that the records of an earlier term have: it counts until it is proven gone.
   */
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
    reserve(attempt);
    // A heartbeat of an earlier session must not look like news.
    if (incarnation > machine.incarnation) {
      machine.incarnation = incarnation;
      machine.sequence = 0;
    }
    if (job.cancelled) {
      requestStop(attempt, 0, now);
    }
  }

  /** From now on the attempt takes quota, a place in its zone and resources of its machine. */
  private void reserve(Attempt attempt) {
    Job job = attempt.job;
    job.liveAttempts[attempt.task] = attempt;
    job.liveAttemptCount++;
    job.liveAttemptsByZone[attempt.machine.zone]++;
    attempt.machine.add(attempt);
    admission.team(job.spec).add(job.spec, 1);
  }

  /** The record of these attempts is committed: those that still wait may be launched. */
  void committed(List<Attempt> recorded) {
    for (Attempt attempt : recorded) {
      if (attempt.phase == Attempt.Phase.RECORDING) {
        attempt.phase = Attempt.Phase.READY;
        pendingWrites.removeUncommittedStart(attempt.job.attemptRecordOf(attempt.task));
        machinesWithUnsentCommands.add(attempt.machine);
      }
    }
  }

  /**
   * Asks for a stop; the attempt goes on taking what it takes until it is proven gone.
   *
   * @param graceS seconds that it has to save its progress
   */
  void requestStop(Attempt attempt, double graceS, long now) {
    if (!attempt.isStopping()) {
      admission.team(attempt.job.spec).stoppingCpus += attempt.job.spec.cpus();
    }
    attempt.stop(graceS, now);
    machinesWithUnsentCommands.add(attempt.machine);
  }

  /**
   * Ends what there is of a job that is over: what was never launched at once, the rest by a stop.
   */
  void stopAll(Job job, long now) {
    for (Attempt attempt : job.liveAttempts) {
      if (attempt == null) {
        continue;
      }
      if (attempt.phase == Attempt.Phase.RECORDING) {
        resolve(attempt, AttemptOutcome.LOST, now);
      } else {
        requestStop(attempt, 0, now);
      }
    }
  }

  /** Withdraws the attempts of a job that are not committed: their launches were never sent. */
  void withdrawUncommitted(Job job, long now) {
    for (Attempt attempt : job.liveAttempts) {
      if (attempt != null && attempt.phase == Attempt.Phase.RECORDING) {
        resolve(attempt, AttemptOutcome.LOST, now);
      }
    }
  }

  /**
   * All attempts on a machine are proven gone, since the cloud deleted it or says that it failed.
   */
  void resolveAll(Machine machine, long now) {
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      resolve(attempt, AttemptOutcome.LOST, now);
    }
  }

  /**
   * Resolves the attempts of a worker whose lease must have expired. Those that were never
   * committed were never sent: the lease says nothing of them.
   */
  void expireLease(Machine machine, long now) {
    long expiryMs = leaseExpiryMs(machine);
    if (machine.attempts.isEmpty() || expiryMs < 0 || now <= expiryMs) {
      return;
    }
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.phase != Attempt.Phase.RECORDING) {
        resolve(attempt, AttemptOutcome.LOST, now);
      }
    }
  }

  /**
   * When the lease of the machine's worker must have expired if no response reaches it any more,
   * which proves its attempts gone; -1 while no lease can prove that. The worker must have seen
   * this term's token: from then on only this leader's responses renewed its lease.
   */
  long leaseExpiryMs(Machine machine) {
    return machine.highestTokenSeen >= timing.term() && machine.lastResponseMs >= 0
        ? machine.lastResponseMs + timing.leaseMs()
        : -1;
  }

  /** Frees what an attempt takes, now that it is proven gone; a second call does nothing. */
  void resolve(Attempt attempt, AttemptOutcome outcome, long now) {
    if (attempt.phase == Attempt.Phase.GONE) {
      return;
    }
    free(attempt, outcome, now);
    if (outcome == AttemptOutcome.COMPLETED && !attempt.job.spec.service()) {
      completeTask(attempt, now);
      return;
    }
    recordFailure(attempt, outcome, now);
    requeue(attempt, now);
  }

  private void free(Attempt attempt, AttemptOutcome outcome, long now) {
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
    // What an earlier leader began was seen to run for a part of its time only; and a task that
    // had completed before ends at once when it is started again.
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
      // A service's replica is to run for ever: one that ends well has failed too.
      case LAUNCH_REFUSED, COMPLETED -> {
        job.consecutiveFailures++;
        backOff(job, now);
      }
      case INSUFFICIENT_RESOURCES -> attempt.machine.backoffUntilMs = now + MACHINE_BACKOFF_MS;
      case STOPPED, LOST -> {}
    }
  }

  /** A job that keeps failing is retried ever more seldom, never in a tight loop. */
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
