package org.mallowroad.controller;

import java.util.function.IntSupplier;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.provisioning.FailureResponder;

/**
 * Notices that the leader is cut off: from its workers, or from the state service and its peers.
 * Runs on the event loop only.
 */
final class LeaderIsolationDetector {
  /**
   * A lease of 3 s is over at the state service this long after its last renewal was sent, whatever
   * is still on its way.
   */
  private static final long LEASE_SURELY_OVER_MS = 4_500;

  /**
   * How long a worker takes to reach the leader by way of a peer: a heartbeat without an answer,
   * the pause, and the same once more.
   */
  private static final long DETOUR_TIMEOUT_MS = 10_000;

  /** Heartbeats come late by network and timers. */
  private static final long HEARTBEAT_MARGIN_MS = 2_000;

  /** Heartbeat intervals without any heartbeat, once there were some in this term. */
  private static final double MISSED_INTERVALS = 1.5;

  /** The same while there was none yet in this term. */
  private static final double MISSED_INTERVALS_BEFORE_FIRST = 3;

  /** So few machines that never sent a heartbeat may rather all be dead. */
  private static final int FEW_MACHINES = 8;

  private final LeaderContext context;
  private final Settings settings;
  private final IntSupplier expectedWorkers;
  private boolean receivedAny;
  private long lastHeartbeatMs;

  /**
   * For one term.
   *
   * @param expectedWorkers how many machines there are whose workers should send heartbeats
   */
  LeaderIsolationDetector(LeaderContext context, IntSupplier expectedWorkers) {
    this.context = context;
    this.settings = context.clusterConfig().settings;
    this.expectedWorkers = expectedWorkers;
    this.lastHeartbeatMs = context.startedMs();
  }

  /** A heartbeat came that is neither a late copy nor overtaken by a newer one. */
  void heartbeatReceived(long now) {
    receivedAny = true;
    lastHeartbeatMs = now;
  }

  /** Milliseconds since the last heartbeat of any worker, or since the term began. */
  long silenceMs(long now) {
    return now - lastHeartbeatMs;
  }

  /**
   * True when there are machines and not one of them has sent a heartbeat for over an interval.
   * Where none ever did in this term, a handful may rather all be dead: then the leadership is kept
   * until they are returned, or their tasks would never be proven gone.
   */
  boolean isCutOffFromWorkers(long now) {
    double missed = receivedAny ? MISSED_INTERVALS : MISSED_INTERVALS_BEFORE_FIRST;
    // While this process was paused it received nothing: that says nothing of the workers.
    long listeningSinceMs =
        Math.max(
            lastHeartbeatMs, context.schedulerState().health().pauseDetector().listeningSinceMs());
    // With peers at hand workers that lost their way here come by one of them first.
    long detourMs = context.services().reachablePeers().getAsInt() > 0 ? DETOUR_TIMEOUT_MS : 0;
    return settings.nodes() > 1
        && now - listeningSinceMs
            > (long) (missed * settings.heartbeatIntervalS() * 1000)
                + HEARTBEAT_MARGIN_MS
                + detourMs
        && expectedWorkers.getAsInt() > (receivedAny ? 0 : FEW_MACHINES);
  }

  /**
   * True when this leader's lease must have expired and no peer is reachable. Either it is cut off
   * and another node leads, or the state service and the peers are down. This node cannot tell the
   * two apart, but a worker that asks the other nodes can ({@link FailureResponder#tryRedirect}).
   */
  boolean isCutOffFromStateAndPeers(long now) {
    LeaderServices services = context.services();
    return settings.nodes() > 1
        && services.reachablePeers().getAsInt() == 0
        && now
                - Math.max(
                    context.lease().renewedMs(), services.state().health().lastExecutedCallSentMs())
            > LEASE_SURELY_OVER_MS;
  }
}
