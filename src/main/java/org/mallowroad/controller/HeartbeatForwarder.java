package org.mallowroad.controller;

import org.mallowroad.api.JsonResponses;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.linkstate.HeartbeatRelay;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.RequestSender;
import org.mallowroad.peer.RelayTransport;

/**
 * Forwards heartbeats to the leader on behalf of workers that cannot reach it themselves. Runs on
 * the event loop only. See {@link LinkMonitor} for the proof that forwarding violates no invariant.
 */
final class HeartbeatForwarder {
  /** Maximum number of heartbeats being forwarded at the same time; further ones are rejected. */
  private static final int MAX_IN_FLIGHT = 192;

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String LEADER_UNREACHABLE = "the leader is not reached";

  private final EventLoop loop;
  private final ClusterConfig clusterConfig;
  private final LinkStateTable links;
  private final HeartbeatRelay relay;
  private final RelayTransport transport;
  private int inFlight;

  HeartbeatForwarder(
      EventLoop loop,
      ClusterConfig clusterConfig,
      LinkPolicy policy,
      LinkStateTable links,
      RelayTransport transport) {
    this.loop = loop;
    this.clusterConfig = clusterConfig;
    this.links = links;
    this.relay = new HeartbeatRelay(policy, clusterConfig.settings.zones().size());
    this.transport = transport;
  }

  /** The policy that decides which heartbeats are forwarded and counts them. */
  HeartbeatRelay relay() {
    return relay;
  }

  /**
   * Forwards a heartbeat if its worker cannot reach the leader.
   *
   * @return false if the worker should be redirected to the leader instead
   */
  boolean forward(IncomingRequest request, Heartbeat heartbeat, String leader, long leaderTerm) {
    int leaderPeer = links.peerIndex(leader);
    if (leaderPeer < 0 || !shouldForward(heartbeat, leaderPeer, leaderTerm)) {
      return false;
    }
    if (links.isPeerDown(leaderPeer)) {
      // Neither the worker nor this node can reach the leader, but another node may. The worker is
      // told at once so that it does not wait for a timeout.
      JsonResponses.sendRetryLater(request, LEADER_UNREACHABLE);
    } else if (inFlight >= MAX_IN_FLIGHT) {
      JsonResponses.sendRetryLater(request, "too many reports are carried");
    } else {
      send(request, leaderPeer);
    }
    return true;
  }

  private boolean shouldForward(Heartbeat heartbeat, int leaderPeer, long leaderTerm) {
    long now = loop.now();
    LinkStateAdvertisement advertisement = links.freshAdvertisement(leaderPeer, now);
    LinkStateAdvertisement.ZoneContact zoneContact =
        advertisement == null ? null : advertisement.zoneContact(heartbeat.zone());
    return relay.shouldRelay(
        heartbeat.machine(),
        clusterConfig.zones.find(heartbeat.zone()),
        heartbeat.fencingToken(),
        leaderTerm,
        zoneContact == null ? -1 : zoneContact.directAgeMs(),
        now);
  }

  private void send(IncomingRequest request, int leaderPeer) {
    inFlight++;
    transport.relayHeartbeat(
        leaderPeer,
        clusterConfig.settings.node(),
        request.body(),
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {
            inFlight--;
            request.respond(status, "application/json", body, status == SERVICE_UNAVAILABLE);
          }

          @Override
          public void onFailure(boolean sent) {
            inFlight--;
            JsonResponses.sendRetryLater(request, LEADER_UNREACHABLE);
          }
        });
  }
}
