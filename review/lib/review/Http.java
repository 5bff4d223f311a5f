package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 on loopback: a server, and a client that opens a connection for each request. */
final class Http {
  static final String HOST = "127.0.0.1";

  private static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** A response; status 0 means that there was none. */
  record Response(int status, String body, Map<String, String> headers) {
    double retryAfterS() {
      String value = headers.get("retry-after");
      return value == null ? 0 : Double.parseDouble(value);
    }
  }

  static final Response NONE = new Response(0, "", Map.of());

  /** Serves a request; returns null to close the connection without a response. */
  interface Handler {
    Response handle(String method, String target, String body) throws Exception;
  }

  static Response json(int status, Object body) {
    return new Response(status, Json.write(body), Map.of());
  }

  static ExecutorService pool() {
    return POOL;
  }

  /** Starts a server on a free loopback port. */
  static HttpServer serve(Handler handler) {
    try {
      HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 1000);
      server.setExecutor(POOL);
      server.createContext("/", exchange -> handle(exchange, handler));
      server.start();
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Response response;
    try {
      response =
          handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
    } catch (IllegalArgumentException e) {
      response = json(400, Json.of("error", "malformed"));
    } catch (Exception e) {
      e.printStackTrace();
      response = null;
    }
    if (response == null) {
      exchange.close();
      return;
    }
    byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(response.status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  /** Sends one request; the response must be complete within {@code timeoutMs}. */
  static Response send(String address, String method, String path, String body, int timeoutMs) {
    return send(address, method, path, body, timeoutMs, Math.min(timeoutMs, 500));
  }

  /** The same with a limit for the connection; status -1 means that none was accepted. */
  static Response send(
      String address, String method, String path, String body, int timeoutMs, int connectMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      try {
        socket.connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            connectMs);
      } catch (IOException e) {
        return new Response(-1, "", Map.of());
      }
      socket.setTcpNoDelay(true);
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
              + (body == null
                  ? ""
                  : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
              + "\r\n";
      OutputStream out = socket.getOutputStream();
      byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = new byte[headBytes.length + bytes.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
      out.write(all);
      out.flush();
      return read(socket, deadline);
    } catch (IOException | RuntimeException e) {
      return NONE;
    }
  }

  private static Response read(Socket socket, long deadline) throws IOException {
    InputStream in = socket.getInputStream();
    java.io.ByteArrayOutputStream received = new java.io.ByteArrayOutputStream();
    byte[] buffer = new byte[16384];
    int headEnd = -1;
    long length = -1;
    Map<String, String> headers = new HashMap<>();
    int status = 0;
    while (true) {
      long leftMs = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        return NONE;
      }
      socket.setSoTimeout((int) leftMs);
      int count = in.read(buffer);
      if (count > 0) {
        received.write(buffer, 0, count);
      }
      if (headEnd < 0) {
        String text = received.toString(StandardCharsets.ISO_8859_1);
        headEnd = text.indexOf("\r\n\r\n");
        if (headEnd >= 0) {
          String[] lines = text.substring(0, headEnd).split("\r\n");
          status = Integer.parseInt(lines[0].split(" ")[1]);
          for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                lines[i].substring(colon + 1).trim());
          }
          length = Long.parseLong(headers.getOrDefault("content-length", "-1"));
        }
      }
      boolean complete =
          headEnd >= 0 && length >= 0 && received.size() >= headEnd + 4 + length;
      if (complete || (count < 0 && headEnd >= 0 && length < 0)) {
        byte[] all = received.toByteArray();
        return new Response(
            status,
            new String(all, headEnd + 4, all.length - headEnd - 4, StandardCharsets.UTF_8),
            headers);
      }
      if (count < 0) {
        return NONE;
      }
    }
  }
}
