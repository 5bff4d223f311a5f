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

/** A GET whose time and size are bounded, and whose failure is a sentence. */
final class BoundedHttpGet {
  /** How no answer came. */
  enum Failure {
    /** One came. */
    NONE,
    /** Nobody listens there. */
    REFUSED,
    /** Nothing came in time, or the connection ended. */
    HANGS,
    /** The address or the answer is wrong. */
    WRONG
  }

  /** An answer; one that did not come has status 0 and a problem. */
  record Answer(int status, byte[] body, Failure failure, String problem) {}

  private final HttpClient http;
  private final Duration timeout;
  private final int most;

  BoundedHttpGet(HttpClient http, Duration timeout, int most) {
    this.http = http;
    this.timeout = timeout;
    this.most = most;
  }

  Answer get(String address, String path) {
    try {
      HttpResponse<InputStream> r =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + address + path))
                  .timeout(timeout)
                  .build(),
              HttpResponse.BodyHandlers.ofInputStream());
      try (InputStream in = r.body()) {
        byte[] body = in.readNBytes(most + 1);
        return body.length > most
            ? failed("answers more than " + (most >> 20) + " MiB", Failure.WRONG)
            : new Answer(r.statusCode(), body, Failure.NONE, "");
      }
    } catch (HttpConnectTimeoutException e) {
      return failed("takes no connection within " + timeout.toMillis() + " ms", Failure.HANGS);
    } catch (HttpTimeoutException e) {
      return failed("does not answer within " + timeout.toMillis() + " ms", Failure.HANGS);
    } catch (ConnectException e) {
      return unresolved(e)
          ? failed("no such host", Failure.WRONG)
          : failed("refuses connections", Failure.REFUSED);
    } catch (IOException e) {
      return failed("ends the connection without an answer", Failure.HANGS);
    } catch (IllegalArgumentException e) {
      return failed("not an address of the form host:port", Failure.WRONG);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return failed("was not waited for", Failure.HANGS);
    }
  }

  /** An unresolved name comes as a refused connection, with a cause that says so. */
  private static boolean unresolved(Throwable e) {
    for (Throwable t = e; t != null; t = t.getCause()) {
      if (t instanceof UnresolvedAddressException) {
        return true;
      }
    }
    return false;
  }

  private static Answer failed(String problem, Failure failure) {
    return new Answer(0, new byte[0], failure, problem);
  }
}
