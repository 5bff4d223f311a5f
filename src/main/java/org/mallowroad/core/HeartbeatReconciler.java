package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.OutboundReachability;
import org.mallowroad.core.image.ImageDistribution;

/**
 * Compares a worker's heartbeats with the attempts that the leader knows, and answers with the
 * commands that bring the two together. It resolves attempts by nothing but the proofs in the class
 * comment of {@link AttemptTracker}.
 *
 * <p><b>Why a clear command may have to wait.</b> A launch that was sent straight to a worker may
 * be executed late, or once more after it was answered: messages are delayed, and duplicates of old
 * ones come. While the worker remembers the attempt that does nothing; once it is cleared, it would
 * start again. So an attempt that was launched that way is cleared only in a message with a higher
 * fencing token than its launch had: the worker has that token when it forgets the attempt, and
 * refuses the launch from then on. For this the leader raises the token of that one worker, within
 * its term's block of tokens, at most once in {@link #TOKEN_RAISE_DELAY_MS} or for {@link
 * #TOKEN_RAISE_EXITS} exits.
 */
public final class HeartbeatReconciler {
  /**
   * An unwanted attempt whose launch is in flight for so long is ended by its machine's deletion.
   */
  private static final long DELETE_TO_FENCE_AFTER_MS = 8_000;

  /** Exits may wait so long for a higher token; a worker sends one more heartbeat for each one. */
  static final long TOKEN_RAISE_DELAY_MS = 10_000;

  /** No more exits than this wait for a higher token: heartbeats must stay small. */
  static final int TOKEN_RAISE_EXITS = 16;

  private final TermTiming timing;
  private final AttemptTracker attempts;
  private final JobRegistry jobs;
  private final FleetHealth health;
  private final ImageDistribution imageDistribution;

  HeartbeatReconciler(
      TermTiming timing,
      AttemptTracker attempts,
      JobRegistry jobs,
      FleetHealth health,
      ImageDistribution imageDistribution) {
    this.timing = timing;
    this.attempts = attempts;
    this.jobs = jobs;
    this.health = health;
    this.imageDistribution = imageDistribution;
  }

  /**
   * Takes a worker's heartbeat and answers with the commands for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service, and for a heartbeat
   *     that answers direct commands, to which no response is sent
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> reconcile(
      Machine machine, Heartbeat heartbeat, boolean mayLaunch, long now) {
    if (isOutdated(machine, heartbeat)) {
      return null;
    }
    recordDeliveryEvidence(machine, heartbeat, mayLaunch, now);
    applySession(machine, heartbeat, now);
    applyMachineStatus(machine, heartbeat, now);
    raiseFencingToken(machine, heartbeat, now);
    List<WorkerCommand> commands = new ArrayList<>();
    ObjectOpenHashSet<Attempt> listed = applyEntries(machine, heartbeat, now, commands);
    boolean launchMissed = applyUnlisted(machine, heartbeat, listed, mayLaunch, now, commands);
    // Heartbeats that answer direct commands come many to one response, which may still be on its
    // way: they do not show that it was lost.
    if (launchMissed && mayLaunch) {
      machine.health.outboundReachability().recordUnacknowledged(now);
    }
    machine.lastResponseToken = machine.fencingToken;
    return commands;
  }

  /** True for a duplicate, and for a heartbeat that a newer one has overtaken. */
  private static boolean isOutdated(Machine machine, Heartbeat heartbeat) {
    return heartbeat.incarnation() < machine.incarnation
        || (heartbeat.incarnation() == machine.incarnation
            && heartbeat.sequence() <= machine.sequence);
  }

