package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;

/**
 * Guards against workers that cannot connect because the fleet has more workers than the process
 * may have sockets and other workers keep their connections open.
 */
final class XnioEnvironmentTest {
  private static Settings settingsWithMaxSockets(int maxSockets) {
    Endpoint anyPort = new Endpoint("127.0.0.1", 0);
    return new Settings(
        "n0",
        "a",
        anyPort,
        anyPort,
        List.of(),
        anyPort,
        anyPort,
        List.of("a"),
        List.of(),
        List.of(),
        2,
        13,
        28,
        100,
        100,
        8,
        16,
        20,
        2,
        maxSockets,
        64,
        1);
  }

  /** Sends a heartbeat and returns whether the server keeps the connection open. */
  private static boolean sendHeartbeatAndCheckKeepAlive(Socket socket) throws IOException {
    socket.setSoTimeout(10_000);
    socket
        .getOutputStream()
        .write(
            "POST /v1/report HTTP/1.1\r\nHost: n0\r\nContent-Length: 2\r\n\r\n{}"
                .getBytes(StandardCharsets.US_ASCII));
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    assertEquals("HTTP/1.1 200 OK", in.readLine());
    boolean close = false;
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      close |= line.equalsIgnoreCase("Connection: close");
    }
    in.read(new char[2]);
    return !close;
  }

  @Test
  void moreWorkersThanSocketsAreAllServed() throws IOException {
    XnioEnvironment environment = new XnioEnvironment(settingsWithMaxSockets(32));
    List<Socket> keptConnections = new ArrayList<>();
    try {
      environment
          .loop()
          .submit(
              () ->
                  environment.listen(
                      new NodeEnvironment.RequestHandler() {
                        @Override
                        public void onRequest(IncomingRequest request) {
                          request.respond(200, "application/json", new byte[] {'{', '}'}, false);
                        }

                        @Override
                        public void onPeerMessage(IncomingRequest request) {}
                      }));
      String[] address = null;
      for (int i = 0; i < 200 && address == null; i++) {
        try {
          address = environment.boundAddress(0).split(":");
        } catch (RuntimeException e) {
          Thread.sleep(20);
        }
      }
      for (int worker = 0; worker < 80; worker++) {
        Socket socket = new Socket(address[0], Integer.parseInt(address[1]));
        if (sendHeartbeatAndCheckKeepAlive(socket)) {
          keptConnections.add(socket);
        } else {
          socket.close();
        }
      }
      assertEquals(32 * 13 / 16 * 3 / 4, keptConnections.size());
      // A connection that was kept open is still served, although it may be closed afterwards.
      sendHeartbeatAndCheckKeepAlive(keptConnections.get(0));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    } finally {
      for (Socket socket : keptConnections) {
        socket.close();
      }
      environment.stop();
    }
  }
}
