package org.mallowroad.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mallowroad.worker.ReportApi;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes requests; all answers are given on the one loop. */
public final class Door implements HttpHandler {
  private static final Logger LOG = LoggerFactory.getLogger(Door.class);
  private static final String JOBS = "/v1/jobs";

  private final Users users;
  private final ReportApi workers;
  private final Supplier<Boolean> healthy;
  private final Supplier<String> metrics;

  /** Serves what users ask, here or through a peer. */
  @FunctionalInterface
  public interface Users {
    /** Serves one request; a path without a suffix has an empty one. */
    void serve(String method, String path, byte[] body, Answerer answerer);
  }

  /** Over the parties' handlers. */
  public Door(Users users, ReportApi workers, Supplier<Boolean> healthy, Supplier<String> metrics) {
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
        body(x, workers::report);
      }
    } else if (path.equals(JOBS)) {
      if (allowed(x, true)) {
        body(x, this::serve);
      }
    } else if (path.startsWith(JOBS + "/")) {
      String rest = path.substring(JOBS.length() + 1);
      int slash = rest.indexOf('/');
      if (slash < 0) {
        if (allowed(x, false)) {
          async(x, e -> serve(e, new byte[0]));
        }
      } else if (rest.substring(slash).equals("/withdraw")) {
        if (allowed(x, true)) {
          body(x, this::serve);
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

  /** Lets the answer come after this handler returned. */
  private static void async(HttpServerExchange x, Consumer<HttpServerExchange> handler) {
    x.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          try {
            handler.accept(x);
          } catch (RuntimeException e) {
            LOG.error("event=request_failed path={}", x.getRequestPath(), e);
            Reply.error(x, 500, "internal error");
          }
        });
  }

  private static void body(HttpServerExchange x, BiConsumer<HttpServerExchange, byte[]> handler) {
    x.getRequestReceiver()
        .receiveFullBytes(
            (e, bytes) -> async(e, y -> handler.accept(y, bytes)),
            (e, error) -> {
              e.setPersistent(false);
              if (error instanceof RequestTooBigException) {
                Reply.error(e, 413, "the body is too large");
              } else {
                Reply.error(e, 400, "the body cannot be read");
              }
            });
  }
}
