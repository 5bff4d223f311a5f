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

  /** The limit of idle connections, or half of the pool size if that is larger. */
  private static final int MIN_IDLE_POOL_SIZE = 8;

  private final XnioEventLoop loop;
  private final ByteBufferPool bufferPool;
  private final HttpClientProvider provider = new HttpClientProvider();
  private final URI uri;
  private final String host;
  private final String contentType;
  private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
  private int openConnections;
  private final int maxConnections;
  private final int maxResponseBytes;
  private boolean closed;

  /**
   * Creates a sender to one endpoint.
   *
   * @param maxConnections the limit of concurrent connections; a request beyond it fails unsent
   * @param maxResponseBytes the largest response body; a larger one counts as no response
   */
  public HttpRequestSender(
      XnioEventLoop loop,
      ByteBufferPool bufferPool,
      Endpoint endpoint,
      String contentType,
      int maxConnections,
      int maxResponseBytes) {
    this.loop = loop;
    this.bufferPool = bufferPool;
    this.uri = URI.create("http://" + endpoint);
    this.host = endpoint.toString();
    this.contentType = contentType;
    this.maxConnections = maxConnections;
    this.maxResponseBytes = maxResponseBytes;
  }

  /** Sends a request; its connection is closed if the request times out. */
  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
    Call call = new Call(new HttpString(method), path, body, handler);
    ClientConnection idleConnection;
    while ((idleConnection = idleConnections.pollFirst()) != null) {
      if (idleConnection.isOpen()) {
        call.startTimeout(timeoutMs);
        call.send(idleConnection);
        return;
      }
    }
    if (openConnections >= maxConnections) {
      handler.onNoFreeConnection();
      return;
    }
    call.startTimeout(timeoutMs);
    openConnections++;
    call.connecting = true;
    provider.connect(
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connection) {
            call.connecting = false;
            connection.getCloseSetter().set(channel -> openConnections--);
            if (call.completed) {
              IoUtils.safeClose(connection);
            } else {
              call.send(connection);
            }
          }

          @Override
          public void failed(IOException e) {
            openConnections--;
            call.connecting = false;
            call.fail();
          }
        },
        null,
        uri,
        loop.ioThread(),
        null,
        bufferPool,
        OptionMap.EMPTY);
  }

  /** Closes idle connections; those in use are closed after their responses. */
  @Override
  public void close() {
    closed = true;
    ClientConnection idleConnection;
    while ((idleConnection = idleConnections.pollFirst()) != null) {
      IoUtils.safeClose(idleConnection);
    }
  }

  /** One request and its response; completed once its handler has been called. */
  private final class Call {
    private final HttpString method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler handler;
    private EventLoop.Timer timer;
    private ClientConnection connection;
    private boolean connecting;
    private boolean sent;
    private boolean completed;

    Call(HttpString method, String path, byte[] body, ResponseHandler handler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
    }

    void startTimeout(long timeoutMs) {
      timer = loop.after(timeoutMs, this::fail);
    }

    void send(ClientConnection openConnection) {
      connection = openConnection;
      sent = true;
      ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
      request.getRequestHeaders().put(Headers.HOST, host);
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        request.getRequestHeaders().put(CONTENT_TYPE, contentType);
      }
      openConnection.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              exchange.setResponseListener(
                  new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange responseExchange) {
                      readResponse(responseExchange);
                    }

                    @Override
                    public void failed(IOException e) {
                      fail();
                    }
                  });
              writeBody(exchange);
            }

            @Override
            public void failed(IOException e) {
              fail();
            }
          });
    }

    private void writeBody(ClientExchange exchange) {
      StreamSinkChannel sink = exchange.getRequestChannel();
      ByteBuffer remaining = ByteBuffer.wrap(body == null ? new byte[0] : body);
      ChannelListener<StreamSinkChannel> writer =
          channel -> {
            try {
              while (remaining.hasRemaining()) {
                if (channel.write(remaining) == 0) {
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
      sink.getWriteSetter().set(writer);
      writer.handleEvent(sink);
    }

    private void readResponse(ClientExchange exchange) {
      StreamSourceChannel source = exchange.getResponseChannel();
      int status = exchange.getResponse().getResponseCode();
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      ChannelListener<StreamSourceChannel> reader =
          channel -> {
            try (PooledByteBuffer pooled = bufferPool.allocate()) {
              ByteBuffer buffer = pooled.getBuffer();
              while (true) {
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead == 0) {
                  channel.resumeReads();
                  return;
                }
                if (bytesRead < 0) {
                  complete(status, received.toByteArray());
                  return;
                }
                buffer.flip();
                byte[] part = new byte[buffer.remaining()];
                buffer.get(part);
                received.write(part, 0, part.length);
                if (received.size() > maxResponseBytes) {
                  fail();
                  return;
                }
              }
            } catch (IOException e) {
              fail();
            }
          };
      source.getReadSetter().set(reader);
      reader.handleEvent(source);
    }

    private void complete(int status, byte[] bytes) {
      if (completed) {
        return;
      }
      completed = true;
      timer.cancel();
      ClientConnection usedConnection = connection;
      // The exchange is closed when this listener returns; only then may the connection be reused.
      loop.submit(
          () -> {
            if (!closed
                && usedConnection.isOpen()
                && idleConnections.size() < Math.max(MIN_IDLE_POOL_SIZE, maxConnections / 2)) {
              idleConnections.addFirst(usedConnection);
            } else {
              IoUtils.safeClose(usedConnection);
            }
          });
      handler.onResponse(status, bytes);
    }

    private void fail() {
      if (completed) {
        return;
      }
      completed = true;
      timer.cancel();
      IoUtils.safeClose(connection);
      handler.onFailure(sent);
    }
  }
}
