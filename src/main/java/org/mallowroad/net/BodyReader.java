package org.mallowroad.net;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads the request bodies of one type of client, with limits on total size and time.
 *
 * <p>Limiting the number of connections does not limit memory, since each connection could hold a
 * body that arrives slowly. The reader therefore reserves the announced length of each body while
 * it is read, and rejects a request with 503 at once if the total would exceed the limit. Confined
 * to the event loop.
 */
final class BodyReader {
  /** The largest body that the protocol allows users and workers, in bytes. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** The largest message between controllers in bytes: a full body and the overhead around it. */
  static final int MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 8 * 1024;

  /** Clients have timed out by then, so the reservation of a slower body is released for others. */
  private static final long READ_TIMEOUT_S = 8;

  private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

  private final long maxReservedBytes;
  private final int maxBodyBytes;
  private long reservedBytes;

  /**
   * Creates a reader for one type of client.
   *
   * @param maxReservedBytes the limit of the total length of the bodies that are being read
   * @param maxBodyBytes the limit of a single body
   */
  BodyReader(long maxReservedBytes, int maxBodyBytes) {
    this.maxReservedBytes = maxReservedBytes;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** The total announced length, in bytes, of the bodies that are being read. */
  long reservedBytes() {
    return reservedBytes;
  }

  /**
   * Reads the body and calls the handler; the response may be sent after the handler has returned.
   */
  void read(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> handler) {
    long announcedLength = exchange.getRequestContentLength();
    long reservedLength =
        announcedLength < 0 || announcedLength > maxBodyBytes ? maxBodyBytes : announcedLength;
    if (reservedBytes + reservedLength > maxReservedBytes) {
      exchange.setPersistent(false);
      UndertowRequest.reject(exchange, 503, "too many bodies at once");
      return;
    }
    Reservation reservation = new Reservation(exchange, reservedLength);
    exchange.setMaxEntitySize(maxBodyBytes);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (readExchange, body) -> {
              reservation.release();
              dispatch(readExchange, () -> handler.accept(readExchange, body));
            },
            (readExchange, error) -> {
              reservation.release();
              readExchange.setPersistent(false);
              if (error instanceof RequestTooBigException) {
                UndertowRequest.reject(readExchange, 413, "the body is too large");
              } else {
                UndertowRequest.reject(readExchange, 400, "the body cannot be read");
              }
            });
  }

  /** The reserved bytes of a body that is being read; released once, however the read ends. */
  private final class Reservation {
    private final long bytes;
    private final XnioExecutor.Key timeout;
    private boolean released;

    Reservation(HttpServerExchange exchange, long bytes) {
      this.bytes = bytes;
      reservedBytes += bytes;
      timeout =
          exchange
              .getIoThread()
              .executeAfter(
                  () -> {
                    release();
                    IoUtils.safeClose(exchange.getConnection());
                  },
                  READ_TIMEOUT_S,
                  TimeUnit.SECONDS);
    }

    void release() {
      if (!released) {
        released = true;
        timeout.remove();
        reservedBytes -= bytes;
      }
    }
  }

  /** Runs a handler whose response may be sent after the handler has returned. */
  static void dispatch(HttpServerExchange exchange, Runnable handler) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          try {
            handler.run();
          } catch (RuntimeException e) {
            // The last resort for failures of a request handler: the client must always get a
            // response.
            LOG.error("event=request_failed path={}", exchange.getRequestPath(), e);
            UndertowRequest.reject(exchange, 500, "internal error");
          }
        });
  }
}
