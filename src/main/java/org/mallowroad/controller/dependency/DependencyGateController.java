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
 * Opens the gates of jobs with dependencies. It evaluates a gate by reading the state service, then
 * records a release in a transaction that requires everything that can still change to be unchanged
 * (docs/holds.md has the proof).
 *
 * <p>The end of a job never changes, so a job that was read or committed as done needs no
 * condition. What can change is which games are claimed: accepting a job that claims a game up to
 * the highest required one changes the league's record in the same transaction. The version of that
 * record is read before the blocks. The release requires that version, which proves that no such
 * game was claimed between the two. The first start requires it once more, which proves that none
 * was claimed since the release.
 *
 * <p>Gates are evaluated one at a time, and only when something that they depend on has changed.
 * Confined to the event loop.
 */
public final class DependencyGateController {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGateController.class);
  private static final long RETRY_MS = 400;

  /** A version that no record ever has, so a transaction that requires it cannot succeed. */
  private static final long IMPOSSIBLE_VERSION = Long.MAX_VALUE;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final SchedulerState schedulerState;
  private final ClaimService claims;
  private final long leaderKeyVersion;
  private final Runnable onGateOpened;
  private final Runnable onDeposed;
  private final DependencyGates gates = new DependencyGates();
  private final LeagueWatch leagueWatch;
  private boolean isEvaluating;
  private boolean areReleasesLoaded;
  private boolean isStopped;

  /**
   * Creates the controller of one leadership term.
   *
   * @param leaderKeyVersion version of the leader key, which every write requires
   * @param onGateOpened called when tasks may have become startable
   * @param onDeposed called when a write failed because another node leads
   */
  public DependencyGateController(
      EventLoop loop,
      KeyValueStore store,
      SchedulerState schedulerState,
      ClaimService claims,
      long leaderKeyVersion,
      Runnable onGateOpened,
      Runnable onDeposed) {
    this.loop = loop;
    this.store = store;
    this.schedulerState = schedulerState;
    this.claims = claims;
    this.leaderKeyVersion = leaderKeyVersion;
    this.onGateOpened = onGateOpened;
    this.onDeposed = onDeposed;
    this.leagueWatch =
        new LeagueWatch(
            loop,
            store,
            () -> !gates.requiredLeagues().isEmpty(),
            this::handleLeagueRecord,
            this::evaluateNext);
  }

  /** Stops at the end of the term; answers that arrive later are ignored. */
  public void stop() {
    isStopped = true;
    leagueWatch.stop();
  }

  /** Reads the releases that earlier leaders recorded; called once all open jobs are known. */
  public void loadReleases() {
    store.list(
        RecordKeys.RELEASES_PREFIX,
        (result, records, revision) -> {
          if (isStopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, this::loadReleases);
            return;
          }
          for (VersionedValue record : records) {
            DependencyGate gate =
                gates.get(record.key().substring(RecordKeys.RELEASES_PREFIX.length()));
            if (gate != null) {
              restore(gate, record.value(), record.version());
            }
          }
          areReleasesLoaded = true;
          evaluateNext();
          onGateOpened.run();
        });
  }

  /** Handles an accepted job; a gated one waits until its release is known. */
  public void jobAccepted(Job job) {
    if (job.spec.dependencies().isGated()) {
      gates.add(job.spec.id(), job.spec.dependencies());
      if (areReleasesLoaded) {
        evaluateNext();
      }
    }
  }

  /**
   * Handles the end of a job, which was committed or found in the state service.
   *
   * @param done false if the job was cancelled
   */
  public void jobEnded(Job job, boolean done) {
    gates.remove(job.spec.id());
    gates.recordJobEnded(job.spec.id(), done, job.spec.dependencies().foldedLeagues());
    evaluateNext();
  }

  /**
   * Adds to the transaction that starts a task the conditions under which the gate is still open.
   */
  public void addStartConditions(Job job, Transaction transaction) {
    DependencyGate gate = gates.get(job.spec.id());
    if (gate == null || gate.state() == State.CLOSED) {
      // No task of a job with a closed gate is placed; a condition that cannot be met makes sure of
      // it.
      transaction.requireVersion(RecordKeys.release(job.spec.id()), IMPOSSIBLE_VERSION);
      return;
    }
    transaction.requireVersion(RecordKeys.release(gate.jobId()), gate.releaseVersion());
    if (gate.state() == State.OPEN) {
      addLeagueConditions(gate, transaction);
      putRelease(gate, true, transaction);
    }
  }

  /** Handles the recording of a start under the release; from then on the release is final. */
  public void startRecorded(Job job, long revision) {
    DependencyGate gate = gates.get(job.spec.id());
    if (gate != null && gate.state() == State.OPEN) {
      gate.start(revision);
      LOG.info("event=gated_job_started job={} version={}", gate.jobId(), gate.leagueVersions());
    }
  }

  /**
   * Handles the failure of a start that required the release. Reads the release again and, unless
   * the job has already started, closes the gate and evaluates it again.
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
          if (isStopped) {
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
            loop.submit(this::evaluateNext);
          }
          next.run();
        });
  }

  /** Restores the gate's state from its release record, or from the absence of one. */
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
    if (isEvaluating || isStopped || !areReleasesLoaded) {
      return;
    }
    DependencyGate gate = gates.pollGateToEvaluate();
    if (gate == null) {
      leagueWatch.start();
      return;
    }
    isEvaluating = true;
    new GateEvaluation(
            store,
            schedulerState,
            claims,
            () -> isStopped,
            gate,
            outcome -> handleOutcome(gate, outcome))
        .start();
  }

  private void handleOutcome(DependencyGate gate, GateEvaluation.Outcome outcome) {
    if (outcome instanceof GateEvaluation.Incomplete) {
      evaluateLater(gate);
      return;
    }
    Job job = schedulerState.job(gate.jobId());
    if (job == null || isStopped) {
      endEvaluation();
    } else if (outcome instanceof GateEvaluation.Unmet unmet) {
      job.holdReason = unmet.dependencies().describe();
      endEvaluation();
    } else if (outcome instanceof GateEvaluation.Met met) {
      gate.setConfirmedLeagues(met.leagueVersions(), met.leagueChanges());
      recordRelease(gate, job);
    }
  }

  private void evaluateLater(DependencyGate gate) {
    gates.enqueue(gate);
    loop.after(RETRY_MS, this::endEvaluation);
  }

  private void endEvaluation() {
    isEvaluating = false;
    evaluateNext();
  }

  private void recordRelease(DependencyGate gate, Job job) {
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion)
            .requireVersion(RecordKeys.openJob(gate.jobId()), job.version)
            .requireVersion(RecordKeys.release(gate.jobId()), gate.releaseVersion());
    addLeagueConditions(gate, transaction);
    putRelease(gate, false, transaction);
    store.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          if (isStopped) {
            return;
          }
          if (result == CallResult.OK) {
            gate.open(revision);
            schedulerState.release(job, loop.now());
            LOG.info(
                "event=dependency_gate_opened job={} version={}",
                gate.jobId(),
                gate.leagueVersions());
            endEvaluation();
            onGateOpened.run();
          } else {
            handleReleaseFailure(gate, job, result, failed);
          }
        });
  }

  private void handleReleaseFailure(
      DependencyGate gate, Job job, CallResult result, List<String> failed) {
    boolean isConflict = result == CallResult.CONDITION_FAILED;
    if (isConflict && failed.contains(LeaderElection.LEADER_KEY)) {
      onDeposed.run();
    } else if (isConflict && failed.contains(RecordKeys.release(gate.jobId()))) {
      // An earlier write of this leader whose answer was lost has been applied, so the recorded
      // release is used.
      revalidate(job, this::endEvaluation);
    } else {
      evaluateLater(gate);
    }
  }

  private static void addLeagueConditions(DependencyGate gate, Transaction transaction) {
    gate.leagueVersions()
        .forEach(
            (league, version) -> transaction.requireVersion(RecordKeys.league(league), version));
  }

  private static void putRelease(DependencyGate gate, boolean isStarted, Transaction transaction) {
    transaction.put(
        RecordKeys.release(gate.jobId()), ReleaseRecordCodec.encode(gate.toRelease(isStarted)));
  }

  /**
   * Handles the current record of a league: marks jobs that started before its latest claim as
   * superseded. That claim may concern a game that only another gate requires, since the record
   * counts claims up to the highest game that any gate requires.
   */
  private void handleLeagueRecord(VersionedValue record) {
    String league = record.key().substring(RecordKeys.LEAGUES_PREFIX.length());
    long changes = ReleaseRecordCodec.leagueChanges(record.value());
    for (DependencyGate gate : List.copyOf(gates.allGates())) {
      if (gate.isOutdatedBy(league, changes)) {
        markSuperseded(gate, league);
      }
    }
    gates.recordLeagueChanged(league);
    evaluateNext();
  }

  /** Logs once, and records, that the job started with games that have a newer version now. */
  private void markSuperseded(DependencyGate gate, String league) {
    gate.markSuperseded();
    LOG.warn(
        "event=dependency_superseded job={} league={} version={}",
        gate.jobId(),
        league,
        gate.leagueVersions());
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion)
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
