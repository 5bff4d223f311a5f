package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntList;

/**
 * Selects the route of calls to one external service: direct, or relayed by a peer that reaches the
 * service.
 *
 * <p>Calls are direct while the newest evidence of the direct path is good. They are direct also
 * when no peer is known to reach the service, since nothing would be gained: an outage of the
 * service looks the same from every node. Calls return to the direct path only after it has worked
 * for a while, which doubles with each relapse within a minute, so that a flapping link does not
 * move the calls back and forth.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class RouteSelector {
  /** The direct path, in place of the index of a peer. */
  public static final int DIRECT = -1;

  /** Interval of probes over the direct path while it is down. */
  private static final long PROBE_INTERVAL_MS = 500;

  /** A failure within this time after the last change of state is a relapse. */
  private static final long RELAPSE_MS = 60_000;

  /** The recovery time is doubled this many times at the most. */
  private static final int MAX_DOUBLINGS = 4;

  private final LinkStateTable links;
  private final ExternalService service;

  /** True from a failure of the direct path until it has worked for the recovery time. */
  private boolean directPathDown;

  private int relayPeer = DIRECT;

  /** Since when the direct path works again; -1 while it does not. */
  private long workingSinceMs = -1;

  private long probedMs = Long.MIN_VALUE / 2;

  /** When {@link #directPathDown} last changed. */
  private long changedMs = Long.MIN_VALUE / 2;

  private int relapses;
  private long routeChangeCount;
  private long relayedCallCount;

  /** Creates the selector for calls to a service. */
  public RouteSelector(LinkStateTable links, ExternalService service) {
    this.links = links;
    this.service = service;
  }

  /** The route of a call that is sent now: {@link #DIRECT} or a peer. */
  public int chooseRoute(long now) {
    if (!directPathDown) {
      return DIRECT;
    }
    boolean keep = relayPeer != DIRECT && links.canPeerReach(relayPeer, service, now);
    int chosen = keep ? relayPeer : findRelay(relayPeer, now);
    if (chosen != relayPeer) {
      relayPeer = chosen;
      routeChangeCount++;
    }
    return chosen;
  }

  /** A peer for a hedged copy of a direct call without an answer; {@link #DIRECT} for none. */
  public int chooseHedgePeer(long now) {
    return directPathDown ? DIRECT : findRelay(DIRECT, now);
  }

  /** A peer that reaches the service, other than {@code current} if there is one. */
  private int findRelay(int current, long now) {
    IntList candidates = links.peersReaching(service, now);
    if (candidates.isEmpty()) {
      return DIRECT;
    }
    for (int peer : candidates) {
      // The next one in turn, so that not all nodes use the same relay.
      if (peer > current) {
        return peer;
      }
    }
    return candidates.getInt(0);
  }

  /** Records the outcome of a direct call. */
  public void recordDirectCall(boolean succeeded, long sentMs, long now) {
    links.recordCall(service, succeeded, sentMs, now);
    if (!succeeded) {
      workingSinceMs = -1;
      if (!directPathDown && links.isDown(service)) {
        leaveDirectPath(now);
      }
    } else if (directPathDown && !links.isDown(service)) {
      if (workingSinceMs < 0) {
        workingSinceMs = now;
      }
      if (relayPeer == DIRECT || now - workingSinceMs >= links.policy().recoveryMs() << relapses) {
        returnToDirectPath(now);
      }
    }
  }

  private void leaveDirectPath(long now) {
    relapses = now - changedMs < RELAPSE_MS ? Math.min(relapses + 1, MAX_DOUBLINGS) : 0;
    directPathDown = true;
    changedMs = now;
    routeChangeCount++;
  }

  private void returnToDirectPath(long now) {
    directPathDown = false;
    changedMs = now;
    relayPeer = DIRECT;
    routeChangeCount++;
  }

  /** Records whether a call that was relayed by a peer was done. */
  public void recordRelayedCall(int peer, boolean succeeded, long now) {
    if (succeeded) {
      relayedCallCount++;
    } else if (directPathDown && peer == relayPeer) {
      relayPeer = findRelay(relayPeer, now);
      routeChangeCount++;
    }
  }

  /** True when the direct path is to be probed now: no call shows that it works again. */
  public boolean startProbeIfDue(long now) {
    if (!directPathDown || now - probedMs < PROBE_INTERVAL_MS) {
      return false;
    }
    probedMs = now;
    return true;
  }

  /** True while calls are relayed, or would be if a peer reached the service. */
  public boolean isDirectPathDown() {
    return directPathDown;
  }

  /** The peer that relays the calls, or {@link #DIRECT}. */
  public int relayPeer() {
    return relayPeer;
  }

  /** Number of route changes so far: calls that still wait on an earlier route are given up. */
  public long routeChangeCount() {
    return routeChangeCount;
  }

  /** Number of calls that were done by way of a peer. */
  public long relayedCallCount() {
    return relayedCallCount;
  }
}
