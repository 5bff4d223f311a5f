package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.function.BooleanSupplier;

/** Sends user requests to nodes over loopback sockets and waits for their effects. */
final class LoopbackClient {
  private static final long AWAIT_TIMEOUT_NANOS = 40_000_000_000L;
  private static final long POLL_INTERVAL_MS = 50;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** Sends a request; returns the response, or null if the node does not answer. */
  HttpResponse<String> send(String address, String method, String path, String body) {
    try {
      return http.send(
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .method(method, HttpRequest.BodyPublishers.ofString(body))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  /** Waits for a condition; fails if it does not hold within 40 s. */
  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "expected " + description + " in time");
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Builds a submission of a job of team {@code t} whose tasks last one second. */
  static String submission(String id, int tasks, double cpus) {
    return """
        {"name_id":"%s","docket":"c","crew":"t","form":"sweep","rank":"normal","moves":%d,"cpus":%s,
         "cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,"scatter":false,
         "driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
        """
        .formatted(id, tasks, cpus);
  }
}
