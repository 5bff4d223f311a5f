package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A TCP proxy that delivers all bytes in order, each a fixed time after it was sent. */
final class SlowLink {
  /** Sees each request when it is sent, before the delay. */
  interface Observer {
    void requestSent(String part);
  }

  private record Part(byte[] bytes, long dueMs) {}

  private static final byte[] END = new byte[0];

  private final World world;
  private final ServerSocket listener;
  private final int target;
  private final long delayMs;
  private final Observer observer;

  SlowLink(World world, int target, long delayMs, Observer observer) throws IOException {
    this.world = world;
    this.target = target;
    this.delayMs = delayMs;
    this.observer = observer;
    this.listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
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
        connect(client, server, true);
        connect(server, client, false);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from, Socket to, boolean isRequest) {
    BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    world.threads.execute(() -> read(from, parts, isRequest));
    world.threads.execute(() -> write(to, parts));
  }

  private void read(Socket from, BlockingQueue<Part> parts, boolean isRequest) {
    byte[] buffer = new byte[1 << 16];
    try {
      InputStream in = from.getInputStream();
      int length;
      while ((length = in.read(buffer)) > 0) {
        byte[] bytes = java.util.Arrays.copyOf(buffer, length);
        parts.add(new Part(bytes, world.nowMs() + delayMs));
        if (isRequest) {
          observer.requestSent(new String(bytes, StandardCharsets.ISO_8859_1));
        }
      }
    } catch (IOException e) {
      // The connection was closed.
    }
    parts.add(new Part(END, world.nowMs() + delayMs));
  }

  private void write(Socket to, BlockingQueue<Part> parts) {
    try (to) {
      OutputStream out = to.getOutputStream();
      while (true) {
        Part part = parts.take();
        World.sleep(part.dueMs() - world.nowMs());
        if (part.bytes() == END) {
          return;
        }
        out.write(part.bytes());
        out.flush();
      }
    } catch (IOException e) {
      // The other side closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
