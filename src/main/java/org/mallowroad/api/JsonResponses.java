package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/** Builds and sends JSON responses. */
public final class JsonResponses {
  private static final String JSON = "application/json";

  private JsonResponses() {}

  /** Sends a JSON body. */
  public static void send(IncomingRequest x, int status, JsonNode body) {
    x.respond(status, JSON, Json.toBytes(body), false);
  }

  /** A responder that answers this request. */
  public static Responder responderFor(IncomingRequest x) {
    return (status, body, retryLater) -> x.respond(status, JSON, Json.toBytes(body), retryLater);
  }

  /** A body that tells the reason of an error. */
  public static ObjectNode errorBody(String reason) {
    ObjectNode o = Json.object();
    o.put(Fields.ERROR, reason);
    return o;
  }

  /** Sends an error with its reason. */
  public static void sendError(IncomingRequest x, int status, String reason) {
    send(x, status, errorBody(reason));
  }

  /** Sends 503 with a reason, and tells the client to retry after a second. */
  public static void sendRetryLater(IncomingRequest x, String reason) {
    x.respond(503, JSON, Json.toBytes(errorBody(reason)), true);
  }
}
