package org.mallowroad.net;

import org.mallowroad.config.Settings.Endpoint;

/**
 * An environment that calls an observer before each message is handled: each request of a user, a
 * worker or a peer, and each outcome of a request of this node. All code of a node that reads
 * messages gets this environment, so that no kind of message can bypass the observer.
 */
public final class ObservedEnvironment implements NodeEnvironment {
  private final NodeEnvironment environment;
  private final Runnable observer;

  /**
   * Wraps an environment.
   *
   * @param observer called on the event loop before each message is handled
   */
  public ObservedEnvironment(NodeEnvironment environment, Runnable observer) {
    this.environment = environment;
    this.observer = observer;
  }

  @Override
  public EventLoop loop() {
    return environment.loop();
  }

  @Override
  public RequestSender requestSender(
      Endpoint endpoint, String contentType, int maxConnections, int maxResponseBytes) {
    return new ObservedSender(
        environment.requestSender(endpoint, contentType, maxConnections, maxResponseBytes));
  }

  @Override
  public void listen(RequestHandler handler) {
    environment.listen(
        new RequestHandler() {
          @Override
          public void onRequest(IncomingRequest request) {
            observer.run();
            handler.onRequest(request);
          }

          @Override
          public void onPeerMessage(IncomingRequest request) {
            observer.run();
            handler.onPeerMessage(request);
          }
        });
  }

  @Override
  public long bufferedBodyBytes() {
    return environment.bufferedBodyBytes();
  }

  @Override
  public String boundAddress(int listener) {
    return environment.boundAddress(listener);
  }

  @Override
  public Thread loopThread() {
    return environment.loopThread();
  }

  @Override
  public void stop() {
    environment.stop();
  }

  private final class ObservedSender implements RequestSender {
    private final RequestSender sender;

    ObservedSender(RequestSender sender) {
      this.sender = sender;
    }

    @Override
    public void send(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      sender.send(method, path, body, timeoutMs, new ObservedHandler(handler));
    }

    @Override
    public void close() {
      sender.close();
    }
  }

  private final class ObservedHandler implements RequestSender.ResponseHandler {
    private final RequestSender.ResponseHandler handler;

    ObservedHandler(RequestSender.ResponseHandler handler) {
      this.handler = handler;
    }

    @Override
    public void onResponse(int status, byte[] body) {
      observer.run();
      handler.onResponse(status, body);
    }

    @Override
    public void onFailure(boolean sent) {
      observer.run();
      handler.onFailure(sent);
    }

    @Override
    public void onNoFreeConnection() {
      handler.onNoFreeConnection();
    }
  }
}
