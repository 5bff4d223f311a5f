package org.mallowroad.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** A state service over loopback; it can lose responses, answer garbage and be away. */
public final class FakeStateService implements AutoCloseable {
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final HttpServer server;
  private final ExecutorService pool = Executors.newCachedThreadPool(FakeStateService::daemon);
  private int transactions;
  private boolean closed;

  /** Every so many transactions one is applied without a response; 0: none. */
  public volatile int loseEvery;

  /** While true every answer is 200 with something that is not JSON. */
  public volatile boolean garbled;

  /** While true everything gets 503. */
  public volatile boolean down;

  /** Listens on any port of loopback. */
  public FakeStateService() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(pool);
    server.createContext("/", this::handle);
    server.start();
  }

  static Thread daemon(Runnable r) {
    Thread t = new Thread(r, "stand-in");
    t.setDaemon(true);
    return t;
  }

  /** Where it listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** True when the key exists. */
  public synchronized boolean has(String key) {
    return store.value(key) != null;
  }

  /** Ends all leases, as if they had not been renewed: whoever leads is deposed unawares. */
  public synchronized void endLeases() {
    store.endLeases(System.currentTimeMillis());
    notifyAll();
  }

  /** The highest term given out. */
  public synchronized long term() {
    JsonNode v = store.value("term");
    return v == null ? 0 : v.path("n").asLong();
  }

  /** Who leads, or null. */
  public synchronized String leader() {
    store.expire(System.currentTimeMillis());
    JsonNode v = store.value("leader");
    return v == null ? null : v.path("node").asText();
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    server.stop(0);
    pool.shutdownNow();
  }

  private void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    try {
      if (garbled) {
        garble(x);
      } else if (down) {
        send(x, 503, Json.object());
      } else {
        serve(x, body);
      }
    } catch (InvalidMessageException e) {
      send(x, 400, Json.object());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(HttpExchange x, byte[] body)
      throws IOException, InvalidMessageException, InterruptedException {
    String target = x.getRequestURI().toString();
    long until = System.currentTimeMillis() + InMemoryKeyValueStore.block(target);
    InMemoryKeyValueStore.Answer a;
    boolean lost = false;
    synchronized (this) {
      long before = store.revision();
      while ((a = store.serve(x.getRequestMethod(), target, body, System.currentTimeMillis()))
          == null) {
        if (closed || System.currentTimeMillis() >= until) {
          a = store.nothing();
          break;
        }
        wait(50);
      }
      if (target.equals("/multi")) {
        transactions++;
        lost = loseEvery > 0 && transactions % loseEvery == 0;
      }
      if (store.revision() != before) {
        notifyAll();
      }
    }
    if (lost) {
      x.close();
    } else {
      send(x, a.status(), a.body());
    }
  }

  static void garble(HttpExchange x) throws IOException {
    byte[] b = {'<', '?', '{'};
    x.sendResponseHeaders(200, b.length);
    x.getResponseBody().write(b);
    x.close();
  }

  static void send(HttpExchange x, int status, JsonNode o) throws IOException {
    byte[] b = Json.toBytes(o);
    x.sendResponseHeaders(status, b.length);
    x.getResponseBody().write(b);
    x.close();
  }
}
