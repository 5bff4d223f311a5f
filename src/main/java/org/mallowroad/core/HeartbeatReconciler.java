package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.OutboundReachability;
import org.mallowroad.core.image.ImageDistribution;

/**
 * Reconciles a worker's heartbeats with the attempts that the leader knows, and returns the
 * commands that make the worker match the leader's state. Attempts are resolved only by the proofs
 * listed in the class comment of {@link AttemptTracker}.
 *
 * <p><b>Why a clear command may have to wait.</b> The network may delay or duplicate messages, so a
 * launch that was sent in a direct command may be executed late, or again after it was answered.
 * While the worker remembers the attempt, a second launch has no effect; after the attempt is
 * cleared, it would start the task again. Therefore an attempt that was launched by a direct
 * command is cleared only in a message whose fencing token is higher than the launch's: the worker
 * knows that token when it forgets the attempt, and rejects the launch from then on. To do this the
 * leader raises the token of that worker within the term's block of tokens, once the oldest exit
 * has waited for {@link #TOKEN_RAISE_DELAY_MS} or {@link #TOKEN_RAISE_EXIT_COUNT} exits are listed.
 */
public final class HeartbeatReconciler {
  /** Maximum wait of an exit for a higher token. Each raise costs the worker an extra heartbeat. */
  static final long TOKEN_RAISE_DELAY_MS = 10_000;

  /** Number of listed exits that raises the token at once, to keep heartbeats small. */
  static final int TOKEN_RAISE_EXIT_COUNT = 16;

  private final TermTiming timing;
  private final AttemptTracker attempts;
  private final JobRegistry jobs;
  private final FleetHealth health;
  private final ImageDistribution imageDistribution;
  private final WorkerCommandFactory commandFactory;
  private final AttemptAudit audit;

  HeartbeatReconciler(
      TermTiming timing,
      AttemptTracker attempts,
      JobRegistry jobs,
      FleetHealth health,
      ImageDistribution imageDistribution,
      WorkerCommandFactory commandFactory,
      AttemptAudit audit) {
    this.timing = timing;
    this.attempts = attempts;
    this.jobs = jobs;
    this.health = health;
    this.imageDistribution = imageDistribution;
    this.commandFactory = commandFactory;
    this.audit = audit;
  }

  /**
   * Applies a heartbeat that a worker sent by itself and returns the commands for the worker.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the heartbeat is not newer than the newest one seen and must be ignored
   */
  public List<WorkerCommand> reconcile(
      Machine machine, Heartbeat heartbeat, boolean mayLaunch, long now) {
    if (isOutdated(machine, heartbeat)) {
      applyOutdatedReport(machine, heartbeat);
      return null;
    }
    return apply(machine, heartbeat, HeartbeatSource.REPORT, mayLaunch, now);
  }

  /** Applies the heartbeat in a worker's answer to direct commands, unless it is outdated. */
  void reconcileCommandResponse(Machine machine, Heartbeat heartbeat, long now) {
    if (!isOutdated(machine, heartbeat)) {
      apply(machine, heartbeat, HeartbeatSource.COMMAND_RESPONSE, false, now);
    }
  }

  private List<WorkerCommand> apply(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, boolean mayLaunch, long now) {
    recordDeliveryEvidence(machine, heartbeat, mayLaunch, now);
    applySession(machine, heartbeat, source, now);
    applyMachineStatus(machine, heartbeat, now);
    ObjectOpenHashSet<Attempt> listedAttempts = listedAttempts(machine, heartbeat);
    raiseFencingTokenIfNeeded(machine, heartbeat, listedAttempts, now);
    List<WorkerCommand> commands = new ArrayList<>();
    applyEntries(machine, heartbeat, now, commands);
    boolean launchUnacknowledged =
        applyUnlisted(machine, heartbeat, listedAttempts, mayLaunch, now, commands);
    // Several heartbeats that answer direct commands may arrive while one heartbeat response is
    // still in transit, so they are no evidence that the response was lost.
    if (launchUnacknowledged && mayLaunch) {
      machine.health.outboundReachability().recordUnacknowledged(now);
    }
    machine.lastResponseToken = machine.fencingToken;
    return commands;
  }

  /** True for a duplicate and for a heartbeat that arrives after a newer one. */
  private static boolean isOutdated(Machine machine, Heartbeat heartbeat) {
    return heartbeat.incarnation() < machine.incarnation
        || (heartbeat.incarnation() == machine.incarnation
            && heartbeat.sequence() <= machine.sequence);
  }

