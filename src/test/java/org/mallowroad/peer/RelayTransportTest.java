package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
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

/** What a peer's answer proves, and that nobody's garbage takes places for ever. */
final class RelayTransportTest {
  private final List<String> said = new ArrayList<>();
  private int status;

  private final EventLoop loop =
      new EventLoop() {
        @Override
        public long nanos() {
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

  /** Every peer answers with the status at hand. */
  private final class Answering implements NodeEnvironment {
    @Override
    public EventLoop loop() {
      return loop;
    }

    @Override
    public RequestSender requestSender(Endpoint to, String type, int maxOpen, int maxBody) {
      return new RequestSender() {
        @Override
        public void call(
            String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
          answer.answered(status, new byte[0]);
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
    public Thread thread() {
      return Thread.currentThread();
    }

    @Override
    public void stop() {}
  }

  private final RequestSender.ResponseHandler answer =
      new RequestSender.ResponseHandler() {
        @Override
        public void answered(int s, byte[] body) {
          said.add("answered " + s);
        }

        @Override
        public void failed(boolean sent) {
          said.add("failed " + sent);
        }
      };

  private final RelayTransport.Listener listener =
      new RelayTransport.Listener() {
        @Override
        public long row(LinkStateAdvertisement row) {
          return 0;
        }

        @Override
        public void forward(
            ExternalService to,
            String method,
            String path,
            byte[] body,
            long ms,
            RequestSender.ResponseHandler back) {
          back.answered(200, new byte[0]);
        }

        @Override
        public void commands(String address, byte[] body, RequestSender.ResponseHandler back) {
          back.failed(true);
        }

        @Override
        public void carried(int peer, byte[] report, RequestSender.ResponseHandler back) {}
      };

  private final RelayTransport forwarding =
      new RelayTransport(
          new Answering(),
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
  void onlyWhatDidNothingForCertainCountsAsUnsent(int peerSays, boolean sent) {
    status = peerSays;
    forwarding.commands(0, "w:1", new byte[] {1}, answer);
    assertEquals(List.of("failed " + sent), said);
  }

  @Test
  void messagesThatAreRefusedTakeNoPlaceForEver() throws InvalidMessageException {
    LinkCodec codec = new LinkCodec();
    for (int i = 0; i < 200; i++) {
      assertThrows(
          InvalidMessageException.class, () -> forwarding.message(incoming(codec, "NOBODY")));
    }
    for (int i = 0; i < 200; i++) {
      forwarding.message(incoming(codec, "STATE"));
    }
    assertEquals(200, said.stream().filter("200"::equals).count());
  }

  private IncomingRequest incoming(LinkCodec codec, String to) {
    byte[] body = codec.encode(new LinkCodec.Forward(to, "GET", "/kv/a", new byte[0], 100));
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
      public void answer(int s, String type, byte[] bytes, boolean later) {
        said.add("" + s);
      }
    };
  }
}
