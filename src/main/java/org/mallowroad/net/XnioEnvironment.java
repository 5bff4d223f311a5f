package org.mallowroad.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The environment of a node in a process: an XNIO I/O thread, Undertow listeners and sockets. */
public final class XnioEnvironment implements NodeEnvironment {
  private static final String HEARTBEAT_PATH = "/v1/report";
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_CONNECTION_TIMEOUT_MS = 120_000;
  private static final int HEADER_PARSE_TIMEOUT_MS = 10_000;

  /** All bodies of one reader may occupy the memory divided by this number. */
  private static final int BODY_MEMORY_DIVISOR = 16;

  /** Marks connections that are counted as worker connections. */
  private static final AttachmentKey<Boolean> COUNTED_AS_WORKER =
      AttachmentKey.create(Boolean.class);

  private final Settings settings;
  private final int maxConnections;

  /** The number of worker connections beyond which each is closed after a heartbeat. */
  private final int keepAliveLimit;

  private int workerConnections;
  private final XnioWorker xnioWorker;
  private final XnioEventLoop loop;
  private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
  private final BodyReader heartbeatBodyReader;
  private final BodyReader userBodyReader;
  private final BodyReader peerBodyReader;
  private Undertow server;

  /** Starts the event loop of a node; nothing listens before {@link #listen}. */
  public XnioEnvironment(Settings settings) throws IOException {
    this.settings = settings;
    // 13/16 of the sockets serve workers and users and an eighth serves commands that are sent
    // directly to workers; the rest is for the state service, the cloud and the other controllers.
    this.maxConnections = settings.maxSockets() * 13 / 16;
    this.keepAliveLimit = maxConnections * 3 / 4;
    this.xnioWorker = XnioEventLoop.createWorker("loop");
    this.loop = new XnioEventLoop(xnioWorker.getIoThread());
    // A small fraction of the memory, so that all readers at their limits do not exhaust it.
    long maxReservedBytes = (long) (settings.ramMb() * 1024 * 1024) / BODY_MEMORY_DIVISOR;
    this.heartbeatBodyReader = new BodyReader(maxReservedBytes, BodyReader.MAX_BODY_BYTES);
    this.userBodyReader = new BodyReader(maxReservedBytes, BodyReader.MAX_BODY_BYTES);
    this.peerBodyReader = new BodyReader(maxReservedBytes, BodyReader.MAX_MESSAGE_BYTES);
  }

  @Override
  public XnioEventLoop loop() {
    return loop;
  }

  @Override
  public RequestSender requestSender(
      Endpoint endpoint, String contentType, int maxConnections, int maxResponseBytes) {
    return new HttpRequestSender(
        loop, bufferPool, endpoint, contentType, maxConnections, maxResponseBytes);
  }

  @Override
  public void listen(RequestHandler handler) {
    Endpoint users = settings.listen();
    Endpoint peers = settings.peerListen();
    server =
        Undertow.builder()
            .setWorker(xnioWorker)
            .setByteBufferPool(bufferPool)
            .addHttpListener(
                users.port(), users.host(), exchange -> handleRequest(exchange, handler))
            .addHttpListener(
                peers.port(),
                peers.host(),
                exchange ->
                    peerBodyReader.read(
                        exchange,
                        (exchangeWithBody, body) ->
                            handler.onPeerMessage(new UndertowRequest(exchangeWithBody, body))))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) BodyReader.MAX_MESSAGE_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_PARSE_TIMEOUT_MS)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections - 10)
            .build();
    server.start();
  }

  private void handleRequest(HttpServerExchange exchange, RequestHandler handler) {
    if (exchange.getRequestMethod().equals(Methods.GET)) {
      BodyReader.dispatch(
          exchange, () -> handler.onRequest(new UndertowRequest(exchange, new byte[0])));
      return;
    }
    boolean isHeartbeat = exchange.getRequestPath().equals(HEARTBEAT_PATH);
    if (isHeartbeat && exceedsKeepAliveLimit(exchange.getConnection())) {
      exchange.setPersistent(false);
    }
    BodyReader bodyReader = isHeartbeat ? heartbeatBodyReader : userBodyReader;
    bodyReader.read(
        exchange,
        (exchangeWithBody, body) -> handler.onRequest(new UndertowRequest(exchangeWithBody, body)));
  }

  /**
   * Counts a worker's connection and returns whether there are too many to keep open.
   *
   * <p>A fleet may have more workers than the process may have sockets, and no connection is
   * accepted beyond the connection limit. Beyond three quarters of that limit, a worker's
   * connection is therefore closed after each heartbeat, which frees its socket for another worker.
   */
  private boolean exceedsKeepAliveLimit(ServerConnection connection) {
    if (connection.getAttachment(COUNTED_AS_WORKER) == null) {
      connection.putAttachment(COUNTED_AS_WORKER, true);
      workerConnections++;
      connection.addCloseListener(closed -> workerConnections--);
    }
    return workerConnections > keepAliveLimit;
  }

  @Override
  public long bufferedBodyBytes() {
    return heartbeatBodyReader.reservedBytes()
        + userBodyReader.reservedBytes()
        + peerBodyReader.reservedBytes();
  }

  /**
   * Listeners are numbered in the order in which they were added; returns the port actually bound.
   */
  @Override
  public String boundAddress(int listener) {
    InetSocketAddress address =
        (InetSocketAddress) server.getListenerInfo().get(listener).getAddress();
    return address.getHostString() + ":" + address.getPort();
  }

  @Override
  public Thread loopThread() {
    return loop.ioThread();
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
    xnioWorker.shutdown();
  }
}
