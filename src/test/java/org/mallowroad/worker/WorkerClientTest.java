package org.mallowroad.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.worker.WorkerClient.DeliveryResult;

/**
 * Guards against a launch that counts as not sent although it, or a duplicate of it, may still
 * arrive: the task would be started elsewhere as well.
 */
final class WorkerClientTest {
  private static final int NO_RELAY = -1;
  private static final int RELAY_PEER = 0;

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

  /** An environment in which every request fails. */
  private record FailingEnvironment(boolean sent) implements NodeEnvironment {
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
          handler.onFailure(sent);
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public void listen(RequestHandler handler) {}

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

  @ParameterizedTest
  @CsvSource({
    // A refused connection of this process: no byte has left it.
    NO_RELAY + ",false,NOT_SENT",
    NO_RELAY + ",true,UNKNOWN",
    // A peer that refused to relay the message has received it; a duplicate may be relayed later.
    RELAY_PEER + ",false,UNKNOWN",
    RELAY_PEER + ",true,UNKNOWN"
  })
  void aMessageCountsAsNotSentOnlyIfItNeverLeftThisProcess(
      int relayPeer, boolean sent, DeliveryResult expected) {
    WorkerClient client = new WorkerClient(new FailingEnvironment(sent), 1);
    client.setRelay((peer, address, body, handler) -> handler.onFailure(sent));
    List<DeliveryResult> results = new ArrayList<>();
    client.send("h:1", relayPeer, 1, 1, List.of(), (result, heartbeat) -> results.add(result));
    assertEquals(List.of(expected), results);
  }
}