  /**
   * Takes from an outdated report the two facts that hold whenever it arrives: the worker has given
   * up the response to the report before it, and a worker that does not know this term's token any
   * more may have restarted.
   */
  private void applyOutdatedReport(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.incarnation() == machine.incarnation) {
      machine.reportSequence = Math.max(machine.reportSequence, heartbeat.sequence());
    }
    if (mayHaveForgottenLaunches(machine, heartbeat)) {
      raiseFencingToken(machine, TokenRaiseReason.RESTARTED_WORKER);
    }
  }

  /**
   * True when the worker does not know this term's token although it has acknowledged it, and
   * launches with the current token are not fenced. If the worker has restarted, it does not
   * remember these attempts, and late duplicates of their launches would start them again.
   */
  private boolean mayHaveForgottenLaunches(Machine machine, Heartbeat heartbeat) {
    return machine.highestTokenSeen >= timing.term()
        && heartbeat.fencingToken() < timing.term()
        && machine.unfencedLaunches.containsValue(machine.fencingToken);
  }

  /**
   * Records what the heartbeat shows about the delivery of earlier responses. Must be called before
   * the heartbeat is applied.
   */
  private void recordDeliveryEvidence(
      Machine machine, Heartbeat heartbeat, boolean mayLaunch, long now) {
    OutboundReachability reachability = machine.health.outboundReachability();
    if (machine.lastResponseToken > 0 && heartbeat.fencingToken() < machine.lastResponseToken) {
      if (mayLaunch) {
        reachability.recordUnacknowledged(now);
      }
    } else if (machine.lastResponseToken > machine.highestTokenSeen
        && machine.lastResponseToken > 0) {
      reachability.recordAcknowledged();
    }
    // The worker lost its session although its recent heartbeats were answered. Neither duplicates,
    // which were dropped above, nor a hung machine, which sends no heartbeats, cause this.
    if (machine.incarnation > 0
        && heartbeat.incarnation() > machine.incarnation
        && machine.lastHeartbeatMs >= 0
        && now - machine.lastHeartbeatMs < timing.leaseMs() / 2) {
      reachability.recordIncarnationLost(now);
    }
  }

  /** Applies the worker's incarnation and token, and resolves the attempts they prove gone. */
  private void applySession(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    if (heartbeat.incarnation() > machine.incarnation) {
      machine.reportSequence = 0;
      imageDistribution.removeMachine(machine); // The new session's image cache may be empty.
      machine.unfencedLaunches.clear(); // The new session does not execute them.
      machine.exitsAwaitingTokenSinceMs = -1;
    } else {
      dropFencedLaunches(machine, heartbeat.fencingToken());
    }
    // Done for every heartbeat, not only for the first of a session: a failover may restore
    // attempts of two sessions, and those of the earlier one would otherwise never be resolved
    // (docs/incidents, stuck-of-an-earlier-session).
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.incarnation < heartbeat.incarnation()) {
        attempts.resolve(attempt, AttemptOutcome.LOST, ResolutionProof.NEW_SESSION, now);
      }
    }
    machine.lease.recordMessage(heartbeat.incarnation(), heartbeat.fencingToken(), now);
    machine.incarnation = heartbeat.incarnation();
    machine.sequence = heartbeat.sequence();
    machine.lastHeartbeatSource = source;
    if (source == HeartbeatSource.REPORT) {
      machine.reportSequence = heartbeat.sequence();
    }
    machine.highestTokenSeen = Math.max(machine.highestTokenSeen, heartbeat.fencingToken());
  }

  /**
   * Drops launches with a lower token than the worker has seen, since it rejects them from now on.
   */
  private static void dropFencedLaunches(Machine machine, long tokenSeen) {
    if (!machine.unfencedLaunches.isEmpty()) {
      machine.unfencedLaunches.values().removeIf(token -> token < tokenSeen);
    }
  }

  private void applyMachineStatus(Machine machine, Heartbeat heartbeat, long now) {
    if (machine.health.isHeartbeatOverdue() && machine.isEmpty()) {
      machine.idleSinceMs = now; // While overdue it got no tasks; that time is not idle time.
    }
    // After a pause of this process the heartbeat counts as received when the pause began.
    machine.lastHeartbeatMs = health.recordHeartbeat(machine.health, now);
    machine.address = heartbeat.address();
    machine.servesImages = heartbeat.servesImages();
    if (heartbeat.interruptionNoticeS() >= 0) {
      machine.interruptionMs = now + (long) (heartbeat.interruptionNoticeS() * 1000);
      if (machine.interruptionNoticeMs == 0) {
        machine.interruptionNoticeMs = now;
      }
      machine.draining = true;
    }
  }

  /** Raises the worker's token when waiting exits, a launch in transit or a probe require it. */
  private void raiseFencingTokenIfNeeded(
      Machine machine, Heartbeat heartbeat, ObjectOpenHashSet<Attempt> listedAttempts, long now) {
    // Evaluated first, since a token that is raised for another reason serves as the probe.
    boolean isProbeDue = machine.health.outboundReachability().startProbeIfDue(now);
    if (exitsNeedHigherToken(machine, heartbeat, now)) {
      raiseFencingToken(machine, TokenRaiseReason.EXITS_TO_CLEAR);
    } else if (mayHaveForgottenLaunches(machine, heartbeat)) {
      raiseFencingToken(machine, TokenRaiseReason.RESTARTED_WORKER);
    } else if (hasUnlistedLaunchToFence(machine, listedAttempts)) {
      raiseFencingToken(machine, TokenRaiseReason.UNLISTED_LAUNCH);
    } else if (isProbeDue) {
      raiseFencingToken(machine, TokenRaiseReason.REACHABILITY_PROBE);
    }
  }

  /** True when a direct launch may still start an attempt that must not start any more. */
  private static boolean hasUnlistedLaunchToFence(
      Machine machine, ObjectOpenHashSet<Attempt> listedAttempts) {
    for (Attempt attempt : machine.attempts) {
      // An unlisted attempt that was listed before is one that the worker forgot in a restart.
      if (attempt.launchMessages.mayArriveInCommand(machine.fencingToken)
          && (attempt.isStopping() || attempt.phase != Attempt.Phase.READY)
          && !listedAttempts.contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  private void raiseFencingToken(Machine machine, TokenRaiseReason reason) {
    // At the block's last token there is no higher one, so launches go in responses only.
    if (machine.fencingToken < FencingTokens.last(timing.term())) {
      machine.fencingToken++;
      machine.exitsAwaitingTokenSinceMs = -1;
      audit.recordTokenRaise(reason);
    }
  }

  private static boolean exitsNeedHigherToken(Machine machine, Heartbeat heartbeat, long now) {
    if (machine.exitsAwaitingTokenSinceMs < 0) {
      return false;
    }
    if (now - machine.exitsAwaitingTokenSinceMs >= TOKEN_RAISE_DELAY_MS) {
      return true;
    }
    int exitCount = 0;
    for (Heartbeat.Entry entry : heartbeat.entries()) {
      exitCount += entry.state() == Heartbeat.State.EXITED ? 1 : 0;
    }
    return exitCount >= TOKEN_RAISE_EXIT_COUNT;
  }

  /** The live attempts on the machine that the heartbeat lists. */
  private ObjectOpenHashSet<Attempt> listedAttempts(Machine machine, Heartbeat heartbeat) {
    ObjectOpenHashSet<Attempt> listedAttempts = new ObjectOpenHashSet<>();
    for (Heartbeat.Entry entry : heartbeat.entries()) {
      Attempt attempt = liveAttempt(machine, heartbeat, entry);
      if (attempt != null) {
        listedAttempts.add(attempt);
      }
    }
    return listedAttempts;
  }

  /** The live attempt that an entry describes, or null if it describes none. */
  private Attempt liveAttempt(Machine machine, Heartbeat heartbeat, Heartbeat.Entry entry) {
    Job job = jobWithTask(entry);
    Attempt attempt = job == null ? null : job.liveAttempts[entry.task()];
    boolean matches =
        attempt != null
            && attempt.number == entry.attempt()
            && attempt.machine == machine
            && attempt.incarnation == heartbeat.incarnation();
    return matches ? attempt : null;
  }

  /** The entry's job, or null if it is unknown or has no such task. */
  private Job jobWithTask(Heartbeat.Entry entry) {
    Job job = jobs.get(entry.job());
    return job != null && entry.task() >= 0 && entry.task() < job.spec.tasks() ? job : null;
  }

  /** Applies the reported status of each task. */
  private void applyEntries(
      Machine machine, Heartbeat heartbeat, long now, List<WorkerCommand> commands) {
    for (Heartbeat.Entry entry : heartbeat.entries()) {
      Attempt attempt = liveAttempt(machine, heartbeat, entry);
      if (attempt == null) {
        answerUnknownAttempt(machine, entry, jobWithTask(entry), now, commands);
        continue;
      }
      if (attempt.launchMessages.wasInResponse() && attempt.phase == Attempt.Phase.READY) {
        machine.health.outboundReachability().recordAcknowledged();
      }
      applyTaskStatus(attempt, entry, now, commands);
    }
  }

  /**
   * Handles an entry that is not a live attempt. A task that has not exited is stopped. An exited
   * one is cleared once its exit is committed and no launch can start it again.
   *
   * @param job the entry's job; null when the job is unknown or has no such task
   */
  private static void answerUnknownAttempt(
      Machine machine, Heartbeat.Entry entry, Job job, long now, List<WorkerCommand> commands) {
    if (entry.state() != Heartbeat.State.EXITED) {
      commands.add(command(WorkerCommand.Kind.STOP, entry));
      return;
    }
    if (job != null && job.attemptRecordOf(entry.task()).dirty) {
      return; // The exit may not be committed yet.
    }
    long launchToken =
        machine.unfencedLaunches.getLong(Attempt.key(entry.job(), entry.task(), entry.attempt()));
    if (launchToken < machine.fencingToken) {
      commands.add(command(WorkerCommand.Kind.CLEAR, entry));
    } else if (machine.exitsAwaitingTokenSinceMs < 0) {
      machine.exitsAwaitingTokenSinceMs = now;
    }
  }

  /** Applies the reported status of a live attempt. */
  private void applyTaskStatus(
      Attempt attempt, Heartbeat.Entry entry, long now, List<WorkerCommand> commands) {
    switch (entry.state()) {
      case PULLING -> {
        if (attempt.restoredFromRecord && attempt.phase == Attempt.Phase.READY) {
          imageDistribution.recordRecoveredFetch(attempt);
        }
        attempt.phase = Attempt.Phase.PULLING;
      }
      case RUNNING -> applyRunning(attempt, Attempt.Phase.RUNNING, now);
      case FLUSHING -> applyRunning(attempt, Attempt.Phase.FLUSHING, now);
      case EXITED -> {
        attempts.resolve(attempt, outcome(entry.exitReason()), ResolutionProof.WORKER_REPORT, now);
        return;
      }
    }
    if (attempt.isStopping()
        && (attempt.phase != Attempt.Phase.FLUSHING || attempt.stopGraceS == 0)) {
      commands.add(commandFactory.stop(attempt));
    }
  }

  private void applyRunning(Attempt attempt, Attempt.Phase phase, long now) {
    if (attempt.phase != Attempt.Phase.RUNNING && attempt.phase != Attempt.Phase.FLUSHING) {
      JobSpec spec = attempt.job.spec;
      attempt.job.runningCount++;
      attempt.runningSinceMs = now;
      attempt.machine.recordImageUse(spec.image(), spec.imageGb());
      imageDistribution.recordRunning(attempt);
    }
    attempt.phase = phase;
  }

  private static AttemptOutcome outcome(String exitReason) {
    return switch (exitReason == null ? "" : exitReason) {
      case "done" -> AttemptOutcome.COMPLETED;
      // A gang's task that gives up because other tasks are missing has not failed itself.
      case "stopped", "peers", "incomplete" -> AttemptOutcome.STOPPED;
      case "no_room" -> AttemptOutcome.INSUFFICIENT_RESOURCES;
      case "in_use", "no_such" -> AttemptOutcome.LAUNCH_REFUSED;
      default -> AttemptOutcome.FAILED;
    };
  }

  /**
   * Handles the attempts of the worker's session that the heartbeat does not list: launches those
   * that are ready, and resolves those whose absence proves them gone.
   *
   * @return true when an earlier heartbeat response carried the launch of one that is not listed
   */
  private boolean applyUnlisted(
      Machine machine,
      Heartbeat heartbeat,
      ObjectOpenHashSet<Attempt> listedAttempts,
      boolean mayLaunch,
      long now,
      List<WorkerCommand> commands) {
    boolean launchUnacknowledged = false;
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.incarnation != heartbeat.incarnation() || listedAttempts.contains(attempt)) {
        continue;
      }
      boolean ready = attempt.phase == Attempt.Phase.READY;
      launchUnacknowledged |= attempt.launchMessages.wasInResponse() && ready;
      if (ready && !attempt.isStopping()) {
        // On an interrupted machine the attempt is stopped next and has never been launched.
        if (mayLaunch && !machine.isInterrupted()) {
          attempt.launchMessages.recordResponse(heartbeat.sequence());
          commands.add(commandFactory.launch(attempt));
        }
      } else if (attempt.phase != Attempt.Phase.RECORDING
          && provesUnlistedGone(attempt, heartbeat)) {
        attempts.resolve(attempt, AttemptOutcome.LOST, ResolutionProof.UNLISTED, now);
      }
    }
    return launchUnacknowledged;
  }

  /**
   * True when a heartbeat that does not list the attempt proves that it has ended or never started:
   * no message can start it any more. The worker rejects the messages of earlier terms once it has
   * seen this term's token; {@link LaunchMessages} tells of those of this term.
   */
  private boolean provesUnlistedGone(Attempt attempt, Heartbeat heartbeat) {
    return heartbeat.fencingToken() >= timing.term()
        && !attempt.launchMessages.mayArriveInResponse(attempt.machine.reportSequence)
        && !attempt.launchMessages.mayArriveInCommand(heartbeat.fencingToken());
  }

  private static WorkerCommand command(WorkerCommand.Kind kind, Heartbeat.Entry entry) {
    return new WorkerCommand(kind, entry.job(), entry.task(), entry.attempt(), 0);
  }
}
