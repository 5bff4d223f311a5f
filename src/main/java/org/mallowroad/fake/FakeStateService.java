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

/** A state service on loopback that can lose responses, send malformed ones and be unavailable. */
public final class FakeStateService implements AutoCloseable {
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final HttpServer server;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(FakeStateService::newDaemonThread);
  private int transactionCount;
  private boolean isClosed;

  /** One in this many transactions is applied without a response; 0 means none. */
  public volatile int lostResponseInterval;

  /** While true, every response has status 200 and a body that is not JSON. */
  public volatile boolean sendsMalformedResponses;

  /** While true, every request gets status 503. */
  public volatile boolean isUnavailable;

  /** Starts listening on a free loopback port. */
  public FakeStateService() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "fake-service");
    thread.setDaemon(true);
    return thread;
  }

  /** The port that the service listens on. */
  public int port() {
    return server.getAddress().getPort();
  }

  /** Whether the key exists. */
  public synchronized boolean hasKey(String key) {
    return store.value(key) != null;
  }

  /**
   * Expires all leases as if none of them had been renewed, so that the leader loses its leadership
   * without being notified.
   */
  public synchronized void expireAllLeases() {
    store.expireAllLeases(System.currentTimeMillis());
    notifyAll();
  }

  /** The highest term assigned to a leader so far; 0 if there was none. */
  public synchronized long highestTerm() {
    JsonNode value = store.value("term");
    return value == null ? 0 : value.path("n").asLong();
  }

  /** The name of the current leader; null if there is none. */
  public synchronized String leaderName() {
    store.removeExpiredKeys(System.currentTimeMillis());
    JsonNode value = store.value("leader");
    return value == null ? null : value.path("node").asText();
  }

  @Override
  public void close() {
    synchronized (this) {
      isClosed = true;
      notifyAll();
    }
    server.stop(0);
    executor.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      if (sendsMalformedResponses) {
        sendMalformedResponse(exchange);
      } else if (isUnavailable) {
        sendJson(exchange, 503, Json.object());
      } else {
        serve(exchange, body);
      }
    } catch (InvalidMessageException e) {
      sendJson(exchange, 400, Json.object());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(HttpExchange exchange, byte[] body)
      throws IOException, InvalidMessageException, InterruptedException {
    String target = exchange.getRequestURI().toString();
    long deadlineMs = System.currentTimeMillis() + InMemoryKeyValueStore.watchTimeoutMs(target);
    InMemoryKeyValueStore.Response response;
    boolean isResponseLost = false;
    synchronized (this) {
      long revisionBefore = store.revision();
      while ((response =
              store.serve(exchange.getRequestMethod(), target, body, System.currentTimeMillis()))
          == null) {
        if (isClosed || System.currentTimeMillis() >= deadlineMs) {
          response = store.emptyWatchResponse();
          break;
        }
        wait(50);
      }
      if (target.equals("/multi")) {
        transactionCount++;
        isResponseLost = lostResponseInterval > 0 && transactionCount % lostResponseInterval == 0;
      }
      if (store.revision() != revisionBefore) {
        notifyAll();
      }
    }
    if (isResponseLost) {
      exchange.close();
    } else {
      sendJson(exchange, response.status(), response.body());
    }
  }

  static void sendMalformedResponse(HttpExchange exchange) throws IOException {
    byte[] bytes = {'<', '?', '{'};
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static void sendJson(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = Json.toBytes(body);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
