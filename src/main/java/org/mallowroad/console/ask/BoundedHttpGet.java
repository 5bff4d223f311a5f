package org.mallowroad.console.ask;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.channels.UnresolvedAddressException;
import java.time.Duration;

/** An HTTP GET with a timeout and a maximum response size, which reports failures as text. */
final class BoundedHttpGet {
  /** The kind of failure of a request. */
  enum Failure {
    /** The request did not fail: there is a response. */
    NONE,
    /** The connection was refused. */
    REFUSED,
    /** No response within the timeout, or the connection was closed without one. */
    NO_RESPONSE,
    /** The address is invalid, or the response is too large. */
    INVALID
  }

  /**
   * A response. If the request failed, the status is 0 and the problem describes the failure.
   *
   * @param status HTTP status code, or 0
   * @param problem description of the failure for the user; empty if there is a response
   */
  record Response(int status, byte[] body, Failure failure, String problem) {}

  private final HttpClient http;
  private final Duration timeout;
  private final int maxBytes;

  BoundedHttpGet(HttpClient http, Duration timeout, int maxBytes) {
    this.http = http;
    this.timeout = timeout;
    this.maxBytes = maxBytes;
  }

  Response get(String address, String path) {
    try {
      HttpResponse<InputStream> response =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + address + path))
                  .timeout(timeout)
                  .build(),
              HttpResponse.BodyHandlers.ofInputStream());
      try (InputStream stream = response.body()) {
        byte[] body = stream.readNBytes(maxBytes + 1);
        return body.length > maxBytes
            ? failure("returned more than " + (maxBytes >> 20) + " MiB", Failure.INVALID)
            : new Response(response.statusCode(), body, Failure.NONE, "");
      }
    } catch (HttpConnectTimeoutException e) {
      return failure(
          "accepts no connection within " + timeout.toMillis() + " ms", Failure.NO_RESPONSE);
    } catch (HttpTimeoutException e) {
      return failure("does not answer within " + timeout.toMillis() + " ms", Failure.NO_RESPONSE);
    } catch (ConnectException e) {
      return isUnresolvedHost(e)
          ? failure("no such host", Failure.INVALID)
          : failure("refuses connections", Failure.REFUSED);
    } catch (IOException e) {
      return failure("closed the connection without a response", Failure.NO_RESPONSE);
    } catch (IllegalArgumentException e) {
      return failure("the address is not of the form host:port", Failure.INVALID);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return failure("the request was interrupted", Failure.NO_RESPONSE);
    }
  }

  /**
   * Returns whether the host name could not be resolved. The HTTP client reports this as a refused
   * connection, with an {@link UnresolvedAddressException} among its causes.
   */
  private static boolean isUnresolvedHost(Throwable exception) {
    for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
      if (cause instanceof UnresolvedAddressException) {
        return true;
      }
    }
    return false;
  }

  private static Response failure(String problem, Failure failure) {
    return new Response(0, new byte[0], failure, problem);
  }
}
