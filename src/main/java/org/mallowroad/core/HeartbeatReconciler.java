package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.OutboundReachability;

/**
 * What one machine's worker says, what it proves, and what it is told. Frees attempts by nothing
 * but the proofs in the class comment of {@link SchedulerState}.
 *
 * <p>A launch that was sent straight to a worker may be executed late, or once more after it was
 * answered: messages are held, and copies of old ones come. While the worker remembers the attempt
 * that does nothing; once it is cleared, it would start again. So an attempt that was launched that
 * way is cleared only in a message with a higher token than its launch had: the worker has that
 * token when it forgets the attempt, and refuses the launch from then on. For this the leader
 * raises the token of that one worker, within its term's block of tokens, at most once in {@link
 * #TOKEN_RAISE_DELAY_MS} or for {@link #TOKEN_RAISE_EXITS} exits.
 */
public final class HeartbeatReconciler {
  private static final long DELETE_TO_FENCE_AFTER_MS = 8_000;

  /** Exits may wait so long for a higher token; a worker reports once more for each one. */
  static final long TOKEN_RAISE_DELAY_MS = 10_000;

  /** No more exits than this wait: reports must stay small. */
  static final int TOKEN_RAISE_EXITS = 16;

  private final SchedulerState schedulerState;
  private final Map<String, Job> jobs;
  private final FleetHealth health;
  private final long term;
  private final long heartbeatOverdueMs;
  private final long leaseMs;

  HeartbeatReconciler(
      SchedulerState schedulerState,
      Map<String, Job> jobs,
      FleetHealth health,
      long term,
      long freshMs,
      long leaseMs) {
    this.schedulerState = schedulerState;
    this.jobs = jobs;
    this.health = health;
    this.term = term;
    this.heartbeatOverdueMs = freshMs;
    this.leaseMs = leaseMs;
  }

  /**
   * Takes a worker's report and answers with the orders for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> reconcile(Machine m, Heartbeat r, boolean mayLaunch, long now) {
    if (r.incarnation() < m.incarnation
        || (r.incarnation() == m.incarnation && r.sequence() <= m.sequence)) {
      return null;
    }
    recordDeliveryEvidence(m, r, mayLaunch, now);
    if (r.incarnation() > m.incarnation) {
      schedulerState.imageDistribution().lost(m); // Its cache may be empty.
      m.unfencedLaunches.clear(); // Orders for an earlier session are not executed any more.
      m.exitsUnclearedSinceMs = -1;
    } else {
      dropFencedLaunches(m, r.fencingToken());
    }
    // Not only when the session is news: a takeover may have read records of two sessions, and the
    // earlier one's attempts would stay for ever (docs/incidents, stuck-of-an-earlier-session).
    for (Attempt a : new ArrayList<>(m.attempts)) {
      if (a.incarnation < r.incarnation()) {
        a.launchInFlight = false;
        schedulerState.resolve(a, AttemptOutcome.LOST, now);
      }
    }
    m.incarnation = r.incarnation();
    m.sequence = r.sequence();
    m.highestTokenSeen = Math.max(m.highestTokenSeen, r.fencingToken());
    if (m.health.isOverdue() && m.isEmpty()) {
      m.idleSinceMs = now; // Nobody could use it meanwhile: it is not idle for long.
    }
    // A report that waited while this process stood still is as old as the standstill.
    m.lastHeartbeatMs = health.recordHeartbeat(m.health, now);
    m.address = r.address();
    m.servesImages = r.servesImages();
    if (r.interruptionNoticeS() >= 0) {
      m.interruptionMs = now + (long) (r.interruptionNoticeS() * 1000);
      m.interruptionNoticeMs = m.interruptionNoticeMs == 0 ? now : m.interruptionNoticeMs;
      m.draining = true;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    raiseFencingToken(m, r, now);
    ObjectOpenHashSet<Attempt> listed = new ObjectOpenHashSet<>();
    for (Heartbeat.Entry e : r.entries()) {
      Job job = jobs.get(e.job());
      Attempt a = null;
      if (job != null && e.task() >= 0 && e.task() < job.spec.tasks()) {
        a = job.liveAttempts[e.task()];
        if (a != null
            && (a.number != e.attempt() || a.machine != m || a.incarnation != r.incarnation())) {
          a = null;
        }
      }
      if (a == null) {
        answerUnknownAttempt(m, e, job, now, commands);
      } else {
        if (a.launchInHeartbeatResponse && a.phase == Attempt.Phase.COMMITTED) {
          m.health.outboundReachability().recordAcknowledged();
        }
        listed.add(a);
        applyTaskStatus(a, e, now, commands);
      }
    }
    boolean unheeded = false;
    for (Attempt a : new ArrayList<>(m.attempts)) {
      if (a.incarnation != r.incarnation() || listed.contains(a)) {
        continue;
      }
      unheeded |= a.launchInHeartbeatResponse && a.phase == Attempt.Phase.COMMITTED;
      boolean fresh = r.fencingToken() >= term;
      if (a.phase == Attempt.Phase.COMMITTED) {
        if (a.isStopping()) {
          // Launches travel in report responses only, so a newer report of a worker that obeys
          // this term and does not list the attempt proves that it never started.
          // A launch sent straight to the worker may still come.
          if (fresh && !a.launchInFlight) {
            schedulerState.resolve(a, AttemptOutcome.LOST, now);
          }
        } else if (mayLaunch) {
          a.launchSent = true;
          a.launchInHeartbeatResponse = true;
          commands.add(launchCommand(a));
        }
      } else if (a.phase != Attempt.Phase.RECORDING && fresh && !a.launchInFlight) {
        schedulerState.resolve(a, AttemptOutcome.LOST, now);
      }
    }
    // Reports that answer direct orders come many to one answer, which may still be on its way.
    if (unheeded && mayLaunch) {
      m.health.outboundReachability().recordUnacknowledged(now);
    }
    m.lastResponseToken = m.fencingToken;
    return commands;
  }

  /** What the report shows of the answers before it; call before it is taken. */
  private void recordDeliveryEvidence(Machine m, Heartbeat r, boolean ordinary, long now) {
    OutboundReachability outbound = m.health.outboundReachability();
    if (m.lastResponseToken > 0 && r.fencingToken() < m.lastResponseToken) {
      if (ordinary) {
        outbound.recordUnacknowledged(now);
      }
    } else if (m.lastResponseToken > m.highestTokenSeen && m.lastResponseToken > 0) {
      outbound.recordAcknowledged();
    }
    // A copy or a hung machine does not look like this: each report that was counted was answered,
    // and a machine that hangs sends none.
    if (m.incarnation > 0
        && r.incarnation() > m.incarnation
        && m.lastHeartbeatMs >= 0
        && now - m.lastHeartbeatMs < leaseMs / 2) {
      outbound.recordIncarnationLost(now);
    }
  }

