package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A TCP proxy in front of one controller; it can hold up what the controller sends. */
final class HoldingProxy {
  /** Decides for how long, in ms, a part of the controller's answers is held up. */
  interface Hold {
    long holdMs(String part);
  }

  private final World world;
  private final ServerSocket listener;
  private final int target;
  volatile Hold hold = part -> 0;

  HoldingProxy(World world, int target) throws IOException {
    this.world = world;
    this.target = target;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    world.threads.execute(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket client = listener.accept();
        Socket server = new Socket();
        try {
          server.connect(new InetSocketAddress("127.0.0.1", target), 2_000);
        } catch (IOException e) {
          client.close();
          continue;
        }
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        world.threads.execute(() -> copy(client, server, false));
        world.threads.execute(() -> copy(server, client, true));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void copy(Socket from, Socket to, boolean isAnswer) {
    byte[] buffer = new byte[1 << 17];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int length;
      while ((length = in.read(buffer)) > 0) {
        if (isAnswer) {
          World.sleep(hold.holdMs(new String(buffer, 0, length, StandardCharsets.ISO_8859_1)));
        }
        out.write(buffer, 0, length);
        out.flush();
      }
    } catch (IOException e) {
      // One side closed the connection; so does the proxy.
    }
  }
}
