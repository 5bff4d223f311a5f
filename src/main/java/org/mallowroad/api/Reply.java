package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/** Writes responses. */
public final class Reply {
  private static final String JSON = "application/json";

  private Reply() {}

  /** A JSON body. */
  public static void json(IncomingRequest x, int status, JsonNode body) {
    x.answer(status, JSON, Json.bytes(body), false);
  }

  /** Answers whoever sent a request. */
  public static Responder over(IncomingRequest x) {
    return (status, body, later) -> x.answer(status, JSON, Json.bytes(body), later);
  }

  /** A short reason as a body. */
  public static ObjectNode reason(String reason) {
    ObjectNode o = Json.object();
    o.put(Fields.ERROR, reason);
    return o;
  }

  /** A short reason. */
  public static void error(IncomingRequest x, int status, String reason) {
    json(x, status, reason(reason));
  }

  /** Cannot be taken now: said at once, with the time to come back. */
  public static void retryLater(IncomingRequest x, String reason) {
    x.answer(503, JSON, Json.bytes(reason(reason)), true);
  }
}
