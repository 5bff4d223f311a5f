package org.mallowroad.controller;

import org.mallowroad.api.HttpRouter;
import org.mallowroad.api.JsonResponses;
import org.mallowroad.api.Responder;
import org.mallowroad.api.UserApi;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;
import org.mallowroad.state.KeyValueStore;

/**
 * Serves a user's request on this node or, while it does not reach the state service, through a
 * peer that does. Runs on the event loop only.
 */
final class UserRequestRouter implements HttpRouter.UserRequestHandler {
  private static final int UNAVAILABLE = 503;
  private static final String STATE_NOT_REACHED = "state service not reached";

  private final EventLoop loop;
  private final KeyValueStore state;
  private final UserApi users;
  private final PeerMessenger peers;
  private final boolean hasPeers;

  /** Null where links are not monitored. */
  private final LinkMonitor links;

  UserRequestRouter(NodeComponents node) {
    this.loop = node.loop;
    this.state = node.state;
    this.users = node.users;
    this.peers = node.peers;
    this.links = node.links;
    this.hasPeers = !node.clusterConfig.settings().members().isEmpty();
  }

  @Override
  public void serve(String method, String path, byte[] body, Responder responder) {
    if (!hasPeers) {
      users.serve(method, path, body, responder);
    } else if (links != null && links.stateRoute().isDirectPathDown()) {
      relayByLinkState(method, path, body, responder);
    } else if (state.health().isFailing()) {
      peers.relayToAnyPeer(method, path, body, responder, () -> refuse(responder));
    } else {
      serveOrRelay(method, path, body, responder);
    }
  }

  /** One hop to a peer that reaches the state service; without one the request fails at once. */
  private void relayByLinkState(String method, String path, byte[] body, Responder responder) {
    int peer = links.stateRoute().chooseRoute(loop.now());
    if (peer == RouteSelector.DIRECT) {
      refuse(responder);
    } else {
      peers.relayToPeer(peer, method, path, body, responder, () -> refuse(responder));
    }
  }

  private void serveOrRelay(String method, String path, byte[] body, Responder responder) {
    users.serve(
        method,
        path,
        body,
        (status, answer, later) -> {
          if (status == UNAVAILABLE) {
            peers.relayToAnyPeer(
                method, path, body, responder, () -> responder.respond(status, answer, later));
          } else {
            responder.respond(status, answer, later);
          }
        });
  }

  private static void refuse(Responder responder) {
    responder.respond(UNAVAILABLE, JsonResponses.errorBody(STATE_NOT_REACHED), true);
  }
}
