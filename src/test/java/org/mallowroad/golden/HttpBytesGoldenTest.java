package org.mallowroad.golden;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.net.XnioEnvironment;

/**
 * Compares the bytes on real connections (request lines, headers and bodies) with golden files.
 * Dates and ports are masked, and headers are sorted, since the HTTP library orders them by
 * internal hash codes.
 */
final class HttpBytesGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";
  private static final String JSON = "application/json";
  private static final int TIMEOUT_MS = 8_000;
  private static final byte[] BODY = "{\"moves\":16}".getBytes(StandardCharsets.UTF_8);

  private XnioEnvironment environment;

  @BeforeEach
  void startEnvironment() throws InvalidSettingsException, IOException {
    environment = new XnioEnvironment(withEphemeralPorts(Settings.load(SETTINGS)));
  }

  @AfterEach
  void stopEnvironment() {
    environment.stop();
  }

  private static Settings withEphemeralPorts(Settings settings) {
    Endpoint ephemeralPort = new Endpoint("127.0.0.1", 0);
    return new Settings(
        settings.node(),
        settings.zone(),
        ephemeralPort,
        ephemeralPort,
        settings.members(),
        settings.cloud(),
        settings.state(),
        settings.zones(),
        settings.teams(),
        settings.objectives(),
        settings.heartbeatIntervalS(),
        settings.leaseS(),
        settings.cancelS(),
        settings.stateRps(),
        settings.stateWriteRps(),
        settings.valueKb(),
        settings.txnOps(),
        settings.cloudRps(),
        settings.listLagS(),
        settings.maxSockets(),
        settings.ramMb(),
        settings.nodeCount());
  }

  @Test
  void requestBytesMatchTheGoldenFile() throws IOException {
    Map<String, String> bytes = new LinkedHashMap<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      bytes.put(
          "GET without a body", captureRequest(server, endpoint, "GET", "/kv/leader", null, JSON));
      bytes.put("POST", captureRequest(server, endpoint, "POST", "/multi", BODY, JSON));
      bytes.put(
          "POST to a controller",
          captureRequest(server, endpoint, "POST", "/announce", BODY, "avro/binary"));
      bytes.put("DELETE", captureRequest(server, endpoint, "DELETE", "/leases/7", null, JSON));
    }
    new GoldenFile("http-requests.txt").check(bytes);
  }

  private String captureRequest(
      ServerSocket server, Endpoint endpoint, String method, String path, byte[] body, String type)
      throws IOException {
    RequestSender.ResponseHandler ignored =
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] answer) {}

          @Override
          public void onFailure(boolean sent) {}
        };
    environment
        .loop()
        .submit(
            () ->
                environment
                    .requestSender(endpoint, type, 1, 1_000)
                    .send(method, path, body, TIMEOUT_MS, ignored));
    server.setSoTimeout(TIMEOUT_MS);
    try (Socket connection = server.accept()) {
      connection.setSoTimeout(TIMEOUT_MS);
      StringBuilder text = new StringBuilder();
      InputStream in = connection.getInputStream();
      while (text.indexOf("\r\n\r\n") < 0) {
        text.append(read(in));
      }
      for (int i = 0; body != null && i < body.length; i++) {
        text.append(read(in));
      }
      return normalize(text.toString()).replace(":" + endpoint.port(), ":PORT");
    }
  }

  private static char read(InputStream in) throws IOException {
    int next = in.read();
    Assertions.assertTrue(next >= 0, "the connection closed before the request was complete");
    return (char) next;
  }

  @Test
  void responseBytesMatchTheGoldenFile() throws IOException, InterruptedException {
    CountDownLatch listening = new CountDownLatch(1);
    environment
        .loop()
        .submit(
            () -> {
              environment.listen(new StatusFromPathHandler());
              listening.countDown();
            });
    Assertions.assertTrue(listening.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    Map<String, String> bytes = new LinkedHashMap<>();
    bytes.put("JSON", captureResponse(0, "GET /200 HTTP/1.1"));
    bytes.put("refusal with the time to come back", captureResponse(0, "GET /503 HTTP/1.1"));
    bytes.put("another controller's message", captureResponse(1, "POST /204 HTTP/1.1"));
    new GoldenFile("http-answers.txt").check(bytes);
  }

  private String captureResponse(int listener, String requestLine) throws IOException {
    Endpoint address = Endpoint.parse(environment.boundAddress(listener));
    try (Socket connection = new Socket(address.host(), address.port())) {
      connection.setSoTimeout(TIMEOUT_MS);
      String headers = "\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      connection
          .getOutputStream()
          .write((requestLine + headers).getBytes(StandardCharsets.US_ASCII));
      return normalize(GoldenFile.text(connection.getInputStream().readAllBytes()));
    }
  }

  private static String normalize(String text) {
    int headersEnd = text.indexOf("\r\n\r\n");
    String[] lines = text.substring(0, headersEnd).split("\r\n");
    Arrays.sort(lines, 1, lines.length);
    return (String.join("\r\n", lines) + text.substring(headersEnd))
        .replaceAll("Date: [^\r]*", "Date: DATE")
        .replace("\r\n", "\\r\\n");
  }

  /** Answers with the status code that is the request's path. */
  private static final class StatusFromPathHandler implements NodeEnvironment.RequestHandler {
    @Override
    public void onRequest(IncomingRequest request) {
      int status = Integer.parseInt(request.path().substring(1));
      request.respond(status, JSON, BODY, status == 503);
    }

    @Override
    public void onPeerMessage(IncomingRequest message) {
      message.respond(204, "avro/binary", new byte[0], false);
    }
  }
}
