package org.mallowroad.api;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mallowroad.net.IncomingRequest;

/** Routes what users, workers and probes ask; all answers are given on the one loop. */
public final class HttpRouter {
  private static final String JOBS = "/v1/jobs";
  private static final String TEXT = "text/plain; charset=utf-8";

  private final Users users;
  private final Consumer<IncomingRequest> reports;
  private final Supplier<Boolean> healthy;
  private final Supplier<String> metrics;

  /** Serves what users ask, here or through a peer. */
  @FunctionalInterface
  public interface Users {
    /** Serves one request; a path without a suffix has an empty one. */
    void serve(String method, String path, byte[] body, Responder answerer);
  }

  /** Over the parties' handlers. */
  public HttpRouter(
      Users users,
      Consumer<IncomingRequest> reports,
      Supplier<Boolean> healthy,
      Supplier<String> metrics) {
    this.users = users;
    this.reports = reports;
    this.healthy = healthy;
    this.metrics = metrics;
  }

  /** Serves one request. */
  public void request(IncomingRequest x) {
    String path = x.path();
    if (path.equals("/v1/report")) {
      if (allowed(x, true)) {
        reports.accept(x);
      }
    } else if (path.equals(JOBS)) {
      if (allowed(x, true)) {
        serve(x);
      }
    } else if (path.startsWith(JOBS + "/")) {
      String rest = path.substring(JOBS.length() + 1);
      int slash = rest.indexOf('/');
      if (slash < 0 || rest.substring(slash).equals("/withdraw")) {
        if (allowed(x, slash >= 0)) {
          serve(x);
        }
      } else {
        Reply.error(x, 404, "no such path");
      }
    } else if (path.equals("/healthz")) {
      if (allowed(x, false)) {
        if (healthy.get()) {
          text(x, "ok\n");
        } else {
          Reply.retryLater(x, "not ready");
        }
      }
    } else if (path.equals("/metrics")) {
      if (allowed(x, false)) {
        text(x, metrics.get());
      }
    } else {
      Reply.error(x, 404, "no such path");
    }
  }

  private static void text(IncomingRequest x, String text) {
    x.answer(200, TEXT, text.getBytes(StandardCharsets.UTF_8), false);
  }

  private void serve(IncomingRequest x) {
    users.serve(x.method(), x.path(), x.body(), Reply.over(x));
  }

  private static boolean allowed(IncomingRequest x, boolean post) {
    if (x.method().equals(post ? "POST" : "GET")) {
      return true;
    }
    Reply.error(x, 405, "method not allowed");
    return false;
  }
}
