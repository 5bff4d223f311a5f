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

/** A real node's surroundings: XNIO's thread, Undertow's listeners, sockets. */
public final class XnioEnvironment implements NodeEnvironment {
  private static final String REPORT = "/v1/report";

  /** On connections that are counted. */
  private static final AttachmentKey<Boolean> COUNTED = AttachmentKey.create(Boolean.class);

  private final Settings settings;
  private final int mostOpen;
  private final int manyOpen;
  private int open;
  private final XnioWorker worker;
  private final XnioEventLoop loop;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 16 * 1024, 64, 0);
  private final BodyReader reports;
  private final BodyReader others;
  private final BodyReader messages;
  private Undertow server;

  /** For a node with these settings; nothing listens before {@link #listen}. */
  public XnioEnvironment(Settings settings) throws IOException {
    this.settings = settings;
    // Workers and users; an eighth is for direct orders, the rest for the outside parties.
    this.mostOpen = settings.maxSockets() * 13 / 16;
    this.manyOpen = mostOpen * 3 / 4;
    this.worker = XnioEventLoop.worker("loop");
    this.loop = new XnioEventLoop(worker.getIoThread());
    // What all bodies that are being read may hold together: a small part of the memory, so that
    // even all at once stay clear of its end.
    long bytes = (long) (settings.ramMb() * 1024 * 1024) / 16;
    this.reports = new BodyReader(bytes, BodyReader.MOST_BODY);
    this.others = new BodyReader(bytes, BodyReader.MOST_BODY);
    this.messages = new BodyReader(bytes, BodyReader.MOST_MESSAGE);
  }

  @Override
  public XnioEventLoop loop() {
    return loop;
  }

  @Override
  public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
    return new HttpRequestSender(loop, buffers, to, type, maxOpen, maxBody);
  }

  @Override
  public void listen(RequestHandler front) {
    Endpoint users = settings.listen();
    Endpoint peers = settings.peerListen();
    server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(users.port(), users.host(), x -> request(x, front))
            .addHttpListener(
                peers.port(),
                peers.host(),
                x -> messages.read(x, (e, body) -> front.message(new UndertowRequest(e, body))))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) BodyReader.MOST_MESSAGE)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, mostOpen)
            .setSocketOption(Options.CONNECTION_LOW_WATER, mostOpen - 10)
            .build();
    server.start();
  }

  private void request(HttpServerExchange x, RequestHandler front) {
    if (x.getRequestMethod().equals(Methods.GET)) {
      BodyReader.async(x, () -> front.request(new UndertowRequest(x, new byte[0])));
      return;
    }
    boolean report = x.getRequestPath().equals(REPORT);
    if (report && crowded(x.getConnection())) {
      x.setPersistent(false);
    }
    BodyReader intake = report ? reports : others;
    intake.read(x, (e, body) -> front.request(new UndertowRequest(e, body)));
  }

  /**
   * More workers than sockets: a fleet may be larger than what connections there are. Beyond the
   * bound nobody is let in, so from three quarters of it on workers are asked to connect anew for
   * each report, and the sockets they leave are there for others.
   */
  private boolean crowded(ServerConnection c) {
    if (c.getAttachment(COUNTED) == null) {
      c.putAttachment(COUNTED, true);
      open++;
      c.addCloseListener(x -> open--);
    }
    return open > manyOpen;
  }

  @Override
  public long bufferedBodyBytes() {
    return reports.bytes() + others.bytes() + messages.bytes();
  }

  /** The listeners in the order in which they were added; a port 0 in the settings is any port. */
  @Override
  public String boundAddress(int listener) {
    InetSocketAddress a = (InetSocketAddress) server.getListenerInfo().get(listener).getAddress();
    return a.getHostString() + ":" + a.getPort();
  }

  @Override
  public Thread thread() {
    return loop.thread();
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
    worker.shutdown();
  }
}
