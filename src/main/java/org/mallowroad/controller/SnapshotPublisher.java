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
 * Makes snapshots of this node for its console, in several turns of the event loop: with a thousand
 * machines and hundreds of jobs the explanations take longer than a worker's answer should wait.
 * Runs on the event loop only.
 */
final class SnapshotPublisher {
  /** Questions to the scheduler in one turn: about a millisecond of a whole core. */
  private static final int QUESTIONS_PER_TURN = 10_000;

  private final EventLoop loop;
  private final ClusterConfig clusterConfig;
  private final KeyValueStore state;
  private final LeaderElection election;
  private final Supplier<Leader> localLeader;
  private final List<Consumer<NodeSnapshot>> waiting = new ArrayList<>();

  /** What is being built, with the term that it is built from; null between two snapshots. */
  private SnapshotBuilder builder;

  private Leader builderLeader;
  private boolean isBuilding;
  private long spentNanos;

  /**
   * For one node.
   *
   * @param localLeader the leader on this node, or null while it does not lead
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

  /** Makes a snapshot, or joins those who wait for the one that is being made. */
  void snapshot(Consumer<NodeSnapshot> done) {
    waiting.add(done);
    if (!isBuilding) {
      isBuilding = true;
      continueBuilding(true);
    }
  }

  /** One job as it is now; with a null line when this node does not lead or does not know it. */
  JobSnapshot job(String id) {
    Leader leader = localLeader.get();
    return leader == null || !leader.isServing()
        ? unknownJob(id)
        : newBuilder(leader).job(id, loop.now());
  }

  /** The snapshot of a job that this node does not know. */
  static JobSnapshot unknownJob(String id) {
    return new JobSnapshot(id, null, "", List.of(), 0);
  }

  private void continueBuilding(boolean isFirstTurn) {
    Leader leader = localLeader.get();
    long beganNanos = loop.nanos();
    if (leader == null || !leader.isServing()) {
      spentNanos = 0;
      publish(withoutDetails(leader, beganNanos));
      return;
    }
    NodeSnapshot finished;
    try {
      finished = buildSome(leader, isFirstTurn, beganNanos);
    } catch (RuntimeException e) {
      // The outermost net: those who wait get a snapshot without explanations, since a console that
      // waits for an answer sends no more requests.
      builder = null;
      publish(withoutDetails(leader, beganNanos));
      throw e;
    }
    if (finished == null) {
      spentNanos += loop.nanos() - beganNanos;
      loop.soon(() -> continueBuilding(false));
    } else {
      publish(finished);
    }
  }

  /** One turn's questions; the snapshot when they were the last ones, else null. */
  private NodeSnapshot buildSome(Leader leader, boolean isFirstTurn, long beganNanos) {
    // A term that began meanwhile has other jobs.
    if (isFirstTurn || leader != builderLeader) {
      builderLeader = leader;
      spentNanos = 0;
      builder = newBuilder(leader);
      builder.begin(loop.now());
    }
    return builder.step(QUESTIONS_PER_TURN) ? withDetails(leader, beganNanos) : null;
  }

  private void publish(NodeSnapshot snapshot) {
    isBuilding = false;
    builder = null;
    builderLeader = null;
    List<Consumer<NodeSnapshot>> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(c -> c.accept(snapshot));
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
            clusterConfig.classes));
  }

  private NodeSnapshot withDetails(Leader leader, long beganNanos) {
    List<TeamLine> teams = builder.teams();
    List<MachineLine> machines = builder.machines();
    Totals totals = builder.totals(teams, machines);
    Phase phase = leader.isActive() ? Phase.LEADING : Phase.TAKING_OVER;
    return newSnapshot(phase, leader, beganNanos, totals, teams, machines);
  }

  private NodeSnapshot withoutDetails(Leader leader, long beganNanos) {
    Phase phase =
        leader != null
            ? Phase.TAKING_OVER
            : election.leader() == null ? Phase.NO_LEADER : Phase.FOLLOWING;
    Totals none = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    return newSnapshot(phase, leader, beganNanos, none, List.of(), List.of());
  }

  private NodeSnapshot newSnapshot(
      Phase phase,
      Leader leader,
      long beganNanos,
      Totals totals,
      List<TeamLine> teams,
      List<MachineLine> machines) {
    boolean hasDetails = builder != null;
    String node = clusterConfig.settings.node();
    String remoteLeader = election.leader() == null ? "" : election.leader();
    long silentMs = loop.now() - state.health().lastExecutedCallSentMs();
    return new NodeSnapshot(
        NodeSnapshot.FORMAT,
        node,
        phase,
        leader != null ? leader.term() : election.highestSeenToken(),
        leader != null ? node : remoteLeader,
        loop.wallMs(),
        (spentNanos + loop.nanos() - beganNanos) / 1000,
        leader == null ? 0 : leader.loopLagMs(),
        state.health().lastExecutedCallSentMs() < 0 ? -1 : silentMs / 1000.0,
        leader != null && leader.isLeaseValid(),
        totals,
        teams,
        hasDetails ? builder.jobs() : List.of(),
        hasDetails ? builder.jobsLeftOut() : 0,
        hasDetails ? builder.zones() : List.of(),
        machines,
        hasDetails ? builder.reasons() : List.of());
  }

  /** What explanations ask of the leader's autoscaling. */
  private final class LeaderAutoscalerView implements AutoscalerView {
    private final Leader leader;

    LeaderAutoscalerView(Leader leader) {
      this.leader = leader;
    }

    @Override
    public List<PendingMachines> coming(long now) {
      return leader.provisioner().pendingMachines(now);
    }

    @Override
    public long refusedSinceMs(MachineVariant variant) {
      return leader.provisioner().refusedSinceMs(variant);
    }

    @Override
    public List<MachineType> types() {
      return clusterConfig.machineTypes();
    }

    @Override
    public boolean firm() {
      return leader.isLeaseValid();
    }

    @Override
    public long renewedMs() {
      return election.lastRenewalSentMs();
    }
  }
}
