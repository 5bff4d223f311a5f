package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.function.BooleanSupplier;

/** Sends users' requests to nodes over loopback sockets and waits for what they lead to. */
final class LoopbackClient {
  private static final long AWAIT_NANOS = 40_000_000_000L;
  private static final long POLL_MS = 50;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** The response, or null when the node does not answer. */
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

  /** Waits for a condition; fails when it does not hold in time. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + AWAIT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "no " + what + " in time");
      Thread.sleep(POLL_MS);
    }
  }

  /** A submission of short tasks of team {@code t}. */
  static String submission(String id, int tasks, double cpus) {
    return """
        {"name_id":"%s","docket":"c","crew":"t","form":"sweep","rank":"normal","moves":%d,"cpus":%s,
         "cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,"scatter":false,
         "driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
        """
        .formatted(id, tasks, cpus);
  }
}
