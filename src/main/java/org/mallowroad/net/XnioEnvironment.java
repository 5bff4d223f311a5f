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

/** The environment of a process: an XNIO I/O thread, Undertow listeners and sockets. */
public final class XnioEnvironment implements NodeEnvironment {
  private static final String HEARTBEAT_PATH = "/v1/report";
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_TIMEOUT_MS = 120_000;
  private static final int PARSE_TIMEOUT_MS = 10_000;

  /** The part of the memory, as a divisor, that the bodies of one reader may take together. */
  private static final int BODY_MEMORY_DIVISOR = 16;

  /** Marks connections that are counted as those of workers. */
  private static final AttachmentKey<Boolean> COUNTED = AttachmentKey.create(Boolean.class);

  private final Settings settings;
  private final int maxConnections;

  /** Beyond so many connections workers are asked to connect anew for each heartbeat. */
  private final int crowdedConnections;

  private int workerConnections;
  private final XnioWorker worker;
  private final XnioEventLoop loop;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
  private final BodyReader heartbeatBodies;
  private final BodyReader userBodies;
  private final BodyReader peerBodies;
  private Undertow server;

  /** Starts the event loop of a node; nothing listens before {@link #listen}. */
  public XnioEnvironment(Settings settings) throws IOException {
    this.settings = settings;
    // For workers and users; an eighth of the sockets is for commands sent directly to workers, the
    // rest for the state service, the cloud and the other controllers.
    this.maxConnections = settings.maxSockets() * 13 / 16;
    this.crowdedConnections = maxConnections * 3 / 4;
    this.worker = XnioEventLoop.createWorker("loop");
    this.loop = new XnioEventLoop(worker.getIoThread());
    // A small part of the memory: even all readers at their bounds do not exhaust it.
    long bytes = (long) (settings.ramMb() * 1024 * 1024) / BODY_MEMORY_DIVISOR;
    this.heartbeatBodies = new BodyReader(bytes, BodyReader.MAX_BODY_BYTES);
    this.userBodies = new BodyReader(bytes, BodyReader.MAX_BODY_BYTES);
    this.peerBodies = new BodyReader(bytes, BodyReader.MAX_MESSAGE_BYTES);
  }

  @Override
  public XnioEventLoop loop() {
    return loop;
  }

  @Override
  public RequestSender requestSender(
      Endpoint to, String contentType, int maxConnections, int maxResponseBytes) {
    return new HttpRequestSender(loop, buffers, to, contentType, maxConnections, maxResponseBytes);
  }

  @Override
  public void listen(RequestHandler handler) {
    Endpoint users = settings.listen();
    Endpoint peers = settings.peerListen();
    server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(users.port(), users.host(), x -> request(x, handler))
            .addHttpListener(
                peers.port(),
                peers.host(),
                x ->
                    peerBodies.read(
                        x, (e, body) -> handler.onPeerMessage(new UndertowRequest(e, body))))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) BodyReader.MAX_MESSAGE_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections - 10)
            .build();
    server.start();
  }

  private void request(HttpServerExchange x, RequestHandler handler) {
    if (x.getRequestMethod().equals(Methods.GET)) {
      BodyReader.dispatch(x, () -> handler.onRequest(new UndertowRequest(x, new byte[0])));
      return;
    }
    boolean heartbeat = x.getRequestPath().equals(HEARTBEAT_PATH);
    if (heartbeat && isCrowded(x.getConnection())) {
      x.setPersistent(false);
    }
    BodyReader bodies = heartbeat ? heartbeatBodies : userBodies;
    bodies.read(x, (e, body) -> handler.onRequest(new UndertowRequest(e, body)));
  }

  /**
   * Counts a worker's connection, and tells whether there are too many to keep.
   *
   * <p>A fleet may have more workers than the process may have sockets, and no connection is
   * accepted beyond the bound. So from three quarters of it on, a worker's connection is closed
   * after each heartbeat, which leaves its socket to another worker.
   */
  private boolean isCrowded(ServerConnection c) {
    if (c.getAttachment(COUNTED) == null) {
      c.putAttachment(COUNTED, true);
      workerConnections++;
      c.addCloseListener(x -> workerConnections--);
    }
    return workerConnections > crowdedConnections;
  }

  @Override
  public long bufferedBodyBytes() {
    return heartbeatBodies.reservedBytes()
        + userBodies.reservedBytes()
        + peerBodies.reservedBytes();
  }

  /** Listeners are numbered in the order in which they were added; the port is the bound one. */
  @Override
  public String boundAddress(int listener) {
    InetSocketAddress a = (InetSocketAddress) server.getListenerInfo().get(listener).getAddress();
    return a.getHostString() + ":" + a.getPort();
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
    worker.shutdown();
  }
}
