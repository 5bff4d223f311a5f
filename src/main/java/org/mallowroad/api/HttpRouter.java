package org.mallowroad.api;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mallowroad.net.IncomingRequest;

/** Routes requests of users, workers and probes by path and method. */
public final class HttpRouter {
  private static final String JOBS = "/v1/jobs";
  private static final String HEARTBEATS = "/v1/report";
  private static final String CANCEL_SUFFIX = "/withdraw";
  private static final String HEALTH = "/healthz";
  private static final String METRICS = "/metrics";
  private static final String TEXT = "text/plain; charset=utf-8";

  private final UserRequestHandler users;
  private final Consumer<IncomingRequest> heartbeats;
  private final Supplier<Boolean> healthy;
  private final Supplier<String> metrics;

  /** Serves users' requests, on this node or through a peer. */
  @FunctionalInterface
  public interface UserRequestHandler {
    /** Serves one request whose path and method are those of a user's request. */
    void serve(String method, String path, byte[] body, Responder responder);
  }

  /**
   * Routes to these handlers.
   *
   * @param healthy whether the node answers its health probe with 200
   * @param metrics the text of the metrics
   */
  public HttpRouter(
      UserRequestHandler users,
      Consumer<IncomingRequest> heartbeats,
      Supplier<Boolean> healthy,
      Supplier<String> metrics) {
    this.users = users;
    this.heartbeats = heartbeats;
    this.healthy = healthy;
    this.metrics = metrics;
  }

  /** Serves one request, on the event loop. */
  public void route(IncomingRequest x) {
    String path = x.path();
    if (path.equals(HEARTBEATS)) {
      if (isAllowed(x, true)) {
        heartbeats.accept(x);
      }
    } else if (path.equals(JOBS)) {
      if (isAllowed(x, true)) {
        serve(x);
      }
    } else if (path.startsWith(JOBS + "/")) {
      String rest = path.substring(JOBS.length() + 1);
      int slash = rest.indexOf('/');
      if (slash < 0 || rest.substring(slash).equals(CANCEL_SUFFIX)) {
        if (isAllowed(x, slash >= 0)) {
          serve(x);
        }
      } else {
        JsonResponses.sendError(x, 404, "no such path");
      }
    } else if (path.equals(HEALTH)) {
      if (isAllowed(x, false)) {
        if (healthy.get()) {
          text(x, "ok\n");
        } else {
          JsonResponses.sendRetryLater(x, "not ready");
        }
      }
    } else if (path.equals(METRICS)) {
      if (isAllowed(x, false)) {
        text(x, metrics.get());
      }
    } else {
      JsonResponses.sendError(x, 404, "no such path");
    }
  }

  private static void text(IncomingRequest x, String text) {
    x.respond(200, TEXT, text.getBytes(StandardCharsets.UTF_8), false);
  }

  private void serve(IncomingRequest x) {
    users.serve(x.method(), x.path(), x.body(), JsonResponses.responderFor(x));
  }

  private static boolean isAllowed(IncomingRequest x, boolean post) {
    if (x.method().equals(post ? "POST" : "GET")) {
      return true;
    }
    JsonResponses.sendError(x, 405, "method not allowed");
    return false;
  }
}
