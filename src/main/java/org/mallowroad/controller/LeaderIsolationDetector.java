package org.mallowroad.controller;

import java.util.function.IntSupplier;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.provisioning.FailureResponder;

/**
 * Detects that the leader is cut off from its workers, or from both the state service and its
 * peers. Runs on the event loop only.
 */
final class LeaderIsolationDetector {
  /**
   * Milliseconds after the last renewal was sent by which the leader's lease of 3 s has certainly
   * expired at the state service, even if messages are still in flight.
   */
  private static final long LEASE_EXPIRED_AFTER_MS = 4_500;

  /**
   * Time that a worker takes to reach the leader through a peer: an unanswered heartbeat, the pause
   * before the retry, and both of these once more.
   */
  private static final long RELAY_FALLBACK_MS = 10_000;

  /** Allowance for heartbeats that are delayed by the network and by timers. */
  private static final long HEARTBEAT_MARGIN_MS = 2_000;

  /**
   * Heartbeat intervals without any heartbeat that are tolerated once one has arrived in this term.
   */
  private static final double MAX_MISSED_INTERVALS = 1.5;

  /**
   * Heartbeat intervals without any heartbeat that are tolerated before the first one of this term.
   */
  private static final double MAX_MISSED_INTERVALS_BEFORE_FIRST = 3;

  /**
   * Up to this number of machines, if none has sent a heartbeat in this term, they are presumed
   * dead rather than unreachable.
   */
  private static final int MAX_MACHINES_PRESUMED_DEAD = 8;

  private final LeaderContext context;
  private final Settings settings;
  private final IntSupplier expectedWorkerCount;
  private boolean hasReceivedHeartbeat;
  private long lastHeartbeatMs;

  /**
   * Creates the detector of one term.
   *
   * @param expectedWorkerCount the number of machines whose workers should send heartbeats
   */
  LeaderIsolationDetector(LeaderContext context, IntSupplier expectedWorkerCount) {
    this.context = context;
    this.settings = context.clusterConfig().settings;
    this.expectedWorkerCount = expectedWorkerCount;
    this.lastHeartbeatMs = context.startedMs();
  }

  /** Records a heartbeat that is neither a duplicate nor older than one already processed. */
  void heartbeatReceived(long now) {
    hasReceivedHeartbeat = true;
    lastHeartbeatMs = now;
  }

  /** Milliseconds since the last heartbeat of any worker, or since the term began. */
  long silenceMs(long now) {
    return now - lastHeartbeatMs;
  }

  /**
   * True if there are machines but none of them has sent a heartbeat for longer than tolerated. If
   * none has sent one in this term and there are only a few machines, they may all be dead. The
   * leader then keeps its leadership until they are returned, since otherwise their tasks would
   * never be proven to have ended.
   */
  boolean isCutOffFromWorkers(long now) {
    double maxMissedIntervals =
        hasReceivedHeartbeat ? MAX_MISSED_INTERVALS : MAX_MISSED_INTERVALS_BEFORE_FIRST;
    // While this process was paused it received nothing, so that time is no evidence about the
    // workers.
    long listeningSinceMs =
        Math.max(
            lastHeartbeatMs, context.schedulerState().health().pauseDetector().listeningSinceMs());
    // If peers are reachable, workers that can no longer reach this node get time to send their
    // heartbeats through a peer.
    long relayFallbackMs =
        context.services().reachablePeers().getAsInt() > 0 ? RELAY_FALLBACK_MS : 0;
    return settings.nodeCount() > 1
        && now - listeningSinceMs
            > (long) (maxMissedIntervals * settings.heartbeatIntervalS() * 1000)
                + HEARTBEAT_MARGIN_MS
                + relayFallbackMs
        && expectedWorkerCount.getAsInt() > (hasReceivedHeartbeat ? 0 : MAX_MACHINES_PRESUMED_DEAD);
  }

  /**
   * True if this leader's lease must have expired and no peer is reachable. Either this node is cut
   * off and another node may lead, or the state service and the peers are down. This node cannot
   * distinguish the two cases, but a worker that contacts the other nodes can ({@link
   * FailureResponder#tryRedirect}).
   */
  boolean isCutOffFromStateAndPeers(long now) {
    LeaderServices services = context.services();
    return settings.nodeCount() > 1
        && services.reachablePeers().getAsInt() == 0
        && now
                - Math.max(
                    context.lease().renewedMs(), services.state().health().lastExecutedCallSentMs())
            > LEASE_EXPIRED_AFTER_MS;
  }
}
