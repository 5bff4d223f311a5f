package org.mallowroad.controller;

import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.RequestSender;

/**
 * This node's link to an external service.
 *
 * @param service the service
 * @param directSender sends requests directly to the service, never through a peer
 * @param routeSelector chooses between the direct connection and a relaying peer
 */
record ExternalLink(
    ExternalService service, RequestSender directSender, RouteSelector routeSelector) {
  private static final int SERVICE_UNAVAILABLE = 503;

  /**
   * True if the HTTP status means that the service is unavailable; only status 503 of the state
   * service does.
   */
  boolean isServiceUnavailable(int status) {
    return service == ExternalService.STATE && status == SERVICE_UNAVAILABLE;
  }
}
