package org.mallowroad.controller.dependency;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mallowroad.StateSpaceExplorer;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.DependencyCodec;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * A gated job, a correction of a required game at any moment, a leader and its successor: explores
 * each order of the calls, with lost answers and transactions that are late or applied twice. The
 * first start is never recorded while an accepted claim is not folded.
 */
final class DependencyGateControllerTest {
  private static final String RUN = "run/job-9/0";

  private static final class GatedStart implements StateSpaceExplorer.Scenario {
    private final boolean successor;
    private int started;
    private int corrected;

    GatedStart(boolean successor) {
      this.successor = successor;
    }

    private static long put(StateSpaceExplorer.Execution s, String key, JsonNode v) {
      ObjectNode t = Json.object();
      t.putArray("writes").addObject().put("put", key).set("v", v);
      try {
        s.store.serve("POST", "/multi", Json.toBytes(t), 0);
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
      return s.store.version(key);
    }

    private static ClaimService folding(StateSpaceExplorer.Process p) {
      return new ClaimService(
          p, new KeyValueStore(p, p, p), new RateLimiter(1e6, 1e6, p.now()), 16, 8, j -> null);
    }

    @Override
    public void setUp(StateSpaceExplorer.Execution s) {
      JobDependencies dependencies =
          new JobDependencies(
              Map.of(), List.of(), List.of(new JobDependencies.RequiredGames("l", 0, null)));
      Block b = new Block();
      b.set(new Block.Side(0, "m"), new Fold(1, false, "job-1", true, null));
      put(s, RecordKeys.foldBlock(new BlockKey("l", 0)), FoldCodec.encodeBlock(b));
      put(s, RecordKeys.league("l"), LeagueRecordCodec.encode(0, 0));
      ObjectNode open = Json.object();
      open.put("at", 1)
          .putObject("job")
          .set(
              DependencyCodec.DEPENDENCIES,
              DependencyCodec.encodeRecord(dependencies).get("holds"));
      long version = put(s, RecordKeys.openJob("job-9"), open);
      leader(s, "one", dependencies, version);
      // In one transaction, as FoldingTest explores it.
      if (successor) {
        s.respondsInCallOrder = true;
        s.runUntilCallWaits(
            RUN); // The release of the one that is deposed is on record, its start on its way.
      }
      s.addEvent("correction", () -> correct(s));
      if (successor) {
        s.addEvent("successor", () -> leader(s, "two", dependencies, version));
      }
    }

    private static void correct(StateSpaceExplorer.Execution s) {
      Fold base = new Fold(1, false, "job-1", true, null);
      Block b = new Block();
      b.set(new Block.Side(0, "m"), new Fold(2, false, "job-2", false, base));
      ObjectNode open = Json.object();
      open.put("at", 1).putObject("job");
      put(s, RecordKeys.openJob("job-2"), open);
      put(s, RecordKeys.foldBlock(new BlockKey("l", 0)), FoldCodec.encodeBlock(b));
      put(s, RecordKeys.league("l"), LeagueRecordCodec.encode(0, 1));
    }

    private static void leader(
        StateSpaceExplorer.Execution s, String name, JobDependencies dependencies, long open) {
      long version = put(s, LeaderElection.LEADER_KEY, Json.object().put("node", name));
      StateSpaceExplorer.Process p = s.addProcess(name);
      KeyValueStore state = new KeyValueStore(p, p, p);
      NameIndex zones = new NameIndex();
      zones.intern("a");
      SchedulerState schedulerState =
          new SchedulerState(1, 26, 4, List.of(new Team("t", 8, 0, 8, 0)), zones);
      JobSpec spec = JobSpecBuilder.job("job-9", 1, 1).dependencies(dependencies).build();
      Job job = schedulerState.accept(spec, open, 0, p.now());
      DependencyGateController[] gates = new DependencyGateController[1];
      boolean[] busy = new boolean[1];
      Runnable start =
          () -> {
            if (!job.isHeld() && !busy[0] && s.store.value(RUN) == null) {
              busy[0] = true;
              start(s, state, gates[0], job, version, busy);
            }
          };
      gates[0] =
          new DependencyGateController(
              p, state, schedulerState, folding(p), version, start, () -> {});
      gates[0].jobAccepted(job);
      gates[0].start();
    }

    /**
     * Starts the job as {@code WriteBehindCommitter} does: under the start conditions, which are
     * validated again after a conflict.
     */
    private static void start(
        StateSpaceExplorer.Execution s,
        KeyValueStore state,
        DependencyGateController gates,
        Job job,
        long version,
        boolean[] busy) {
      Transaction transaction =
          new Transaction()
              .requireVersion(LeaderElection.LEADER_KEY, version)
              .requireVersion(RecordKeys.openJob("job-9"), job.version);
      gates.addStartConditions(job, transaction);
      transaction.requireVersion(RUN, 0).put(RUN, Json.object().put("by", version));
      state.compareAndSwap(
          transaction,
          (result, revision, failed) -> {
            if (result == CallResult.OK) {
              gates.startRecorded(job, revision);
            } else if (result == CallResult.UNKNOWN && s.store.value(RUN) == null) {
              start(s, state, gates, job, version, busy);
            } else if (!failed.contains(LeaderElection.LEADER_KEY)) {
              gates.revalidate(job, () -> busy[0] = false);
            }
          });
    }

    @Override
    public void afterTransaction(StateSpaceExplorer.Execution s) {
      if (s.store.value(RUN) == null || s.observations.contains("started")) {
        return;
      }
      s.observations.add("started");
      s.require(
          s.store.value(RecordKeys.openJob("job-2")) == null, "started while a correction is open");
    }

    @Override
    public void afterCompletion(StateSpaceExplorer.Execution s) {
      started += s.observations.contains("started") ? 1 : 0;
      corrected += s.store.value(RecordKeys.openJob("job-2")) != null ? 1 : 0;
    }
  }

  @Test
  void startIsNotRecordedBetweenCorrectionAndItsFold() {
    explore(new GatedStart(false), Integer.getInteger("explore.troubles", 1));
  }

  @Test
  void startIsNotRecordedByDeposedLeaderAfterCorrection() {
    explore(new GatedStart(true), Integer.getInteger("explore.troubles", 1) - 1);
  }

  private static void explore(GatedStart scene, int troubles) {
    StateSpaceExplorer e = new StateSpaceExplorer(scene, troubles, 400_000);
    e.explore(s -> {});
    System.out.println("gated starts: " + e.states() + " states, " + e.executions() + " histories");
    assertTrue(scene.started > 50, "started " + scene.started);
    assertTrue(scene.corrected > 50, "corrected " + scene.corrected);
    assertTrue(scene.started < e.executions(), "in some the correction comes first");
  }
}
