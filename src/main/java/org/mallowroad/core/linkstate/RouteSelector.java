package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntList;

/**
 * Selects the route of calls to one external service: direct, or relayed by a peer that reaches the
 * service.
 *
 * <p>Calls are direct while the direct path works according to its newest evidence. They are also
 * direct when no peer is known to reach the service, since a relay would gain nothing: an outage of
 * the service looks the same from every node. Calls return to the direct path only after it has
 * worked for the recovery time. The recovery time doubles with each relapse within a minute, so
 * that a flapping link does not switch the calls back and forth.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class RouteSelector {
  /** Denotes the direct path where otherwise the index of a peer is expected. */
  public static final int DIRECT = -1;

  /** Interval in ms of probes over the direct path while it is down. */
  private static final long PROBE_INTERVAL_MS = 500;

  /** A failure within this time in ms after the last change of state counts as a relapse. */
  private static final long RELAPSE_WINDOW_MS = 60_000;

  /** Maximum number of times that the recovery time is doubled. */
  private static final int MAX_DOUBLINGS = 4;

  private final LinkStateTable links;
  private final ExternalService service;

  /** True from a failure of the direct path until it has worked for the recovery time. */
  private boolean directPathDown;

  private int relayPeer = DIRECT;

  /** Since when the direct path has been working again; -1 while it does not work. */
  private long directPathWorkingSinceMs = -1;

  private long lastProbeMs = Long.MIN_VALUE / 2;

  /** When {@link #directPathDown} last changed. */
  private long directPathChangedMs = Long.MIN_VALUE / 2;

  private int relapseCount;
  private long routeChangeCount;
  private long relayedCallCount;

  /** Creates the selector for calls to a service. */
  public RouteSelector(LinkStateTable links, ExternalService service) {
    this.links = links;
    this.service = service;
  }

  /** Chooses the route of a call that is sent now: {@link #DIRECT} or the index of a peer. */
  public int chooseRoute(long now) {
    if (!directPathDown) {
      return DIRECT;
    }
    boolean keepsRelay = relayPeer != DIRECT && links.canPeerReach(relayPeer, service, now);
    int chosen = keepsRelay ? relayPeer : findRelay(relayPeer, now);
    if (chosen != relayPeer) {
      relayPeer = chosen;
      routeChangeCount++;
    }
    return chosen;
  }

  /**
   * Chooses a peer for the hedged copy of a direct call that has no answer yet; {@link #DIRECT} for
   * none.
   */
  public int chooseHedgePeer(long now) {
    return directPathDown ? DIRECT : findRelay(DIRECT, now);
  }

  /** Finds a peer that reaches the service, preferably another than {@code currentPeer}. */
  private int findRelay(int currentPeer, long now) {
    IntList candidates = links.peersReaching(service, now);
    if (candidates.isEmpty()) {
      return DIRECT;
    }
    for (int peer : candidates) {
      // Round robin, so that not all nodes use the same relay.
      if (peer > currentPeer) {
        return peer;
      }
    }
    return candidates.getInt(0);
  }

  /** Records the outcome of a direct call. */
  public void recordDirectCall(boolean succeeded, long sentMs, long now) {
    links.recordCall(service, succeeded, sentMs, now);
    if (!succeeded) {
      directPathWorkingSinceMs = -1;
      if (!directPathDown && links.isDown(service)) {
        leaveDirectPath(now);
      }
    } else if (directPathDown && !links.isDown(service)) {
      if (directPathWorkingSinceMs < 0) {
        directPathWorkingSinceMs = now;
      }
      if (relayPeer == DIRECT
          || now - directPathWorkingSinceMs >= links.policy().recoveryMs() << relapseCount) {
        returnToDirectPath(now);
      }
    }
  }

  private void leaveDirectPath(long now) {
    relapseCount =
        now - directPathChangedMs < RELAPSE_WINDOW_MS
            ? Math.min(relapseCount + 1, MAX_DOUBLINGS)
            : 0;
    directPathDown = true;
    directPathChangedMs = now;
    routeChangeCount++;
  }

  private void returnToDirectPath(long now) {
    directPathDown = false;
    directPathChangedMs = now;
    relayPeer = DIRECT;
    routeChangeCount++;
  }

  /** Records whether a call that a peer relayed succeeded. */
  public void recordRelayedCall(int peer, boolean succeeded, long now) {
    if (succeeded) {
      relayedCallCount++;
    } else if (directPathDown && peer == relayPeer) {
      relayPeer = findRelay(relayPeer, now);
      routeChangeCount++;
    }
  }

  /**
   * Returns true when the caller must probe the direct path now, and starts the next probe
   * interval. While calls are relayed, only probes show that the direct path works again.
   */
  public boolean startProbeIfDue(long now) {
    if (!directPathDown || now - lastProbeMs < PROBE_INTERVAL_MS) {
      return false;
    }
    lastProbeMs = now;
    return true;
  }

  /** True while calls are relayed, or would be relayed if a peer reached the service. */
  public boolean isDirectPathDown() {
    return directPathDown;
  }

  /** The peer that relays the calls, or {@link #DIRECT}. */
  public int relayPeer() {
    return relayPeer;
  }

  /**
   * Number of route changes so far. A changed number tells callers to give up calls that are still
   * waiting on an earlier route.
   */
  public long routeChangeCount() {
    return routeChangeCount;
  }

  /** Number of calls so far that succeeded through a peer. */
  public long relayedCallCount() {
    return relayedCallCount;
  }
}
