package org.mallowroad.net;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A request that Undertow received. */
record UndertowRequest(HttpServerExchange exchange, byte[] body) implements IncomingRequest {
  private static final String RETRY_AFTER_SECONDS = "1";
  private static final byte[] EMPTY_BODY = new byte[0];

  @Override
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  @Override
  public String path() {
    return exchange.getRequestPath();
  }

  @Override
  public void respond(int status, String contentType, byte[] body, boolean retryLater) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    if (retryLater) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }

  /** Answers a request that no handler gets; a 503 asks the client to retry later. */
  static void reject(HttpServerExchange exchange, int status, String reason) {
    byte[] body = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    new UndertowRequest(exchange, EMPTY_BODY)
        .respond(status, "application/json", body, status == 503);
  }
}
