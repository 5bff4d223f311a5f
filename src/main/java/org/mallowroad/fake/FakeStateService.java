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
  private final ExecutorService pool =
      Executors.newCachedThreadPool(FakeStateService::newDaemonThread);
  private int transactions;
  private boolean closed;

  /** Every so many transactions one is applied without a response; 0: none. */
  public volatile int lostResponseInterval;

  /** While true every answer is 200 with something that is not JSON. */
  public volatile boolean sendsMalformedResponses;

  /** While true everything gets 503. */
  public volatile boolean isUnavailable;

  /** Listens on any port of loopback. */
  public FakeStateService() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(pool);
    server.createContext("/", this::handle);
    server.start();
  }

  static Thread newDaemonThread(Runnable r) {
    Thread t = new Thread(r, "stand-in");
    t.setDaemon(true);
    return t;
  }

  /** Where it listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** True when the key exists. */
  public synchronized boolean hasKey(String key) {
    return store.value(key) != null;
  }

  /** Ends all leases, as if they had not been renewed: whoever leads is deposed unawares. */
  public synchronized void expireAllLeases() {
    store.expireAllLeases(System.currentTimeMillis());
    notifyAll();
  }

  /** The highest term given out. */
  public synchronized long highestTerm() {
    JsonNode v = store.value("term");
    return v == null ? 0 : v.path("n").asLong();
  }

  /** Who leads, or null. */
  public synchronized String leaderName() {
    store.removeExpiredKeys(System.currentTimeMillis());
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
      if (sendsMalformedResponses) {
        sendMalformedResponse(x);
      } else if (isUnavailable) {
        sendJson(x, 503, Json.object());
      } else {
        serve(x, body);
      }
    } catch (InvalidMessageException e) {
      sendJson(x, 400, Json.object());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(HttpExchange x, byte[] body)
      throws IOException, InvalidMessageException, InterruptedException {
    String target = x.getRequestURI().toString();
    long until = System.currentTimeMillis() + InMemoryKeyValueStore.watchTimeoutMs(target);
    InMemoryKeyValueStore.Response a;
    boolean lost = false;
    synchronized (this) {
      long before = store.revision();
      while ((a = store.serve(x.getRequestMethod(), target, body, System.currentTimeMillis()))
          == null) {
        if (closed || System.currentTimeMillis() >= until) {
          a = store.emptyWatchResponse();
          break;
        }
        wait(50);
      }
      if (target.equals("/multi")) {
        transactions++;
        lost = lostResponseInterval > 0 && transactions % lostResponseInterval == 0;
      }
      if (store.revision() != before) {
        notifyAll();
      }
    }
    if (lost) {
      x.close();
    } else {
      sendJson(x, a.status(), a.body());
    }
  }

  static void sendMalformedResponse(HttpExchange x) throws IOException {
    byte[] b = {'<', '?', '{'};
    x.sendResponseHeaders(200, b.length);
    x.getResponseBody().write(b);
    x.close();
  }

  static void sendJson(HttpExchange x, int status, JsonNode o) throws IOException {
    byte[] b = Json.toBytes(o);
    x.sendResponseHeaders(status, b.length);
    x.getResponseBody().write(b);
    x.close();
  }
}
