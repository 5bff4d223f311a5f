package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.explain.AutoscalerView;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.Phase;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;
import org.mallowroad.core.explain.NodeSnapshot.Totals;
import org.mallowroad.core.explain.PendingReasonExplainer;
import org.mallowroad.core.explain.SnapshotBuilder;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore;

/**
 * Builds snapshots of this node for its console over several turns of the event loop. With a
 * thousand machines and hundreds of jobs, building the explanations in one turn would delay the
 * answers to workers too long. Runs on the event loop only.
 */
final class SnapshotPublisher {
  /** Number of scheduler evaluations per turn, which take about one millisecond of CPU time. */
  private static final int EVALUATIONS_PER_TURN = 10_000;

  private final EventLoop loop;
  private final ClusterConfig clusterConfig;
  private final KeyValueStore state;
  private final LeaderElection election;
  private final Supplier<Leader> localLeader;
  private final List<Consumer<NodeSnapshot>> pendingCallbacks = new ArrayList<>();

  /** The snapshot being built; null while none is. */
  private SnapshotBuilder builder;

  /** The term that {@link #builder} reads; null while no snapshot is being built. */
  private Leader builderLeader;

  private boolean isBuilding;
  private long buildNanos;

  /**
   * Creates the publisher of one node.
   *
   * @param localLeader supplies the leader on this node, or null while it does not lead
   */
  SnapshotPublisher(
      EventLoop loop,
      ClusterConfig clusterConfig,
      KeyValueStore state,
      LeaderElection election,
      Supplier<Leader> localLeader) {
    this.loop = loop;
    this.clusterConfig = clusterConfig;
    this.state = state;
    this.election = election;
    this.localLeader = localLeader;
  }

  /** Builds a snapshot, or waits for the one that is already being built. */
  void snapshot(Consumer<NodeSnapshot> callback) {
    pendingCallbacks.add(callback);
    if (!isBuilding) {
      isBuilding = true;
      continueBuilding(true);
    }
  }

  /**
   * A snapshot of one job, with a null line if this node does not lead or does not know the job.
   */
  JobSnapshot job(String id) {
    Leader leader = localLeader.get();
    return leader == null || !leader.isServing()
        ? unknownJob(id)
        : newBuilder(leader).jobSnapshot(id, loop.now());
  }

  /** The snapshot of a job that this node does not know. */
  static JobSnapshot unknownJob(String id) {
    return new JobSnapshot(id, null, "", List.of(), 0);
  }

  private void continueBuilding(boolean isFirstTurn) {
    Leader leader = localLeader.get();
    long startNanos = loop.nanoTime();
    if (leader == null || !leader.isServing()) {
      buildNanos = 0;
      publish(withoutDetails(leader, startNanos));
      return;
    }
    NodeSnapshot finished;
    try {
      finished = buildNextPart(leader, isFirstTurn, startNanos);
    } catch (RuntimeException e) {
      // Catches any failure so that the pending callbacks get a snapshot without details, since a
      // console that waits for an answer sends no more requests.
      builder = null;
      publish(withoutDetails(leader, startNanos));
      throw e;
    }
    if (finished == null) {
      buildNanos += loop.nanoTime() - startNanos;
      loop.submit(() -> continueBuilding(false));
    } else {
      publish(finished);
    }
  }

  /** Runs the evaluations of one turn; returns the snapshot once it is complete, otherwise null. */
  private NodeSnapshot buildNextPart(Leader leader, boolean isFirstTurn, long startNanos) {
    // Starts over if a new term has begun in between, since its jobs differ.
    if (isFirstTurn || leader != builderLeader) {
      builderLeader = leader;
      buildNanos = 0;
      builder = newBuilder(leader);
      builder.begin(loop.now());
    }
    return builder.step(EVALUATIONS_PER_TURN) ? withDetails(leader, startNanos) : null;
  }

  private void publish(NodeSnapshot snapshot) {
    isBuilding = false;
    builder = null;
    builderLeader = null;
    List<Consumer<NodeSnapshot>> callbacks = List.copyOf(pendingCallbacks);
    pendingCallbacks.clear();
    callbacks.forEach(callback -> callback.accept(snapshot));
  }

  private SnapshotBuilder newBuilder(Leader leader) {
    AutoscalerView autoscaler = new LeaderAutoscalerView(leader);
    return new SnapshotBuilder(
        leader.schedulerState(),
        autoscaler,
        clusterConfig.zones,
        new PendingReasonExplainer(
            leader.schedulerState(),
            leader.taskScheduler(),
            autoscaler,
            clusterConfig.zones,
            clusterConfig.taskClassNames));
  }

  private NodeSnapshot withDetails(Leader leader, long startNanos) {
    List<TeamLine> teams = builder.teams();
    List<MachineLine> machines = builder.machines();
    Totals totals = builder.totals(teams, machines);
    Phase phase = leader.isActive() ? Phase.LEADING : Phase.TAKING_OVER;
    return newSnapshot(phase, leader, startNanos, totals, teams, machines);
  }

  private NodeSnapshot withoutDetails(Leader leader, long startNanos) {
    Phase phase =
        leader != null
            ? Phase.TAKING_OVER
            : election.leader() == null ? Phase.NO_LEADER : Phase.FOLLOWING;
    Totals noTotals = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    return newSnapshot(phase, leader, startNanos, noTotals, List.of(), List.of());
  }

  private NodeSnapshot newSnapshot(
      Phase phase,
      Leader leader,
      long startNanos,
      Totals totals,
      List<TeamLine> teams,
      List<MachineLine> machines) {
    boolean hasDetails = builder != null;
    String node = clusterConfig.settings.node();
    String electedLeader = election.leader() == null ? "" : election.leader();
    long sinceLastContactMs = loop.now() - state.health().lastExecutedCallSentMs();
    return new NodeSnapshot(
        NodeSnapshot.FORMAT_VERSION,
        node,
        phase,
        leader != null ? leader.term() : election.highestSeenToken(),
        leader != null ? node : electedLeader,
        loop.wallMs(),
        (buildNanos + loop.nanoTime() - startNanos) / 1000,
        leader == null ? 0 : leader.worstLoopLagMs(),
        state.health().lastExecutedCallSentMs() < 0 ? -1 : sinceLastContactMs / 1000.0,
        leader != null && leader.isLeaseValid(),
        totals,
        teams,
        hasDetails ? builder.jobs() : List.of(),
        hasDetails ? builder.jobsLeftOut() : 0,
        hasDetails ? builder.zones() : List.of(),
        machines,
        hasDetails ? builder.reasons() : List.of());
  }

  /** The state of the leader's autoscaling that explanations need. */
  private final class LeaderAutoscalerView implements AutoscalerView {
    private final Leader leader;

    LeaderAutoscalerView(Leader leader) {
      this.leader = leader;
    }

    @Override
    public List<PendingMachines> pendingMachines(long now) {
      return leader.provisioner().pendingMachines(now);
    }

    @Override
    public long refusedSinceMs(MachineVariant variant) {
      return leader.provisioner().refusedSinceMs(variant);
    }

    @Override
    public List<MachineType> machineTypes() {
      return clusterConfig.machineTypes();
    }

    @Override
    public boolean isLeaseValid() {
      return leader.isLeaseValid();
    }

    @Override
    public long lastRenewalSentMs() {
      return election.lastRenewalSentMs();
    }
  }
}
