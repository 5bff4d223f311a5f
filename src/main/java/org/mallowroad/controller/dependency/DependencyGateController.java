package org.mallowroad.controller.dependency;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.dependency.DependencyGate;
import org.mallowroad.core.dependency.DependencyGate.State;
import org.mallowroad.core.dependency.DependencyGates;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens the gates of jobs with dependencies: evaluates them from the state service, and records a
 * release on condition that nothing changed that may still change (docs/holds.md has the proof).
 *
 * <p>Ends of jobs never change, so those that were read or committed as done need no condition.
 * What may change is which games are claimed: each acceptance that claims a game up to the highest
 * required one changes the league's record in the same transaction. So the version of that record,
 * read before the blocks and compared by the release, says that nothing was claimed in between; and
 * compared once more by the first start, that nothing was claimed since.
 *
 * <p>One gate is evaluated at a time, and only when something that it depends on has changed.
 * Confined to the event loop.
 */
public final class DependencyGateController {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGateController.class);
  private static final long RETRY_MS = 400;

  /** No record ever has this version, so that a transaction under it cannot succeed. */
  private static final long IMPOSSIBLE_VERSION = Long.MAX_VALUE;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final SchedulerState schedulerState;
  private final ClaimService claims;
  private final long leaderVersion;
  private final Runnable gateOpened;
  private final Runnable deposed;
  private final DependencyGates gates = new DependencyGates();
  private final LeagueWatch leagueWatch;
  private boolean evaluating;
  private boolean releasesRead;
  private boolean stopped;

  /**
   * For one term of leadership.
   *
   * @param leaderVersion the version of the leader's record: a condition of all writes
   * @param gateOpened tasks may have become startable
   * @param deposed a write failed since another node leads
   */
  public DependencyGateController(
      EventLoop loop,
      KeyValueStore store,
      SchedulerState schedulerState,
      ClaimService claims,
      long leaderVersion,
      Runnable gateOpened,
      Runnable deposed) {
    this.loop = loop;
    this.store = store;
    this.schedulerState = schedulerState;
    this.claims = claims;
    this.leaderVersion = leaderVersion;
    this.gateOpened = gateOpened;
    this.deposed = deposed;
    this.leagueWatch =
        new LeagueWatch(
            loop,
            store,
            () -> !gates.requiredLeagues().isEmpty(),
            this::leagueChanged,
            this::evaluateNext);
  }

  /** Ends the term's duties; answers that come later are ignored. */
  public void stop() {
    stopped = true;
    leagueWatch.stop();
  }

  /** All open jobs are known: reads the releases that earlier leaders recorded. */
  public void start() {
    store.list(
        RecordKeys.RELEASES_PREFIX,
        (result, records, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, this::start);
            return;
          }
          for (VersionedValue record : records) {
            DependencyGate gate =
                gates.get(record.key().substring(RecordKeys.RELEASES_PREFIX.length()));
            if (gate != null) {
              restore(gate, record.value(), record.version());
            }
          }
          releasesRead = true;
          evaluateNext();
          gateOpened.run();
        });
  }

  /** An accepted job became known; a gated one waits until its release is known. */
  public void jobAccepted(Job job) {
    if (job.spec.dependencies().isGated()) {
      gates.add(job.spec.id(), job.spec.dependencies());
      if (releasesRead) {
        evaluateNext();
      }
    }
  }

  /**
   * A job's end was committed or found in the state service.
   *
   * @param done false when it was cancelled
   */
  public void jobEnded(Job job, boolean done) {
    gates.remove(job.spec.id());
    gates.recordJobEnded(job.spec.id(), done, job.spec.dependencies().foldedLeagues());
    evaluateNext();
  }

  /** Adds to the transaction of a start the conditions under which the gate is still open. */
  public void addStartConditions(Job job, Transaction transaction) {
    DependencyGate gate = gates.get(job.spec.id());
    if (gate == null || gate.state() == State.CLOSED) {
      // No task of such a job is placed. A condition that cannot be true makes sure of it.
      transaction.requireVersion(RecordKeys.release(job.spec.id()), IMPOSSIBLE_VERSION);
      return;
    }
    transaction.requireVersion(RecordKeys.release(gate.jobId()), gate.releaseVersion());
    if (gate.state() == State.OPEN) {
      addLeagueConditions(gate, transaction);
      putRelease(gate, true, transaction);
    }
  }

  /** A start is recorded under the release: from now on that cannot be undone. */
  public void startRecorded(Job job, long revision) {
    DependencyGate gate = gates.get(job.spec.id());
    if (gate != null && gate.state() == State.OPEN) {
      gate.start(revision);
      LOG.info("event=gated_job_started job={} version={}", gate.jobId(), gate.leagueVersions());
    }
  }

  /**
   * A start failed that had the release as its condition: the release is read again, and the gate
   * closed and evaluated anew unless the job has started before.
   *
   * @param next called once the release is known
   */
  public void revalidate(Job job, Runnable next) {
    DependencyGate gate = gates.get(job.spec.id());
    if (gate == null) {
      schedulerState.hold(job, loop.now());
      next.run();
      return;
    }
    store.get(
        RecordKeys.release(gate.jobId()),
        (result, record) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, () -> revalidate(job, next));
            return;
          }
          restore(gate, record.value(), record.version());
          if (gate.state() != State.STARTED) {
            LOG.info("event=dependency_gate_closed job={}", gate.jobId());
            gate.close();
            schedulerState.hold(job, loop.now());
            gates.enqueue(gate);
            loop.soon(this::evaluateNext);
          }
          next.run();
        });
  }

  /** Takes over a release record, or its absence. */
  private void restore(DependencyGate gate, JsonNode record, long version) {
    if (record == null) {
      gate.recordMissingRelease(version);
      return;
    }
    gate.restore(ReleaseRecordCodec.decode(record), version);
    Job job = schedulerState.job(gate.jobId());
    if (job != null) {
      schedulerState.release(job, loop.now());
    }
  }

  private void evaluateNext() {
    if (evaluating || stopped || !releasesRead) {
      return;
    }
    DependencyGate gate = gates.pollGateToEvaluate();
    if (gate == null) {
      leagueWatch.start();
      return;
    }
    evaluating = true;
    new GateEvaluation(store, schedulerState, claims, () -> stopped, gate, o -> evaluated(gate, o))
        .begin();
  }

  private void evaluated(DependencyGate gate, GateEvaluation.Outcome outcome) {
    if (outcome instanceof GateEvaluation.Incomplete) {
      evaluateLater(gate);
      return;
    }
    Job job = schedulerState.job(gate.jobId());
    if (job == null || stopped) {
      evaluationEnded();
    } else if (outcome instanceof GateEvaluation.Unmet unmet) {
      job.holdReason = unmet.dependencies().describe();
      evaluationEnded();
    } else if (outcome instanceof GateEvaluation.Met met) {
      gate.setConfirmedLeagues(met.leagueVersions(), met.leagueChanges());
      recordRelease(gate, job);
    }
  }

  private void evaluateLater(DependencyGate gate) {
    gates.enqueue(gate);
    loop.after(RETRY_MS, this::evaluationEnded);
  }

  private void evaluationEnded() {
    evaluating = false;
    evaluateNext();
  }

  private void recordRelease(DependencyGate gate, Job job) {
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, leaderVersion)
            .requireVersion(RecordKeys.openJob(gate.jobId()), job.version)
            .requireVersion(RecordKeys.release(gate.jobId()), gate.releaseVersion());
    addLeagueConditions(gate, transaction);
    putRelease(gate, false, transaction);
    store.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          if (stopped) {
            return;
          }
          if (result == CallResult.OK) {
            gate.open(revision);
            schedulerState.release(job, loop.now());
            LOG.info(
                "event=dependency_gate_opened job={} version={}",
                gate.jobId(),
                gate.leagueVersions());
            evaluationEnded();
            gateOpened.run();
          } else {
            releaseNotRecorded(gate, job, result, failed);
          }
        });
  }

  private void releaseNotRecorded(
      DependencyGate gate, Job job, CallResult result, List<String> failed) {
    boolean conflict = result == CallResult.CONDITION_FAILED;
    if (conflict && failed.contains(LeaderElection.LEADER_KEY)) {
      deposed.run();
    } else if (conflict && failed.contains(RecordKeys.release(gate.jobId()))) {
      // An earlier write of this leader that had no answer was applied: taken as it is recorded.
      revalidate(job, this::evaluationEnded);
    } else {
      evaluateLater(gate);
    }
  }

  private static void addLeagueConditions(DependencyGate gate, Transaction transaction) {
    gate.leagueVersions()
        .forEach(
            (league, version) -> transaction.requireVersion(RecordKeys.league(league), version));
  }

  private static void putRelease(DependencyGate gate, boolean started, Transaction transaction) {
    transaction.put(
        RecordKeys.release(gate.jobId()), ReleaseRecordCodec.encode(gate.toRelease(started)));
  }

  /**
   * A league's record as it is now: jobs that started before the newest claim in it are superseded.
   * The claim may be of a game that only another gate requires, since the record counts the claims
   * up to the highest game that any gate requires.
   */
  private void leagueChanged(VersionedValue record) {
    String league = record.key().substring(RecordKeys.LEAGUES_PREFIX.length());
    long changes = ReleaseRecordCodec.leagueChanges(record.value());
    for (DependencyGate gate : List.copyOf(gates.allGates())) {
      if (gate.isOutdatedBy(league, changes)) {
        supersede(gate, league);
      }
    }
    gates.recordLeagueChanged(league);
    evaluateNext();
  }

  /** The job started with games that have a newer version: logged once, and recorded. */
  private void supersede(DependencyGate gate, String league) {
    gate.markSuperseded();
    LOG.warn(
        "event=dependency_superseded job={} league={} version={}",
        gate.jobId(),
        league,
        gate.leagueVersions());
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, leaderVersion)
            .requireVersion(RecordKeys.release(gate.jobId()), gate.releaseVersion());
    putRelease(gate, true, transaction);
    store.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          if (result == CallResult.OK) {
            gate.recordRewrittenRelease(revision);
          }
        });
  }
}
