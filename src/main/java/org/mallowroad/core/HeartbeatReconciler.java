package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.health.Health;
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
 * #RAISE_MS} or for {@link #RAISE_AT} exits.
 */
public final class HeartbeatReconciler {
  private static final long FENCE_MS = 8_000;

  /** Exits may wait so long for a higher token; a worker reports once more for each one. */
  static final long RAISE_MS = 10_000;

  /** No more exits than this wait: reports must stay small. */
  static final int RAISE_AT = 16;

  private final SchedulerState schedulerState;
  private final Map<String, Job> jobs;
  private final Health health;
  private final long term;
  private final long freshMs;
  private final long leaseMs;

  HeartbeatReconciler(
      SchedulerState schedulerState,
      Map<String, Job> jobs,
      Health health,
      long term,
      long freshMs,
      long leaseMs) {
    this.schedulerState = schedulerState;
    this.jobs = jobs;
    this.health = health;
    this.term = term;
    this.freshMs = freshMs;
    this.leaseMs = leaseMs;
  }

  /**
   * Takes a worker's report and answers with the orders for it.
   *
   * @param mayLaunch false while the leader cannot reach the state service
   * @return null when the message is older than one seen before and must be ignored
   */
  public List<WorkerCommand> report(Machine m, Heartbeat r, boolean mayLaunch, long now) {
    if (r.incarnation() < m.incarnation
        || (r.incarnation() == m.incarnation && r.sequence() <= m.sequence)) {
      return null;
    }
    hear(m, r, mayLaunch, now);
    if (r.incarnation() > m.incarnation) {
      schedulerState.imageDistribution().lost(m); // Its cache may be empty.
      m.unfenced.clear(); // Orders for an earlier session are not executed any more.
      m.unclearedMs = -1;
    } else {
      fenced(m, r.fencingToken());
    }
    // Not only when the session is news: a takeover may have read records of two sessions, and the
    // earlier one's attempts would stay for ever (docs/incidents, stuck-of-an-earlier-session).
    for (Attempt a : new ArrayList<>(m.attempts)) {
      if (a.incarnation < r.incarnation()) {
        a.inFlight = false;
        schedulerState.resolve(a, SchedulerState.Outcome.LOST, now);
      }
    }
    m.incarnation = r.incarnation();
    m.sequence = r.sequence();
    m.highestTokenSeen = Math.max(m.highestTokenSeen, r.fencingToken());
    if (m.health.late() && m.empty()) {
      m.emptySinceMs = now; // Nobody could use it meanwhile: it is not idle for long.
    }
    // A report that waited while this process stood still is as old as the standstill.
    m.lastHeartbeatMs = health.heard(m.health, now);
    m.address = r.address();
    m.handsOn = r.handsOn();
    if (r.noticeS() >= 0) {
      m.noticeMs = now + (long) (r.noticeS() * 1000);
      m.noticeSinceMs = m.noticeSinceMs == 0 ? now : m.noticeSinceMs;
      m.draining = true;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    raise(m, r, now);
    ObjectOpenHashSet<Attempt> listed = new ObjectOpenHashSet<>();
    for (Heartbeat.Entry e : r.entries()) {
      Job job = jobs.get(e.job());
      Attempt a = null;
      if (job != null && e.task() >= 0 && e.task() < job.spec.tasks()) {
        a = job.live[e.task()];
        if (a != null
            && (a.number != e.attempt() || a.machine != m || a.incarnation != r.incarnation())) {
          a = null;
        }
      }
      if (a == null) {
        orphan(m, e, job, now, commands);
      } else {
        if (a.told && a.phase == Attempt.Phase.READY) {
          m.health.outboundReachability().heeded();
        }
        listed.add(a);
        see(a, e, now, commands);
      }
    }
    boolean unheeded = false;
    for (Attempt a : new ArrayList<>(m.attempts)) {
      if (a.incarnation != r.incarnation() || listed.contains(a)) {
        continue;
      }
      unheeded |= a.told && a.phase == Attempt.Phase.READY;
      boolean fresh = r.fencingToken() >= term;
      if (a.phase == Attempt.Phase.READY) {
        if (a.stopping()) {
          // Launches travel in report responses only, so a newer report of a worker that obeys
          // this term and does not list the attempt proves that it never started.
          // A launch sent straight to the worker may still come.
          if (fresh && !a.inFlight) {
            schedulerState.resolve(a, SchedulerState.Outcome.LOST, now);
          }
        } else if (mayLaunch) {
          a.sent = true;
          a.told = true;
          commands.add(launch(a));
        }
      } else if (a.phase != Attempt.Phase.RECORDING && fresh && !a.inFlight) {
        schedulerState.resolve(a, SchedulerState.Outcome.LOST, now);
      }
    }
    // Reports that answer direct orders come many to one answer, which may still be on its way.
    if (unheeded && mayLaunch) {
      m.health.outboundReachability().missed(now);
    }
    m.toldToken = m.fencingToken;
    return commands;
  }

  /** What the report shows of the answers before it; call before it is taken. */
  private void hear(Machine m, Heartbeat r, boolean ordinary, long now) {
    OutboundReachability h = m.health.outboundReachability();
    if (m.toldToken > 0 && r.fencingToken() < m.toldToken) {
      if (ordinary) {
        h.missed(now);
      }
    } else if (m.toldToken > m.highestTokenSeen && m.toldToken > 0) {
      h.heeded();
    }
    // A copy or a hung machine does not look like this: each report that was counted was answered,
    // and a machine that hangs sends none.
    if (m.incarnation > 0
        && r.incarnation() > m.incarnation
        && m.lastHeartbeatMs >= 0
        && now - m.lastHeartbeatMs < leaseMs / 2) {
      h.sessionLost(now);
    }
  }

  /** Launches with a lower token than the worker has seen are refused from now on. */
  private static void fenced(Machine m, long seen) {
    if (m.unfenced.isEmpty()) {
      return;
    }
    m.unfenced.values().removeIf(t -> t < seen);
    for (Attempt a : m.attempts) {
      if (a.inFlight && a.launchToken < seen) {
        a.inFlight = false;
      }
    }
  }

  /** Raises the worker's token when exits have waited long enough for it, or a fence is due. */
  private void raise(Machine m, Heartbeat r, long now) {
    boolean due = m.unclearedMs >= 0 && now - m.unclearedMs >= RAISE_MS;
    if (!due && m.unclearedMs >= 0) {
      int exited = 0;
      for (Heartbeat.Entry e : r.entries()) {
        exited += e.state() == Heartbeat.State.EXITED ? 1 : 0;
      }
      due = exited >= RAISE_AT;
    }
    for (Attempt a : m.attempts) {
      due |= a.inFlight && a.stopping() && a.launchToken == m.fencingToken;
    }
    due |= m.health.outboundReachability().probe(now);
    // The last token of the block is never raised: then launches go in answers only (direct).
    if (due && m.fencingToken < FencingTokens.last(term)) {
      m.fencingToken++;
      m.unclearedMs = -1;
    }
  }

  private void orphan(
      Machine m, Heartbeat.Entry e, Job job, long now, List<WorkerCommand> commands) {
    if (e.state() != Heartbeat.State.EXITED) {
      commands.add(new WorkerCommand(WorkerCommand.Kind.STOP, e.job(), e.task(), e.attempt(), 0));
      return;
    }
    boolean uncommitted =
        job != null
            && e.task() >= 0
            && e.task() < job.spec.tasks()
            && job.attemptRecords[e.task() / AttemptRecord.TASKS].dirty;
    if (uncommitted) {
      return;
    }
    if (m.unfenced.getLong(Attempt.key(e.job(), e.task(), e.attempt())) >= m.fencingToken) {
      m.unclearedMs = m.unclearedMs < 0 ? now : m.unclearedMs;
    } else {
      commands.add(new WorkerCommand(WorkerCommand.Kind.CLEAR, e.job(), e.task(), e.attempt(), 0));
    }
  }

  private void see(Attempt a, Heartbeat.Entry e, long now, List<WorkerCommand> commands) {
    boolean ran = a.phase == Attempt.Phase.RUNNING || a.phase == Attempt.Phase.FLUSHING;
    switch (e.state()) {
      case PULLING -> {
        if (a.restored && a.phase == Attempt.Phase.READY) {
          schedulerState.imageDistribution().found(a, now);
        }
        a.phase = Attempt.Phase.PULLING;
      }
      case RUNNING, FLUSHING -> {
        if (!ran) {
          a.job.runningCount++;
          a.runningSinceMs = now;
          a.machine.useImage(a.job.spec.image(), a.job.spec.imageGb());
          schedulerState.imageDistribution().runs(a);
        }
        a.phase =
            e.state() == Heartbeat.State.RUNNING ? Attempt.Phase.RUNNING : Attempt.Phase.FLUSHING;
      }
      case EXITED -> {
        schedulerState.resolve(a, outcome(e.why()), now);
        return;
      }
    }
    if (a.stopping() && (a.phase != Attempt.Phase.FLUSHING || a.stopGraceS == 0)) {
      commands.add(workerCommand(WorkerCommand.Kind.STOP, a, a.stopGraceS));
    }
  }

  private static SchedulerState.Outcome outcome(String why) {
    return switch (why == null ? "" : why) {
      case "done" -> SchedulerState.Outcome.DONE;
      // A gang's task gives up without its peers; it is not at fault.
      case "stopped", "peers", "incomplete" -> SchedulerState.Outcome.STOPPED;
      case "no_room" -> SchedulerState.Outcome.NO_ROOM;
      case "in_use", "no_such" -> SchedulerState.Outcome.REFUSED;
      default -> SchedulerState.Outcome.ERROR;
    };
  }

  /**
   * A launch as the attempt's worker is to have it: one that can take an image is told from whom.
   */
  public WorkerCommand launch(Attempt a) {
    List<String> imageSources =
        a.machine.handsOn ? schedulerState.imageDistribution().imageSources(a) : List.of();
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH, a.job.spec.id(), a.task, a.number, 0, imageSources);
  }

