package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/** Builds and sends JSON responses. */
public final class Reply {
  private static final String JSON = "application/json";

  private Reply() {}

  /** Sends a JSON body. */
  public static void json(IncomingRequest x, int status, JsonNode body) {
    x.respond(status, JSON, Json.bytes(body), false);
  }

  /** A responder that answers this request. */
  public static Responder responder(IncomingRequest x) {
    return (status, body, retryLater) -> x.respond(status, JSON, Json.bytes(body), retryLater);
  }

  /** A body that tells the reason of an error. */
  public static ObjectNode reason(String reason) {
    ObjectNode o = Json.object();
    o.put(Fields.ERROR, reason);
    return o;
  }

  /** Sends an error with its reason. */
  public static void error(IncomingRequest x, int status, String reason) {
    json(x, status, reason(reason));
  }

  /** Sends 503 with a reason, and tells the client to retry after a second. */
  public static void retryLater(IncomingRequest x, String reason) {
    x.respond(503, JSON, Json.bytes(reason(reason)), true);
  }
}