  /** What the heartbeat shows of the responses before it; call before it is applied. */
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
    // A duplicate or a hung machine does not look like this: each heartbeat that was counted was
    // answered, and a machine that hangs sends none.
    if (machine.incarnation > 0
        && heartbeat.incarnation() > machine.incarnation
        && machine.lastHeartbeatMs >= 0
        && now - machine.lastHeartbeatMs < timing.leaseMs() / 2) {
      reachability.recordIncarnationLost(now);
    }
  }

  /** Takes the worker's session and token, and ends what they prove to be over. */
  private void applySession(Machine machine, Heartbeat heartbeat, long now) {
    if (heartbeat.incarnation() > machine.incarnation) {
      imageDistribution.removeMachine(machine); // Its cache may be empty.
      machine.unfencedLaunches.clear(); // A later session does not execute them any more.
      machine.exitsUnclearedSinceMs = -1;
    } else {
      dropFencedLaunches(machine, heartbeat.fencingToken());
    }
    // Not only when the session is news: a failover may have read records of two sessions, and the
    // earlier one's attempts would stay for ever (docs/incidents, stuck-of-an-earlier-session).
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.incarnation < heartbeat.incarnation()) {
        attempt.launchInFlight = false;
        attempts.resolve(attempt, AttemptOutcome.LOST, now);
      }
    }
    machine.incarnation = heartbeat.incarnation();
    machine.sequence = heartbeat.sequence();
    machine.highestTokenSeen = Math.max(machine.highestTokenSeen, heartbeat.fencingToken());
  }

  /** The worker refuses launches with a lower token than it has seen from now on. */
  private static void dropFencedLaunches(Machine machine, long tokenSeen) {
    if (machine.unfencedLaunches.isEmpty()) {
      return;
    }
    machine.unfencedLaunches.values().removeIf(token -> token < tokenSeen);
    for (Attempt attempt : machine.attempts) {
      if (attempt.launchInFlight && attempt.launchToken < tokenSeen) {
        attempt.launchInFlight = false;
      }
    }
  }

  private void applyMachineStatus(Machine machine, Heartbeat heartbeat, long now) {
    if (machine.health.isHeartbeatOverdue() && machine.isEmpty()) {
      machine.idleSinceMs = now; // Nothing could use it meanwhile: it has not been idle for long.
    }
    // A heartbeat that waited while this process was paused is as old as the pause.
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

  /** Raises the worker's token when exits have waited long enough for it, or a fence is due. */
  private void raiseFencingToken(Machine machine, Heartbeat heartbeat, long now) {
    boolean due = exitsNeedHigherToken(machine, heartbeat, now);
    for (Attempt attempt : machine.attempts) {
      due |=
          attempt.launchInFlight
              && attempt.isStopping()
              && attempt.launchToken == machine.fencingToken;
    }
    due |= machine.health.outboundReachability().startProbeIfDue(now);
    // The last token of the block is never raised: then launches go in responses only.
    if (due && machine.fencingToken < FencingTokens.last(timing.term())) {
      machine.fencingToken++;
      machine.exitsUnclearedSinceMs = -1;
    }
  }

  private static boolean exitsNeedHigherToken(Machine machine, Heartbeat heartbeat, long now) {
    if (machine.exitsUnclearedSinceMs < 0) {
      return false;
    }
    if (now - machine.exitsUnclearedSinceMs >= TOKEN_RAISE_DELAY_MS) {
      return true;
    }
    int exited = 0;
    for (Heartbeat.Entry entry : heartbeat.entries()) {
      exited += entry.state() == Heartbeat.State.EXITED ? 1 : 0;
    }
    return exited >= TOKEN_RAISE_EXITS;
  }

  /** Applies what the worker says of each of its tasks; returns the attempts that it lists. */
  private ObjectOpenHashSet<Attempt> applyEntries(
      Machine machine, Heartbeat heartbeat, long now, List<WorkerCommand> commands) {
    ObjectOpenHashSet<Attempt> listed = new ObjectOpenHashSet<>();
    for (Heartbeat.Entry entry : heartbeat.entries()) {
      Job job = jobs.get(entry.job());
      boolean hasTask = job != null && entry.task() >= 0 && entry.task() < job.spec.tasks();
      Attempt attempt = hasTask ? job.liveAttempts[entry.task()] : null;
      if (attempt == null
          || attempt.number != entry.attempt()
          || attempt.machine != machine
          || attempt.incarnation != heartbeat.incarnation()) {
        answerUnknownAttempt(machine, entry, hasTask ? job : null, now, commands);
        continue;
      }
      if (attempt.launchInHeartbeatResponse && attempt.phase == Attempt.Phase.READY) {
        machine.health.outboundReachability().recordAcknowledged();
      }
      listed.add(attempt);
      applyTaskStatus(attempt, entry, now, commands);
    }
    return listed;
  }

  /**
   * Answers an entry that is no live attempt: what runs is stopped, what exited is cleared once its
   * exit is committed and no launch of it can start it again.
   *
   * @param job the entry's job when it has such a task, else null
   */
  private static void answerUnknownAttempt(
      Machine machine, Heartbeat.Entry entry, Job job, long now, List<WorkerCommand> commands) {
    if (entry.state() != Heartbeat.State.EXITED) {
      commands.add(command(WorkerCommand.Kind.STOP, entry));
      return;
    }
    if (job != null && job.attemptRecordOf(entry.task()).dirty) {
      return; // Its exit is not committed yet, as far as is known.
    }
    long launchToken =
        machine.unfencedLaunches.getLong(Attempt.key(entry.job(), entry.task(), entry.attempt()));
    if (launchToken < machine.fencingToken) {
      commands.add(command(WorkerCommand.Kind.CLEAR, entry));
    } else if (machine.exitsUnclearedSinceMs < 0) {
      machine.exitsUnclearedSinceMs = now;
    }
  }

  /** Takes what the worker says of a live attempt. */
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
        attempts.resolve(attempt, outcome(entry.exitReason()), now);
        return;
      }
    }
    if (attempt.isStopping()
        && (attempt.phase != Attempt.Phase.FLUSHING || attempt.stopGraceS == 0)) {
      commands.add(stopCommand(attempt));
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
      // A gang's task gives up without its peers; it is not at fault.
      case "stopped", "peers", "incomplete" -> AttemptOutcome.STOPPED;
      case "no_room" -> AttemptOutcome.INSUFFICIENT_RESOURCES;
      case "in_use", "no_such" -> AttemptOutcome.LAUNCH_REFUSED;
      default -> AttemptOutcome.FAILED;
    };
  }

  /**
   * Launches the attempts of the worker's session that it does not list, or resolves them where
   * that proves them gone.
   *
   * @return true when an earlier response carried the launch of one of them
   */
  private boolean applyUnlisted(
      Machine machine,
      Heartbeat heartbeat,
      ObjectOpenHashSet<Attempt> listed,
      boolean mayLaunch,
      long now,
      List<WorkerCommand> commands) {
    boolean obeysThisTerm = heartbeat.fencingToken() >= timing.term();
    boolean launchMissed = false;
    for (Attempt attempt : new ArrayList<>(machine.attempts)) {
      if (attempt.incarnation != heartbeat.incarnation() || listed.contains(attempt)) {
        continue;
      }
      boolean committed = attempt.phase == Attempt.Phase.READY;
      launchMissed |= attempt.launchInHeartbeatResponse && committed;
      if (committed && !attempt.isStopping()) {
        if (mayLaunch) {
          attempt.launchSent = true;
          attempt.launchInHeartbeatResponse = true;
          commands.add(launchCommand(attempt));
        }
      } else if (attempt.phase != Attempt.Phase.RECORDING
          && obeysThisTerm
          && !attempt.launchInFlight) {
        // Responses carry launches too. So a newer heartbeat of a worker that obeys this term and
        // does not list the attempt proves that it has ended, or never started; but a launch that
        // was sent straight to the worker may still come.
        attempts.resolve(attempt, AttemptOutcome.LOST, now);
      }
    }
    return launchMissed;
  }

  /** A launch as its worker is to have it: one that can fetch images from others is told whom. */
  public WorkerCommand launchCommand(Attempt attempt) {
    List<String> imageSources =
        attempt.machine.servesImages ? imageDistribution.imageSources(attempt) : List.of();
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH,
        attempt.job.spec.id(),
        attempt.task,
        attempt.number,
        0,
        imageSources);
  }

  private static WorkerCommand stopCommand(Attempt attempt) {
    return new WorkerCommand(
        WorkerCommand.Kind.STOP,
        attempt.job.spec.id(),
        attempt.task,
        attempt.number,
        attempt.stopGraceS);
  }

  private static WorkerCommand command(WorkerCommand.Kind kind, Heartbeat.Entry entry) {
    return new WorkerCommand(kind, entry.job(), entry.task(), entry.attempt(), 0);
  }

  /**
   * Commands to be sent straight to the worker now: launches that no message has carried yet, and
   * stops. Launches count as in flight until {@link #directCommandsAnswered}.
   */
  public List<WorkerCommand> takeDirectCommands(Machine machine, boolean mayLaunch, long now) {
    List<WorkerCommand> commands = new ArrayList<>();
    if (!takesDirectCommands(machine, now)) {
      return commands;
    }
    boolean launches = mayLaunch && machine.fencingToken < FencingTokens.last(timing.term());
    for (Attempt attempt : machine.attempts) {
      if (attempt.incarnation != machine.incarnation) {
        continue;
      }
      if (launches
          && attempt.phase == Attempt.Phase.READY
          && !attempt.launchSent
          && !attempt.isStopping()) {
        attempt.launchSent = true;
        attempt.launchInFlight = true;
        attempt.launchToken = machine.fencingToken;
        machine.unfencedLaunches.put(attempt.key(), machine.fencingToken);
        commands.add(launchCommand(attempt));
      } else if (attempt.isStopping()
          && !attempt.stopSentDirectly
          && (attempt.phase == Attempt.Phase.PULLING || attempt.phase == Attempt.Phase.RUNNING)) {
        attempt.stopSentDirectly = true;
        commands.add(stopCommand(attempt));
      }
    }
    return commands;
  }

  /** Only a worker that obeys this term and was heard a moment ago is worth the risk. */
  private boolean takesDirectCommands(Machine machine, long now) {
    return machine.isUsable()
        && machine.highestTokenSeen >= timing.term()
        && now - machine.lastHeartbeatMs <= timing.heartbeatOverdueMs()
        && !machine.health.outboundReachability().isBroken();
  }

  /**
   * The worker answered direct commands, or certainly never got them: no launch is in flight.
   * Duplicates of one that was answered may still come, so the attempt stays unfenced.
   */
  public void directCommandsAnswered(Machine machine, List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      for (Attempt attempt : machine.attempts) {
        if (attempt.job.spec.id().equals(command.job())
            && attempt.task == command.task()
            && attempt.number == command.attempt()) {
          attempt.launchInFlight = false;
        }
      }
    }
  }

  /**
   * True when an attempt that is not wanted any more may still be started by a launch in flight:
   * only the machine's deletion ends that in time.
   */
  public boolean needsDeletionToFence(Machine machine, long now) {
    for (Attempt attempt : machine.attempts) {
      if (attempt.launchInFlight
          && attempt.isStopping()
          && attempt.phase == Attempt.Phase.READY
          && now - attempt.stopRequestedMs > DELETE_TO_FENCE_AFTER_MS) {
        return true;
      }
    }
    return false;
  }
}
