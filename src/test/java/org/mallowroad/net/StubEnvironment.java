package org.mallowroad.net;

import org.mallowroad.config.Settings.Endpoint;

/**
 * An environment for tests of single components: tasks of its event loop run at once, time stands
 * still, timers never fire, and a responder decides the outcome of each request.
 */
public final class StubEnvironment implements NodeEnvironment {
  /** Calls one method of a request's handler. */
  @FunctionalInterface
  public interface Responder {
    void respond(RequestSender.ResponseHandler handler);
  }

  private static final EventLoop LOOP =
      new EventLoop() {
        @Override
        public long nanoTime() {
          return 0;
        }

        @Override
        public long wallMs() {
          return 0;
        }

        @Override
        protected void execute(Runnable task) {
          task.run();
        }

        @Override
        protected Timer schedule(long delayMs, Runnable task) {
          return () -> true;
        }
      };

  private final Responder responder;
  private RequestHandler requestHandler;

  public StubEnvironment(Responder responder) {
    this.responder = responder;
  }

  @Override
  public EventLoop loop() {
    return LOOP;
  }

  @Override
  public RequestSender requestSender(
      Endpoint endpoint, String contentType, int maxConnections, int maxResponseBytes) {
    return new RequestSender() {
      @Override
      public void send(
          String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
        responder.respond(handler);
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void listen(RequestHandler handler) {
    requestHandler = handler;
  }

  /** The handler that was passed to {@link #listen}; null before. */
  RequestHandler requestHandler() {
    return requestHandler;
  }

  @Override
  public long bufferedBodyBytes() {
    return 0;
  }

  @Override
  public String boundAddress(int listener) {
    return "";
  }

  @Override
  public Thread loopThread() {
    return Thread.currentThread();
  }

  @Override
  public void stop() {}
}
