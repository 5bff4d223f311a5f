package org.mallowroad.net;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A request over Undertow. */
record UndertowRequest(HttpServerExchange exchange, byte[] body) implements IncomingRequest {
  @Override
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  @Override
  public String path() {
    return exchange.getRequestPath();
  }

  @Override
  public void answer(int status, String type, byte[] body, boolean later) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    if (later) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }

  /** What cannot even be read gets its reason; a 503 with the time to come back. */
  static void refuse(HttpServerExchange x, int status, String reason) {
    byte[] body = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    new UndertowRequest(x, new byte[0]).answer(status, "application/json", body, status == 503);
  }
}
