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

/** A fleet with more workers than the process may have sockets. */
final class XnioEnvironmentTest {
  private static Settings settings(int sockets) {
    Endpoint any = new Endpoint("127.0.0.1", 0);
    return new Settings(
        "n0",
        "a",
        any,
        any,
        List.of(),
        any,
        any,
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
        sockets,
        64,
        1);
  }

  private static boolean reports(Socket s) throws IOException {
    s.setSoTimeout(10_000);
    s.getOutputStream()
        .write(
            "POST /v1/report HTTP/1.1\r\nHost: n0\r\nContent-Length: 2\r\n\r\n{}"
                .getBytes(StandardCharsets.US_ASCII));
    BufferedReader in =
        new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
    assertEquals("HTTP/1.1 200 OK", in.readLine());
    boolean close = false;
    for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
      close |= line.equalsIgnoreCase("Connection: close");
    }
    in.read(new char[2]);
    return !close;
  }

  @Test
  void moreWorkersThanSocketsAreAllServedInTurn() throws IOException {
    XnioEnvironment host = new XnioEnvironment(settings(32));
    List<Socket> kept = new ArrayList<>();
    try {
      host.loop()
          .submit(
              () ->
                  host.listen(
                      new NodeEnvironment.RequestHandler() {
                        @Override
                        public void onRequest(IncomingRequest x) {
                          x.respond(200, "application/json", new byte[] {'{', '}'}, false);
                        }

                        @Override
                        public void onPeerMessage(IncomingRequest x) {}
                      }));
      String[] at = null;
      for (int i = 0; i < 200 && at == null; i++) {
        try {
          at = host.boundAddress(0).split(":");
        } catch (RuntimeException e) {
          Thread.sleep(20);
        }
      }
      for (int worker = 0; worker < 80; worker++) {
        Socket s = new Socket(at[0], Integer.parseInt(at[1]));
        if (reports(s)) {
          kept.add(s);
        } else {
          s.close();
        }
      }
      assertEquals(32 * 13 / 16 * 3 / 4, kept.size());
      // One that was kept is answered as before; it may be its turn to make room.
      reports(kept.get(0));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    } finally {
      for (Socket s : kept) {
        s.close();
      }
      host.stop();
    }
  }
}
