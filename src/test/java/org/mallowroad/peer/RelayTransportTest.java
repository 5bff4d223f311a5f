package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;

/** What a peer's response proves of a relayed call; rejected messages occupy no places. */
final class RelayTransportTest {
  private final List<String> events = new ArrayList<>();
  private int status;

  private final EventLoop loop =
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
        protected Timer schedule(long ms, Runnable task) {
          return () -> true;
        }
      };

  /** Every peer answers with the current status. */
  private final class AnsweringEnvironment implements NodeEnvironment {
    @Override
    public EventLoop loop() {
      return loop;
    }

    @Override
    public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
      return new RequestSender() {
        @Override
        public void send(
            String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
          answer.onResponse(status, new byte[0]);
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public void listen(RequestHandler front) {}

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

  private final RequestSender.ResponseHandler answer =
      new RequestSender.ResponseHandler() {
        @Override
        public void onResponse(int s, byte[] body) {
          events.add("answered " + s);
        }

        @Override
        public void onFailure(boolean sent) {
          events.add("failed " + sent);
        }
      };

  private final RelayTransport.Listener listener =
      new RelayTransport.Listener() {
        @Override
        public OptionalLong onLinkState(LinkStateAdvertisement row) {
          return OptionalLong.empty();
        }

        @Override
        public void onRelayedCall(
            ExternalService to,
            String method,
            String path,
            byte[] body,
            long ms,
            RequestSender.ResponseHandler back) {
          back.onResponse(200, new byte[0]);
        }

        @Override
        public void onRelayedCommands(
            String address, byte[] body, RequestSender.ResponseHandler back) {
          back.onFailure(true);
        }

        @Override
        public void onRelayedHeartbeat(
            int peer, byte[] heartbeat, RequestSender.ResponseHandler back) {}
      };

  private final RelayTransport transport =
      new RelayTransport(
          new AnsweringEnvironment(),
          List.of(new Member("n1", "a", new Endpoint("h", 1))),
          new LinkStateTable(LinkPolicy.defaults(), "n0", List.of("n1"), List.of("a"), 0, 0),
          listener);

  @ParameterizedTest
  @CsvSource({
    "404,false",
    "400,false",
    "413,false",
    "503,false",
    "500,true",
    "204,true",
    "200,true"
  })
  void onlyStatusesOfRequestsThatCertainlyDidNothingCountAsUnsent(int peerStatus, boolean sent) {
    status = peerStatus;
    transport.relayCommands(0, "w:1", new byte[] {1}, answer);
    assertEquals(List.of("failed " + sent), events);
  }

  @Test
  void rejectedMessagesOccupyNoPlaceForEver() throws InvalidMessageException {
    LinkCodec codec = new LinkCodec();
    for (int i = 0; i < 200; i++) {
      assertThrows(
          InvalidMessageException.class, () -> transport.handleMessage(incoming(codec, "NOBODY")));
    }
    for (int i = 0; i < 200; i++) {
      transport.handleMessage(incoming(codec, "STATE"));
    }
    assertEquals(200, events.stream().filter("200"::equals).count());
  }

  private IncomingRequest incoming(LinkCodec codec, String to) {
    byte[] body = codec.encode(new LinkCodec.RelayedCall(to, "GET", "/kv/a", new byte[0], 100));
    return new IncomingRequest() {
      @Override
      public String method() {
        return "POST";
      }

      @Override
      public String path() {
        return "/forward";
      }

      @Override
      public byte[] body() {
        return body;
      }

      @Override
      public void respond(int s, String type, byte[] bytes, boolean later) {
        events.add("" + s);
      }
    };
  }
}
