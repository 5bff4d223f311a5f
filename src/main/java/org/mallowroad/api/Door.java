package org.mallowroad.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.mallowroad.worker.ReportApi;

/** Routes requests; all answers are given on the one loop. */
public final class Door implements HttpHandler {
  private static final String JOBS = "/v1/jobs";

  /** The largest body that is read. */
  public static final int MOST_BODY = Intake.MOST_BODY;

  private final Users users;
  private final ReportApi workers;
  private final Supplier<Boolean> healthy;
  private final Supplier<String> metrics;
  private final Intake reports;
  private final Intake submissions;

  /** Serves what users ask, here or through a peer. */
  @FunctionalInterface
  public interface Users {
    /** Serves one request; a path without a suffix has an empty one. */
    void serve(String method, String path, byte[] body, Answerer answerer);
  }

  /**
   * Over the parties' handlers; the bodies in hand of users, and those of workers, take {@code
   * mostBytes} together.
   */
  public Door(
      Users users,
      ReportApi workers,
      Supplier<Boolean> healthy,
      Supplier<String> metrics,
      long mostBytes) {
    this.reports = new Intake(mostBytes);
    this.submissions = new Intake(mostBytes);
    this.users = users;
    this.workers = workers;
    this.healthy = healthy;
    this.metrics = metrics;
  }

  @Override
  public void handleRequest(HttpServerExchange x) {
    String path = x.getRequestPath();
    if (path.equals("/v1/report")) {
      if (allowed(x, true)) {
        reports.read(x, workers::report);
      }
    } else if (path.equals(JOBS)) {
      if (allowed(x, true)) {
        submissions.read(x, this::serve);
      }
    } else if (path.startsWith(JOBS + "/")) {
      String rest = path.substring(JOBS.length() + 1);
      int slash = rest.indexOf('/');
      if (slash < 0) {
        if (allowed(x, false)) {
          Intake.async(x, () -> serve(x, new byte[0]));
        }
      } else if (rest.substring(slash).equals("/withdraw")) {
        if (allowed(x, true)) {
          submissions.read(x, this::serve);
        }
      } else {
        Reply.error(x, 404, "no such path");
      }
    } else if (path.equals("/healthz")) {
      if (allowed(x, false)) {
        if (healthy.get()) {
          x.setStatusCode(200);
          x.getResponseSender().send("ok\n");
        } else {
          Reply.later(x, "not ready");
        }
      }
    } else if (path.equals("/metrics")) {
      if (allowed(x, false)) {
        x.getResponseSender().send(ByteBuffer.wrap(metrics.get().getBytes(StandardCharsets.UTF_8)));
      }
    } else {
      Reply.error(x, 404, "no such path");
    }
  }

  /** Bytes of the bodies in hand, by what was announced. */
  public long bytes() {
    return reports.bytes() + submissions.bytes();
  }

  private void serve(HttpServerExchange x, byte[] body) {
    users.serve(x.getRequestMethod().toString(), x.getRequestPath(), body, Reply.over(x));
  }

  private static boolean allowed(HttpServerExchange x, boolean post) {
    if (x.getRequestMethod().equals(post ? Methods.POST : Methods.GET)) {
      return true;
    }
    Reply.error(x, 405, "method not allowed");
    return false;
  }
}
