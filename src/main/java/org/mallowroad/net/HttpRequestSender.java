package org.mallowroad.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.mallowroad.config.Settings.Endpoint;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends HTTP requests to one endpoint over a bounded pool of connections, on the event loop's I/O
 * thread.
 */
public final class HttpRequestSender implements RequestSender {
  private static final HttpString CONTENT_TYPE = Headers.CONTENT_TYPE;

  /** Idle connections that are kept, or half of the pool where that is more. */
  private static final int MIN_IDLE_LIMIT = 8;

  private final XnioEventLoop loop;
  private final ByteBufferPool buffers;
  private final HttpClientProvider provider = new HttpClientProvider();
  private final URI uri;
  private final String host;
  private final String contentType;
  private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
  private int connections;
  private final int maxConnections;
  private final int maxResponseBytes;
  private boolean closed;

  /**
   * Sends to one endpoint.
   *
   * @param maxConnections connections at once, beyond which a request fails unsent
   * @param maxResponseBytes the largest response body; a larger one counts as no response
   */
  public HttpRequestSender(
      XnioEventLoop loop,
      ByteBufferPool buffers,
      Endpoint endpoint,
      String contentType,
      int maxConnections,
      int maxResponseBytes) {
    this.loop = loop;
    this.buffers = buffers;
    this.uri = URI.create("http://" + endpoint);
    this.host = endpoint.toString();
    this.contentType = contentType;
    this.maxConnections = maxConnections;
    this.maxResponseBytes = maxResponseBytes;
  }

  /** A request that is not answered in time closes its connection. */
  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
    Call call = new Call(new HttpString(method), path, body, handler);
    ClientConnection c;
    while ((c = idle.pollFirst()) != null) {
      if (c.isOpen()) {
        call.start(timeoutMs);
        call.send(c);
        return;
      }
    }
    if (connections >= maxConnections) {
      handler.onNoFreeConnection();
      return;
    }
    call.start(timeoutMs);
    connections++;
    call.connecting = true;
    provider.connect(
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connection) {
            call.connecting = false;
            connection.getCloseSetter().set(ch -> connections--);
            if (call.over) {
              IoUtils.safeClose(connection);
            } else {
              call.send(connection);
            }
          }

          @Override
          public void failed(IOException e) {
            connections--;
            call.connecting = false;
            call.fail();
          }
        },
        null,
        uri,
        loop.ioThread(),
        null,
        buffers,
        OptionMap.EMPTY);
  }

  /** Closes idle connections; those in use are closed after their responses. */
  @Override
  public void close() {
    closed = true;
    ClientConnection c;
    while ((c = idle.pollFirst()) != null) {
      IoUtils.safeClose(c);
    }
  }

  /** One request and its response; over once its handler has been called. */
  private final class Call {
    private final HttpString method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler handler;
    private EventLoop.Timer timer;
    private ClientConnection connection;
    private boolean connecting;
    private boolean sent;
    private boolean over;

    Call(HttpString method, String path, byte[] body, ResponseHandler handler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
    }

    void start(long timeoutMs) {
      timer = loop.after(timeoutMs, this::fail);
    }

    void send(ClientConnection c) {
      connection = c;
      sent = true;
      ClientRequest r = new ClientRequest().setMethod(method).setPath(path);
      r.getRequestHeaders().put(Headers.HOST, host);
      if (body != null) {
        r.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        r.getRequestHeaders().put(CONTENT_TYPE, contentType);
      }
      c.sendRequest(
          r,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange x) {
              x.setResponseListener(
                  new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange done) {
                      read(done);
                    }

                    @Override
                    public void failed(IOException e) {
                      fail();
                    }
                  });
              write(x);
            }

            @Override
            public void failed(IOException e) {
              fail();
            }
          });
    }

    private void write(ClientExchange x) {
      StreamSinkChannel ch = x.getRequestChannel();
      ByteBuffer left = ByteBuffer.wrap(body == null ? new byte[0] : body);
      ChannelListener<StreamSinkChannel> writer =
          channel -> {
            try {
              while (left.hasRemaining()) {
                if (channel.write(left) == 0) {
                  channel.resumeWrites();
                  return;
                }
              }
              channel.shutdownWrites();
              if (channel.flush()) {
                channel.suspendWrites();
              } else {
                channel.resumeWrites();
              }
            } catch (IOException e) {
              fail();
            }
          };
      ch.getWriteSetter().set(writer);
      writer.handleEvent(ch);
    }

    private void read(ClientExchange x) {
      StreamSourceChannel ch = x.getResponseChannel();
      int status = x.getResponse().getResponseCode();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      ChannelListener<StreamSourceChannel> reader =
          channel -> {
            try (PooledByteBuffer pooled = buffers.allocate()) {
              ByteBuffer b = pooled.getBuffer();
              while (true) {
                b.clear();
                int n = channel.read(b);
                if (n == 0) {
                  channel.resumeReads();
                  return;
                }
                if (n < 0) {
                  finish(status, out.toByteArray());
                  return;
                }
                b.flip();
                byte[] part = new byte[b.remaining()];
                b.get(part);
                out.write(part, 0, part.length);
                if (out.size() > maxResponseBytes) {
                  fail();
                  return;
                }
              }
            } catch (IOException e) {
              fail();
            }
          };
      ch.getReadSetter().set(reader);
      reader.handleEvent(ch);
    }

    private void finish(int status, byte[] bytes) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel();
      ClientConnection c = connection;
      // The exchange is closed once this listener returns; only then may the next one begin.
      loop.submit(
          () -> {
            if (!closed
                && c.isOpen()
                && idle.size() < Math.max(MIN_IDLE_LIMIT, maxConnections / 2)) {
              idle.addFirst(c);
            } else {
              IoUtils.safeClose(c);
            }
          });
      handler.onResponse(status, bytes);
    }

    private void fail() {
      if (over) {
        return;
      }
      over = true;
      timer.cancel();
      IoUtils.safeClose(connection);
      handler.onFailure(sent);
    }
  }
}