  private static WorkerCommand workerCommand(WorkerCommand.Kind kind, Attempt a, double graceS) {
    return new WorkerCommand(kind, a.job.spec.id(), a.task, a.number, graceS);
  }

  /**
   * Orders to be sent straight to the worker now: launches that no message has carried yet, and
   * stops. Launches count as in flight until {@link #answered}.
   */
  public List<WorkerCommand> direct(Machine m, boolean mayLaunch, long now) {
    List<WorkerCommand> commands = new ArrayList<>();
    // Only a worker that obeys this term and was heard a moment ago is worth the risk.
    if (!m.usable()
        || m.highestTokenSeen < term
        || now - m.lastHeartbeatMs > freshMs
        || m.health.outboundReachability().deaf()) {
      return commands;
    }
    for (Attempt a : m.attempts) {
      if (a.incarnation != m.incarnation) {
        continue;
      }
      if (a.phase == Attempt.Phase.READY
          && !a.sent
          && !a.stopping()
          && mayLaunch
          && m.fencingToken < FencingTokens.last(term)) {
        a.sent = true;
        a.inFlight = true;
        a.launchToken = m.fencingToken;
        m.unfenced.put(a.key(), m.fencingToken);
        commands.add(launch(a));
      } else if (a.stopping()
          && !a.stopSent
          && (a.phase == Attempt.Phase.PULLING || a.phase == Attempt.Phase.RUNNING)) {
        a.stopSent = true;
        commands.add(workerCommand(WorkerCommand.Kind.STOP, a, a.stopGraceS));
      }
    }
    return commands;
  }

  /**
   * The worker answered direct orders, or certainly never got them: no launch is in flight. Copies
   * of one that was answered may still come, so the attempt stays unfenced.
   */
  public void answered(Machine m, List<WorkerCommand> commands) {
    for (WorkerCommand o : commands) {
      for (Attempt a : m.attempts) {
        if (a.job.spec.id().equals(o.job()) && a.task == o.task() && a.number == o.attempt()) {
          a.inFlight = false;
        }
      }
    }
  }

  /**
   * True when an attempt that is not wanted any more may still be started by a launch in flight:
   * only the machine's deletion ends that in time.
   */
  public boolean mustFence(Machine m, long now) {
    for (Attempt a : m.attempts) {
      if (a.inFlight
          && a.stopping()
          && a.phase == Attempt.Phase.READY
          && now - a.stopSinceMs > FENCE_MS) {
        return true;
      }
    }
    return false;
  }
}
