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
 * Forwards heartbeats to the leader for workers that do not reach it themselves. Runs on the event
 * loop only. {@link LinkMonitor} has the proof that this breaks no rule.
 */
final class HeartbeatForwarder {
  /** Heartbeats that are being forwarded at once; more are turned away. */
  private static final int MAX_IN_FLIGHT = 192;

  private static final int UNAVAILABLE = 503;
  private static final String LEADER_NOT_REACHED = "the leader is not reached";

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

  /** Decides which heartbeats are forwarded, and counts them. */
  HeartbeatRelay relay() {
    return relay;
  }

  /**
   * Forwards a heartbeat where its worker does not reach the leader.
   *
   * @return false when the worker is to be redirected to the leader instead
   */
  boolean forward(IncomingRequest request, Heartbeat heartbeat, String leader, long leaderTerm) {
    int peer = links.peerIndex(leader);
    if (peer < 0 || !mustForward(heartbeat, peer, leaderTerm)) {
      return false;
    }
    if (links.isPeerDown(peer)) {
      // Neither of us gets there: the next node may, and the worker must not wait to hear it.
      JsonResponses.sendRetryLater(request, LEADER_NOT_REACHED);
    } else if (inFlight >= MAX_IN_FLIGHT) {
      JsonResponses.sendRetryLater(request, "too many reports are carried");
    } else {
      send(request, peer);
    }
    return true;
  }

  private boolean mustForward(Heartbeat heartbeat, int peer, long leaderTerm) {
    long now = loop.now();
    LinkStateAdvertisement advertised = links.freshAdvertisement(peer, now);
    LinkStateAdvertisement.ZoneContact zone =
        advertised == null ? null : advertised.zoneContact(heartbeat.zone());
    return relay.shouldRelay(
        heartbeat.machine(),
        clusterConfig.zones.find(heartbeat.zone()),
        heartbeat.fencingToken(),
        leaderTerm,
        zone == null ? -1 : zone.directAgeMs(),
        now);
  }

  private void send(IncomingRequest request, int peer) {
    inFlight++;
    transport.relayHeartbeat(
        peer,
        clusterConfig.settings.node(),
        request.body(),
        new RequestSender.ResponseHandler() {
          @Override
          public void answered(int status, byte[] body) {
            inFlight--;
            request.answer(status, "application/json", body, status == UNAVAILABLE);
          }

          @Override
          public void failed(boolean sent) {
            inFlight--;
            JsonResponses.sendRetryLater(request, LEADER_NOT_REACHED);
          }
        });
  }
}
