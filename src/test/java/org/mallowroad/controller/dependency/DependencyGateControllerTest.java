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
 * Guards against a gated job that starts although a correction of a required game has been accepted
 * but not folded yet. Explores every order of the calls of a leader, its successor and the
 * correction, with lost answers and with transactions that are applied late or twice.
 */
final class DependencyGateControllerTest {
  private static final String RUN_KEY = "run/job-9/0";

  private static final class GatedStartScene implements StateSpaceExplorer.Scenario {
    private final boolean hasSuccessor;
    private int startedCount;
    private int correctedCount;

    GatedStartScene(boolean hasSuccessor) {
      this.hasSuccessor = hasSuccessor;
    }

    private static long put(StateSpaceExplorer.Execution stage, String key, JsonNode value) {
      ObjectNode transaction = Json.object();
      transaction.putArray("writes").addObject().put("put", key).set("v", value);
      try {
        stage.store.serve("POST", "/multi", Json.toBytes(transaction), 0);
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
      return stage.store.version(key);
    }

    private static ClaimService newClaimService(StateSpaceExplorer.Process process) {
      return new ClaimService(
          process,
          new KeyValueStore(process, process, process),
          new RateLimiter(1e6, 1e6, process.now()),
          16,
          8,
          j -> null);
    }

    @Override
    public void setUp(StateSpaceExplorer.Execution stage) {
      JobDependencies dependencies =
          new JobDependencies(
              Map.of(), List.of(), List.of(new JobDependencies.RequiredGames("l", 0, null)));
      Block block = new Block();
      block.set(new Block.Side(0, "m"), new Fold(1, false, "job-1", true, null));
      put(stage, RecordKeys.foldBlock(new BlockKey("l", 0)), FoldCodec.encodeBlock(block));
      put(stage, RecordKeys.league("l"), LeagueRecordCodec.encode(0, 0));
      ObjectNode open = Json.object();
      open.put("at", 1)
          .putObject("job")
          .set(
              DependencyCodec.DEPENDENCIES,
              DependencyCodec.encodeRecord(dependencies).get("holds"));
      long version = put(stage, RecordKeys.openJob("job-9"), open);
      startLeader(stage, "one", dependencies, version);
      // The correction is applied in one step, like an acceptance in a single transaction.
      if (hasSuccessor) {
        stage.respondsInCallOrder = true;
        // Runs until the release of the first leader is recorded and its start is in flight.
        stage.runUntilCallWaits(RUN_KEY);
      }
      stage.addEvent("correction", () -> acceptCorrection(stage));
      if (hasSuccessor) {
        stage.addEvent("successor", () -> startLeader(stage, "two", dependencies, version));
      }
    }

    private static void acceptCorrection(StateSpaceExplorer.Execution stage) {
      Fold base = new Fold(1, false, "job-1", true, null);
      Block block = new Block();
      block.set(new Block.Side(0, "m"), new Fold(2, false, "job-2", false, base));
      ObjectNode open = Json.object();
      open.put("at", 1).putObject("job");
      put(stage, RecordKeys.openJob("job-2"), open);
      put(stage, RecordKeys.foldBlock(new BlockKey("l", 0)), FoldCodec.encodeBlock(block));
      put(stage, RecordKeys.league("l"), LeagueRecordCodec.encode(0, 1));
    }

    private static void startLeader(
        StateSpaceExplorer.Execution stage,
        String name,
        JobDependencies dependencies,
        long openJobVersion) {
      long version = put(stage, LeaderElection.LEADER_KEY, Json.object().put("node", name));
      StateSpaceExplorer.Process process = stage.addProcess(name);
      KeyValueStore state = new KeyValueStore(process, process, process);
      NameIndex zones = new NameIndex();
      zones.intern("a");
      SchedulerState schedulerState =
          new SchedulerState(1, 26, 4, List.of(new Team("t", 8, 0, 8, 0)), zones);
      JobSpec spec = JobSpecBuilder.job("job-9", 1, 1).dependencies(dependencies).build();
      Job job = schedulerState.accept(spec, openJobVersion, 0, process.now());
      DependencyGateController[] gates = new DependencyGateController[1];
      boolean[] isStarting = new boolean[1];
      Runnable start =
          () -> {
            if (!job.isHeld() && !isStarting[0] && stage.store.value(RUN_KEY) == null) {
              isStarting[0] = true;
              start(stage, state, gates[0], job, version, isStarting);
            }
          };
      gates[0] =
          new DependencyGateController(
              process, state, schedulerState, newClaimService(process), version, start, () -> {});
      gates[0].jobAccepted(job);
      gates[0].loadReleases();
    }

    /**
     * Starts the job like {@code WriteBehindCommitter}: with the start conditions, which are
     * validated again after a conflict.
     */
    private static void start(
        StateSpaceExplorer.Execution stage,
        KeyValueStore state,
        DependencyGateController gates,
        Job job,
        long version,
        boolean[] isStarting) {
      Transaction transaction =
          new Transaction()
              .requireVersion(LeaderElection.LEADER_KEY, version)
              .requireVersion(RecordKeys.openJob("job-9"), job.version);
      gates.addStartConditions(job, transaction);
      transaction.requireVersion(RUN_KEY, 0).put(RUN_KEY, Json.object().put("by", version));
      state.compareAndSwap(
          transaction,
          (result, revision, failed) -> {
            if (result == CallResult.OK) {
              gates.startRecorded(job, revision);
            } else if (result == CallResult.UNKNOWN && stage.store.value(RUN_KEY) == null) {
              start(stage, state, gates, job, version, isStarting);
            } else if (!failed.contains(LeaderElection.LEADER_KEY)) {
              gates.revalidate(job, () -> isStarting[0] = false);
            }
          });
    }

    @Override
    public void afterTransaction(StateSpaceExplorer.Execution stage) {
      if (stage.store.value(RUN_KEY) == null || stage.observations.contains("started")) {
        return;
      }
      stage.observations.add("started");
      stage.require(
          stage.store.value(RecordKeys.openJob("job-2")) == null,
          "the gated job started while a correction was accepted but not folded");
    }

    @Override
    public void afterCompletion(StateSpaceExplorer.Execution stage) {
      startedCount += stage.observations.contains("started") ? 1 : 0;
      correctedCount += stage.store.value(RecordKeys.openJob("job-2")) != null ? 1 : 0;
    }
  }

  @Test
  void startIsNotRecordedBetweenCorrectionAndItsFold() {
    explore(new GatedStartScene(false), Integer.getInteger("explore.troubles", 1));
  }

  @Test
  void startIsNotRecordedByDeposedLeaderAfterCorrection() {
    explore(new GatedStartScene(true), Integer.getInteger("explore.troubles", 1) - 1);
  }

  private static void explore(GatedStartScene scene, int maxFaults) {
    StateSpaceExplorer explorer = new StateSpaceExplorer(scene, maxFaults, 400_000);
    explorer.explore(s -> {});
    System.out.println(
        "gated starts: " + explorer.states() + " states, " + explorer.executions() + " histories");
    assertTrue(scene.startedCount > 50, "started " + scene.startedCount);
    assertTrue(scene.correctedCount > 50, "corrected " + scene.correctedCount);
    assertTrue(
        scene.startedCount < explorer.executions(),
        "the correction must come first in some histories");
  }
}
