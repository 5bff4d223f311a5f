package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/** Builds and sends JSON responses to HTTP requests. */
public final class JsonResponses {
  private static final String CONTENT_TYPE = "application/json";

  private JsonResponses() {}

  /** Sends a response with a JSON body. */
  public static void send(IncomingRequest request, int status, JsonNode body) {
    request.respond(status, CONTENT_TYPE, Json.toBytes(body), false);
  }

  /** Returns a responder that sends the response to this HTTP request. */
  public static Responder responderFor(IncomingRequest request) {
    return (status, body, retryLater) ->
        request.respond(status, CONTENT_TYPE, Json.toBytes(body), retryLater);
  }

  /** The response body that states the reason of an error. */
  public static ObjectNode errorBody(String reason) {
    ObjectNode body = Json.object();
    body.put(Fields.ERROR, reason);
    return body;
  }

  /** Sends an error response that states its reason. */
  public static void sendError(IncomingRequest request, int status, String reason) {
    send(request, status, errorBody(reason));
  }

  /** Sends 503 with a reason, and asks the client to retry after one second. */
  public static void sendRetryLater(IncomingRequest request, String reason) {
    request.respond(503, CONTENT_TYPE, Json.toBytes(errorBody(reason)), true);
  }
}
