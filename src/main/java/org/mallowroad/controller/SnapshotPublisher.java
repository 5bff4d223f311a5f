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
 * Makes pictures of this node for its console, on the loop and in turns: with a thousand machines
 * and hundreds of jobs the questions add up to more than a worker's answer should wait.
 */
final class SnapshotPublisher {
  /** Questions to the decision in one turn: about a millisecond of a whole core. */
  private static final int TURN = 10_000;

  private final EventLoop loop;
  private final ClusterConfig clusterConfig;
  private final KeyValueStore state;
  private final LeaderElection election;
  private final Supplier<Leader> leader;
  private final List<Consumer<NodeSnapshot>> waiting = new ArrayList<>();
  private SnapshotBuilder sketch;
  private Leader of;
  private boolean making;
  private long tookNs;

  SnapshotPublisher(
      EventLoop loop,
      ClusterConfig clusterConfig,
      KeyValueStore state,
      LeaderElection election,
      Supplier<Leader> leader) {
    this.loop = loop;
    this.clusterConfig = clusterConfig;
    this.state = state;
    this.election = election;
    this.leader = leader;
  }

  /** Makes a picture, or joins those who wait for the one that is being made. */
  void picture(Consumer<NodeSnapshot> done) {
    waiting.add(done);
    if (!making) {
      making = true;
      turn(true);
    }
  }

  /** One job as it is now; with a null line when this node does not lead or does not know it. */
  JobSnapshot job(String id) {
    Leader l = leader.get();
    return l == null || !l.loaded()
        ? new JobSnapshot(id, null, "", List.of(), 0)
        : sketch(l).job(id, loop.now());
  }

  private void turn(boolean first) {
    Leader l = leader.get();
    long began = loop.nanos();
    if (l == null || !l.loaded()) {
      tookNs = 0;
      over(plain(l, began));
      return;
    }
    NodeSnapshot made;
    try {
      made = step(l, first, began);
    } catch (RuntimeException e) {
      // Whoever waits gets what there is without explanations: a console that waits for an answer
      // asks nothing more.
      sketch = null;
      over(plain(l, began));
      throw e;
    }
    if (made == null) {
      tookNs += loop.nanos() - began;
      loop.soon(() -> turn(false));
    } else {
      over(made);
    }
  }

  /** One turn's questions; the picture when they were the last ones, else null. */
  private NodeSnapshot step(Leader l, boolean first, long began) {
    // A term that began meanwhile has other jobs.
    if (first || l != of) {
      of = l;
      tookNs = 0;
      sketch = sketch(l);
      sketch.begin(loop.now());
    }
    return sketch.step(TURN) ? full(l, began) : null;
  }

  private void over(NodeSnapshot p) {
    making = false;
    sketch = null;
    of = null;
    List<Consumer<NodeSnapshot>> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(c -> c.accept(p));
  }

  private SnapshotBuilder sketch(Leader l) {
    AutoscalerView supply = new LeaderSupply(l);
    return new SnapshotBuilder(
        l.schedulerState(),
        supply,
        clusterConfig.zones,
        new PendingReasonExplainer(
            l.schedulerState(), l.placement(), supply, clusterConfig.zones, clusterConfig.classes));
  }

  private NodeSnapshot full(Leader l, long began) {
    List<TeamLine> teams = sketch.teams();
    List<MachineLine> machines = sketch.machines();
    Totals totals = sketch.totals(teams, machines);
    return picture(
        l.acting() ? Phase.LEADING : Phase.TAKING_OVER, l, began, totals, teams, machines);
  }

  private NodeSnapshot plain(Leader l, long began) {
    Phase phase =
        l != null
            ? Phase.TAKING_OVER
            : election.leader() == null ? Phase.NO_LEADER : Phase.FOLLOWING;
    Totals none = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    return picture(phase, l, began, none, List.of(), List.of());
  }

  private NodeSnapshot picture(
      Phase phase,
      Leader l,
      long began,
      Totals totals,
      List<TeamLine> teams,
      List<MachineLine> machines) {
    boolean full = sketch != null;
    long silentMs = loop.now() - state.health().lastContactMs();
    return new NodeSnapshot(
        NodeSnapshot.FORMAT,
        clusterConfig.settings.node(),
        phase,
        l != null ? l.term() : election.seenTerm(),
        l != null
            ? clusterConfig.settings.node()
            : election.leader() == null ? "" : election.leader(),
        loop.wallMs(),
        (tookNs + loop.nanos() - began) / 1000,
        l == null ? 0 : l.lagMs(),
        state.health().lastContactMs() < 0 ? -1 : silentMs / 1000.0,
        l != null && l.firm(),
        totals,
        teams,
        full ? sketch.jobs() : List.of(),
        full ? sketch.jobsLeftOut() : 0,
        full ? sketch.zones() : List.of(),
        machines,
        full ? sketch.reasons() : List.of());
  }

  private final class LeaderSupply implements AutoscalerView {
    private final Leader leader;

    LeaderSupply(Leader leader) {
      this.leader = leader;
    }

    @Override
    public List<PendingMachines> coming(long now) {
      return leader.fleet().coming(now);
    }

    @Override
    public long refusedSinceMs(MachineVariant v) {
      return leader.fleet().refusedSinceMs(v);
    }

    @Override
    public List<MachineType> types() {
      return clusterConfig.machineTypes();
    }

    @Override
    public boolean firm() {
      return leader.firm();
    }

    @Override
    public long renewedMs() {
      return election.renewedMs();
    }
  }
}
