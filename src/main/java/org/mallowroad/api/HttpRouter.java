package org.mallowroad.api;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mallowroad.net.IncomingRequest;

/** Routes HTTP requests from users, workers and health probes by path and method. */
public final class HttpRouter {
  private static final String JOBS_PATH = "/v1/jobs";
  private static final String HEARTBEATS_PATH = "/v1/report";
  private static final String CANCEL_SUFFIX = "/withdraw";
  private static final String HEALTH_PATH = "/healthz";
  private static final String METRICS_PATH = "/metrics";
  private static final String TEXT_CONTENT_TYPE = "text/plain; charset=utf-8";

  private final UserRequestHandler userRequests;
  private final Consumer<IncomingRequest> heartbeatHandler;
  private final Supplier<Boolean> isHealthy;
  private final Supplier<String> metricsText;

  /** Serves users' requests, on this node or by relaying them to a peer. */
  @FunctionalInterface
  public interface UserRequestHandler {
    /** Serves a request whose path and method the router has checked. */
    void serve(String method, String path, byte[] body, Responder responder);
  }

  /**
   * Creates a router for these handlers.
   *
   * @param userRequests serves users' requests
   * @param heartbeatHandler serves workers' heartbeats
   * @param isHealthy whether the health probe is answered with 200, else with 503
   * @param metricsText supplies the metrics in text format
   */
  public HttpRouter(
      UserRequestHandler userRequests,
      Consumer<IncomingRequest> heartbeatHandler,
      Supplier<Boolean> isHealthy,
      Supplier<String> metricsText) {
    this.userRequests = userRequests;
    this.heartbeatHandler = heartbeatHandler;
    this.isHealthy = isHealthy;
    this.metricsText = metricsText;
  }

  /** Routes one request; called on the event loop. */
  public void route(IncomingRequest request) {
    String path = request.path();
    if (path.equals(HEARTBEATS_PATH)) {
      if (checkMethod(request, true)) {
        heartbeatHandler.accept(request);
      }
    } else if (path.equals(JOBS_PATH)) {
      if (checkMethod(request, true)) {
        serve(request);
      }
    } else if (path.startsWith(JOBS_PATH + "/")) {
      String idAndAction = path.substring(JOBS_PATH.length() + 1);
      int slash = idAndAction.indexOf('/');
      if (slash < 0 || idAndAction.substring(slash).equals(CANCEL_SUFFIX)) {
        if (checkMethod(request, slash >= 0)) {
          serve(request);
        }
      } else {
        JsonResponses.sendError(request, 404, "no such path");
      }
    } else if (path.equals(HEALTH_PATH)) {
      if (checkMethod(request, false)) {
        if (isHealthy.get()) {
          sendText(request, "ok\n");
        } else {
          JsonResponses.sendRetryLater(request, "not ready");
        }
      }
    } else if (path.equals(METRICS_PATH)) {
      if (checkMethod(request, false)) {
        sendText(request, metricsText.get());
      }
    } else {
      JsonResponses.sendError(request, 404, "no such path");
    }
  }

  private static void sendText(IncomingRequest request, String text) {
    request.respond(200, TEXT_CONTENT_TYPE, text.getBytes(StandardCharsets.UTF_8), false);
  }

  private void serve(IncomingRequest request) {
    userRequests.serve(
        request.method(), request.path(), request.body(), JsonResponses.responderFor(request));
  }

  /** Whether the request has the required method, POST or GET; if not, responds with 405. */
  private static boolean checkMethod(IncomingRequest request, boolean isPostRequired) {
    if (request.method().equals(isPostRequired ? "POST" : "GET")) {
      return true;
    }
    JsonResponses.sendError(request, 405, "method not allowed");
    return false;
  }
}