  /** Launches with a lower token than the worker has seen are refused from now on. */
  private static void dropFencedLaunches(Machine m, long seen) {
    if (m.unfencedLaunches.isEmpty()) {
      return;
    }
    m.unfencedLaunches.values().removeIf(t -> t < seen);
    for (Attempt a : m.attempts) {
      if (a.launchInFlight && a.launchToken < seen) {
        a.launchInFlight = false;
      }
    }
  }

  /** Raises the worker's token when exits have waited long enough for it, or a fence is due. */
  private void raiseFencingToken(Machine m, Heartbeat r, long now) {
    boolean due =
        m.exitsUnclearedSinceMs >= 0 && now - m.exitsUnclearedSinceMs >= TOKEN_RAISE_DELAY_MS;
    if (!due && m.exitsUnclearedSinceMs >= 0) {
      int exited = 0;
      for (Heartbeat.Entry e : r.entries()) {
        exited += e.state() == Heartbeat.State.EXITED ? 1 : 0;
      }
      due = exited >= TOKEN_RAISE_EXITS;
    }
    for (Attempt a : m.attempts) {
      due |= a.launchInFlight && a.isStopping() && a.launchToken == m.fencingToken;
    }
    due |= m.health.outboundReachability().takeProbe(now);
    // The last token of the block is never raised: then launches go in answers only (direct).
    if (due && m.fencingToken < FencingTokens.last(term)) {
      m.fencingToken++;
      m.exitsUnclearedSinceMs = -1;
    }
  }

