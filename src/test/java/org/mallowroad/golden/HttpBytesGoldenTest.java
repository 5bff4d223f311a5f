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
 * The bytes on real connections: request lines, headers and bodies. Dates and ports are masked, and
 * headers sorted, since the library orders them by hash codes of its own.
 */
final class HttpBytesGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";
  private static final String JSON = "application/json";
  private static final int PATIENCE_MS = 8_000;
  private static final byte[] BODY = "{\"moves\":16}".getBytes(StandardCharsets.UTF_8);

  private XnioEnvironment host;

  @BeforeEach
  void open() throws InvalidSettingsException, IOException {
    host = new XnioEnvironment(onAnyPort(Settings.load(SETTINGS)));
  }

  @AfterEach
  void close() {
    host.stop();
  }

  private static Settings onAnyPort(Settings s) {
    Endpoint any = new Endpoint("127.0.0.1", 0);
    return new Settings(
        s.node(),
        s.zone(),
        any,
        any,
        s.members(),
        s.cloud(),
        s.state(),
        s.zones(),
        s.teams(),
        s.objectives(),
        s.heartbeatIntervalS(),
        s.leaseS(),
        s.cancelS(),
        s.stateRps(),
        s.stateWriteRps(),
        s.valueKb(),
        s.txnOps(),
        s.cloudRps(),
        s.listLagS(),
        s.maxSockets(),
        s.ramMb(),
        s.nodeCount());
  }

  @Test
  void requestsStay() throws IOException {
    Map<String, String> bytes = new LinkedHashMap<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      bytes.put("GET without a body", request(server, endpoint, "GET", "/kv/leader", null, JSON));
      bytes.put("POST", request(server, endpoint, "POST", "/multi", BODY, JSON));
      bytes.put(
          "POST to a controller",
          request(server, endpoint, "POST", "/announce", BODY, "avro/binary"));
      bytes.put("DELETE", request(server, endpoint, "DELETE", "/leases/7", null, JSON));
    }
    new GoldenFile("http-requests.txt").check(bytes);
  }

  private String request(
      ServerSocket server, Endpoint endpoint, String method, String path, byte[] body, String type)
      throws IOException {
    RequestSender.ResponseHandler ignored =
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] answer) {}

          @Override
          public void onFailure(boolean sent) {}
        };
    host.loop()
        .submit(
            () ->
                host.requestSender(endpoint, type, 1, 1_000)
                    .send(method, path, body, PATIENCE_MS, ignored));
    server.setSoTimeout(PATIENCE_MS);
    try (Socket connection = server.accept()) {
      connection.setSoTimeout(PATIENCE_MS);
      StringBuilder text = new StringBuilder();
      InputStream in = connection.getInputStream();
      while (text.indexOf("\r\n\r\n") < 0) {
        text.append(read(in));
      }
      for (int i = 0; body != null && i < body.length; i++) {
        text.append(read(in));
      }
      return masked(text.toString()).replace(":" + endpoint.port(), ":PORT");
    }
  }

  private static char read(InputStream in) throws IOException {
    int next = in.read();
    Assertions.assertTrue(next >= 0, "the connection ended too soon");
    return (char) next;
  }

  @Test
  void answersStay() throws IOException, InterruptedException {
    CountDownLatch listening = new CountDownLatch(1);
    host.loop()
        .submit(
            () -> {
              host.listen(new Answers());
              listening.countDown();
            });
    Assertions.assertTrue(listening.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
    Map<String, String> bytes = new LinkedHashMap<>();
    bytes.put("JSON", answer(0, "GET /200 HTTP/1.1"));
    bytes.put("refusal with the time to come back", answer(0, "GET /503 HTTP/1.1"));
    bytes.put("another controller's message", answer(1, "POST /204 HTTP/1.1"));
    new GoldenFile("http-answers.txt").check(bytes);
  }

  private String answer(int listener, String requestLine) throws IOException {
    Endpoint at = Endpoint.parse(host.boundAddress(listener));
    try (Socket connection = new Socket(at.host(), at.port())) {
      connection.setSoTimeout(PATIENCE_MS);
      String headers = "\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      connection
          .getOutputStream()
          .write((requestLine + headers).getBytes(StandardCharsets.US_ASCII));
      return masked(GoldenFile.text(connection.getInputStream().readAllBytes()));
    }
  }

  private static String masked(String text) {
    int end = text.indexOf("\r\n\r\n");
    String[] lines = text.substring(0, end).split("\r\n");
    Arrays.sort(lines, 1, lines.length);
    return (String.join("\r\n", lines) + text.substring(end))
        .replaceAll("Date: [^\r]*", "Date: DATE")
        .replace("\r\n", "\\r\\n");
  }

  /** Answers with the status that the path names. */
  private static final class Answers implements NodeEnvironment.RequestHandler {
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
