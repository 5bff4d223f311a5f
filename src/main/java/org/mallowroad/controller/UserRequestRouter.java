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
 * Serves user requests on this node or, while it cannot reach the state service, through a peer
 * that can. Runs on the event loop only.
 */
final class UserRequestRouter implements HttpRouter.UserRequestHandler {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String STATE_SERVICE_UNREACHABLE = "state service not reached";

  private final EventLoop loop;
  private final KeyValueStore state;
  private final UserApi users;
  private final PeerMessenger peers;
  private final boolean hasPeers;

  /** Null if link monitoring is disabled. */
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
      relayToReachablePeer(method, path, body, responder);
    } else if (state.health().isFailing()) {
      peers.relayToAnyPeer(method, path, body, responder, () -> respondUnavailable(responder));
    } else {
      serveOrRelay(method, path, body, responder);
    }
  }

  /**
   * Relays the request over one hop to a peer that can reach the state service; fails at once if
   * there is none.
   */
  private void relayToReachablePeer(String method, String path, byte[] body, Responder responder) {
    int peer = links.stateRoute().chooseRoute(loop.now());
    if (peer == RouteSelector.DIRECT) {
      respondUnavailable(responder);
    } else {
      peers.relayToPeer(peer, method, path, body, responder, () -> respondUnavailable(responder));
    }
  }

  private void serveOrRelay(String method, String path, byte[] body, Responder responder) {
    users.serve(
        method,
        path,
        body,
        (status, answer, retryLater) -> {
          if (status == SERVICE_UNAVAILABLE) {
            peers.relayToAnyPeer(
                method, path, body, responder, () -> responder.respond(status, answer, retryLater));
          } else {
            responder.respond(status, answer, retryLater);
          }
        });
  }

  private static void respondUnavailable(Responder responder) {
    responder.respond(
        SERVICE_UNAVAILABLE, JsonResponses.errorBody(STATE_SERVICE_UNREACHABLE), true);
  }
}
