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
 * Reads bodies of one kind of asker, within a bound of bytes and time. Sockets alone bound nothing:
 * each could hold a body that comes slowly. So what is in hand is counted by what was announced,
 * and what is beyond the bound is told at once to come back.
 */
final class BodyReader {
  /** The largest body that the protocol allows users and workers. */
  static final int MOST_BODY = 64 * 1024;

  /** The largest message between controllers: a whole body, with room for what goes with it. */
  static final int MOST_MESSAGE = MOST_BODY + 8 * 1024;

  /** A body that takes longer makes room for others: every asker has given up by then. */
  private static final long MOST_S = 8;

  private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

  private final long most;
  private final int largest;
  private long bytes;

  /** For bodies of {@code largest} bytes at most that take {@code most} bytes together. */
  BodyReader(long most, int largest) {
    this.most = most;
    this.largest = largest;
  }

  /** Bytes in hand, by what was announced. */
  long bytes() {
    return bytes;
  }

  /** Reads the body and hands it on; the answer may come after the handler returned. */
  void read(HttpServerExchange x, BiConsumer<HttpServerExchange, byte[]> handler) {
    long announced = x.getRequestContentLength();
    long length = announced < 0 || announced > largest ? largest : announced;
    if (bytes + length > most) {
      x.setPersistent(false);
      UndertowRequest.refuse(x, 503, "too many bodies at once");
      return;
    }
    Hand hand = new Hand(x, length);
    x.setMaxEntitySize(largest);
    x.getRequestReceiver()
        .receiveFullBytes(
            (e, body) -> {
              hand.give();
              async(e, () -> handler.accept(e, body));
            },
            (e, error) -> {
              hand.give();
              e.setPersistent(false);
              if (error instanceof RequestTooBigException) {
                UndertowRequest.refuse(e, 413, "the body is too large");
              } else {
                UndertowRequest.refuse(e, 400, "the body cannot be read");
              }
            });
  }

  /** A body that is being read: its bytes are given back once, however the reading ends. */
  private final class Hand {
    private final long length;
    private final XnioExecutor.Key late;
    private boolean over;

    Hand(HttpServerExchange x, long length) {
      this.length = length;
      bytes += length;
      late =
          x.getIoThread()
              .executeAfter(
                  () -> {
                    give();
                    IoUtils.safeClose(x.getConnection());
                  },
                  MOST_S,
                  TimeUnit.SECONDS);
    }

    void give() {
      if (!over) {
        over = true;
        late.remove();
        bytes -= length;
      }
    }
  }

  /** Lets the answer come after the caller returned. */
  static void async(HttpServerExchange x, Runnable handler) {
    x.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          try {
            handler.run();
          } catch (RuntimeException e) {
            LOG.error("event=request_failed path={}", x.getRequestPath(), e);
            UndertowRequest.refuse(x, 500, "internal error");
          }
        });
  }
}