  private void answerUnknownAttempt(
      Machine m, Heartbeat.Entry e, Job job, long now, List<WorkerCommand> commands) {
    if (e.state() != Heartbeat.State.EXITED) {
      commands.add(new WorkerCommand(WorkerCommand.Kind.STOP, e.job(), e.task(), e.attempt(), 0));
      return;
    }
    boolean uncommitted =
        job != null
            && e.task() >= 0
            && e.task() < job.spec.tasks()
            && job.attemptRecords[e.task() / AttemptRecord.TASKS_PER_RECORD].dirty;
    if (uncommitted) {
      return;
    }
    if (m.unfencedLaunches.getLong(Attempt.key(e.job(), e.task(), e.attempt())) >= m.fencingToken) {
      m.exitsUnclearedSinceMs = m.exitsUnclearedSinceMs < 0 ? now : m.exitsUnclearedSinceMs;
    } else {
      commands.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, e.job(), e.task(), e.attempt(), 0));
    }
  }

  private void applyTaskStatus(
      Attempt a, Heartbeat.Entry e, long now, List<WorkerCommand> commands) {
    boolean ran = a.phase == Attempt.Phase.RUNNING || a.phase == Attempt.Phase.FLUSHING;
    switch (e.state()) {
      case PULLING -> {
        if (a.restoredFromRecord && a.phase == Attempt.Phase.COMMITTED) {
          schedulerState.imageDistribution().found(a, now);
        }
        a.phase = Attempt.Phase.PULLING;
      }
      case RUNNING, FLUSHING -> {
        if (!ran) {
          a.job.runningCount++;
          a.runningSinceMs = now;
          a.machine.recordImageUse(a.job.spec.image(), a.job.spec.imageGb());
          schedulerState.imageDistribution().runs(a);
        }
        a.phase =
            e.state() == Heartbeat.State.RUNNING ? Attempt.Phase.RUNNING : Attempt.Phase.FLUSHING;
      }
      case EXITED -> {
        schedulerState.resolve(a, outcome(e.exitReason()), now);
        return;
      }
    }
    if (a.isStopping() && (a.phase != Attempt.Phase.FLUSHING || a.stopGraceS == 0)) {
      commands.add(workerCommand(WorkerCommand.Kind.STOP, a, a.stopGraceS));
    }
  }

  private static AttemptOutcome outcome(String why) {
    return switch (why == null ? "" : why) {
      case "done" -> AttemptOutcome.COMPLETED;
      // A gang's task gives up without its peers; it is not at fault.
      case "stopped", "peers", "incomplete" -> AttemptOutcome.STOPPED;
      case "no_room" -> AttemptOutcome.INSUFFICIENT_RESOURCES;
      case "in_use", "no_such" -> AttemptOutcome.LAUNCH_REFUSED;
      default -> AttemptOutcome.FAILED;
    };
  }

  /**
   * A launch as the attempt's worker is to have it: one that can take an image is told from whom.
   */
  public WorkerCommand launchCommand(Attempt a) {
    List<String> imageSources =
        a.machine.servesImages ? schedulerState.imageDistribution().imageSources(a) : List.of();
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH, a.job.spec.id(), a.task, a.number, 0, imageSources);
  }

  private static WorkerCommand workerCommand(WorkerCommand.Kind kind, Attempt a, double graceS) {
    return new WorkerCommand(kind, a.job.spec.id(), a.task, a.number, graceS);
  }

  /**
   * Orders to be sent straight to the worker now: launches that no message has carried yet, and
   * stops. Launches count as in flight until {@link #directCommandsAnswered}.
   */
  public List<WorkerCommand> takeDirectCommands(Machine m, boolean mayLaunch, long now) {
    List<WorkerCommand> commands = new ArrayList<>();
    // Only a worker that obeys this term and was heard a moment ago is worth the risk.
    if (!m.isUsable()
        || m.highestTokenSeen < term
        || now - m.lastHeartbeatMs > heartbeatOverdueMs
        || m.health.outboundReachability().isBroken()) {
      return commands;
    }
    for (Attempt a : m.attempts) {
      if (a.incarnation != m.incarnation) {
        continue;
      }
      if (a.phase == Attempt.Phase.COMMITTED
          && !a.launchSent
          && !a.isStopping()
          && mayLaunch
          && m.fencingToken < FencingTokens.last(term)) {
        a.launchSent = true;
        a.launchInFlight = true;
        a.launchToken = m.fencingToken;
        m.unfencedLaunches.put(a.key(), m.fencingToken);
        commands.add(launchCommand(a));
      } else if (a.isStopping()
          && !a.stopSentDirectly
          && (a.phase == Attempt.Phase.PULLING || a.phase == Attempt.Phase.RUNNING)) {
        a.stopSentDirectly = true;
        commands.add(workerCommand(WorkerCommand.Kind.STOP, a, a.stopGraceS));
      }
    }
    return commands;
  }

  /**
   * The worker answered direct orders, or certainly never got them: no launch is in flight. Copies
   * of one that was answered may still come, so the attempt stays unfenced.
   */
  public void directCommandsAnswered(Machine m, List<WorkerCommand> commands) {
    for (WorkerCommand o : commands) {
      for (Attempt a : m.attempts) {
        if (a.job.spec.id().equals(o.job()) && a.task == o.task() && a.number == o.attempt()) {
          a.launchInFlight = false;
        }
      }
    }
  }

  /**
   * True when an attempt that is not wanted any more may still be started by a launch in flight:
   * only the machine's deletion ends that in time.
   */
  public boolean needsDeletionToFence(Machine m, long now) {
    for (Attempt a : m.attempts) {
      if (a.launchInFlight
          && a.isStopping()
          && a.phase == Attempt.Phase.COMMITTED
          && now - a.stopRequestedMs > DELETE_TO_FENCE_AFTER_MS) {
        return true;
      }
    }
    return false;
  }
}
