package org.mallowroad.controller;

import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.RequestSender;

/**
 * This node's link to an external service.
 *
 * @param service the service
 * @param direct calls it directly, never by way of a peer
 * @param route chooses between the direct way and a peer
 */
record ExternalLink(ExternalService service, RequestSender direct, RouteSelector route) {
  private static final int UNAVAILABLE = 503;

  /** True for an answer that says that the service does not work: only the state service's 503. */
  boolean isRefusal(int status) {
    return service == ExternalService.STATE && status == UNAVAILABLE;
  }
}
