package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/** Writes responses. */
public final class Reply {
  private Reply() {}

  /** A JSON body. */
  public static void json(HttpServerExchange x, int status, JsonNode body) {
    if (x.isResponseStarted()) {
      return;
    }
    x.setStatusCode(status);
    x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    x.getResponseSender().send(ByteBuffer.wrap(Json.bytes(body)));
  }

  /** Answers over HTTP. */
  public static Answerer over(HttpServerExchange x) {
    return (status, body, later) -> {
      if (later) {
        x.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
      }
      json(x, status, body);
    };
  }

  /** A short reason as a body. */
  public static ObjectNode reason(String reason) {
    ObjectNode o = Json.object();
    o.put(Fields.ERROR, reason);
    return o;
  }

  /** A short reason. */
  public static void error(HttpServerExchange x, int status, String reason) {
    json(x, status, reason(reason));
  }

  /** Cannot be taken now: said at once, with the time to come back. */
  public static void later(HttpServerExchange x, String reason) {
    x.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
    error(x, 503, reason);
  }
}
