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
 * Reads request bodies of one kind of client within a bound of bytes and time.
 *
 * <p>A bound on connections does not bound memory: each connection could hold a body that arrives
 * slowly. So the announced lengths of all bodies being read are added up, and a request beyond the
 * bound is rejected at once with 503. Confined to the event loop.
 */
final class BodyReader {
  /** The largest body that the protocol allows users and workers, in bytes. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** The largest message between controllers: a whole body and what surrounds it, in bytes. */
  static final int MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 8 * 1024;

  /** Clients have given up by then: a body that takes longer makes room for others. */
  private static final long READ_TIMEOUT_S = 8;

  private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

  private final long maxReservedBytes;
  private final int maxBodyBytes;
  private long reservedBytes;

  /**
   * Reads bodies of one kind.
   *
   * @param maxReservedBytes the bound of all bodies that are being read
   * @param maxBodyBytes the largest single body
   */
  BodyReader(long maxReservedBytes, int maxBodyBytes) {
    this.maxReservedBytes = maxReservedBytes;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Announced bytes of the bodies that are being read. */
  long reservedBytes() {
    return reservedBytes;
  }

  /** Reads the body and calls the handler; the response may be sent after the handler returned. */
  void read(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> handler) {
    long announced = exchange.getRequestContentLength();
    long length = announced < 0 || announced > maxBodyBytes ? maxBodyBytes : announced;
    if (reservedBytes + length > maxReservedBytes) {
      exchange.setPersistent(false);
      UndertowRequest.reject(exchange, 503, "too many bodies at once");
      return;
    }
    Reservation reservation = new Reservation(exchange, length);
    exchange.setMaxEntitySize(maxBodyBytes);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (x, body) -> {
              reservation.release();
              dispatch(x, () -> handler.accept(x, body));
            },
            (x, error) -> {
              reservation.release();
              x.setPersistent(false);
              if (error instanceof RequestTooBigException) {
                UndertowRequest.reject(x, 413, "the body is too large");
              } else {
                UndertowRequest.reject(x, 400, "the body cannot be read");
              }
            });
  }

  /** The bytes of a body being read; released once, however the reading ends. */
  private final class Reservation {
    private final long length;
    private final XnioExecutor.Key timeout;
    private boolean released;

    Reservation(HttpServerExchange exchange, long length) {
      this.length = length;
      reservedBytes += length;
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
        reservedBytes -= length;
      }
    }
  }

  /** Runs a handler whose response may be sent after it returned. */
  static void dispatch(HttpServerExchange exchange, Runnable handler) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          try {
            handler.run();
          } catch (RuntimeException e) {
            // The outermost net of a request: the client gets its response whatever failed.
            LOG.error("event=request_failed path={}", exchange.getRequestPath(), e);
            UndertowRequest.reject(exchange, 500, "internal error");
          }
        });
  }
}
