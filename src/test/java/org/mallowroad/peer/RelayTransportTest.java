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
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.RequestSender;
import org.mallowroad.net.StubEnvironment;
import org.mallowroad.wire.InvalidMessageException;

/**
 * Guards against two faults: a relayed command that may have been executed counts as unsent because
 * the peer answered with an error, and rejected calls permanently use up the limit of concurrent
 * relayed calls.
 */
final class RelayTransportTest {
  private final List<String> outcomes = new ArrayList<>();
  private int peerStatus;

  private final RequestSender.ResponseHandler responseHandler =
      new RequestSender.ResponseHandler() {
        @Override
        public void onResponse(int status, byte[] body) {
          outcomes.add("answered " + status);
        }

        @Override
        public void onFailure(boolean sent) {
          outcomes.add("failed " + sent);
        }
      };

  private final RelayTransport.Listener listener =
      new RelayTransport.Listener() {
        @Override
        public OptionalLong onLinkState(LinkStateAdvertisement linkState) {
          return OptionalLong.empty();
        }

        @Override
        public void onRelayedCall(
            ExternalService service,
            String method,
            String path,
            byte[] body,
            long timeoutMs,
            RequestSender.ResponseHandler handler) {
          handler.onResponse(200, new byte[0]);
        }

        @Override
        public void onRelayedCommands(
            String address, byte[] body, RequestSender.ResponseHandler handler) {
          handler.onFailure(true);
        }

        @Override
        public void onRelayedHeartbeat(
            int peer, byte[] heartbeat, RequestSender.ResponseHandler handler) {}
      };

  private final RelayTransport transport =
      new RelayTransport(
          new StubEnvironment(handler -> handler.onResponse(peerStatus, new byte[0])),
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
  void relayedCommandsCountAsUnsentOnlyIfThePeerCertainlyDidNotExecuteThem(
      int status, boolean sent) {
    peerStatus = status;
    transport.relayCommands(0, "w:1", new byte[] {1}, responseHandler);
    assertEquals(List.of("failed " + sent), outcomes);
  }

  @Test
  void rejectedCallsDoNotUseUpTheLimitOfConcurrentCalls() throws InvalidMessageException {
    LinkCodec codec = new LinkCodec();
    for (int i = 0; i < 200; i++) {
      assertThrows(
          InvalidMessageException.class,
          () -> transport.handleMessage(incomingCall(codec, "NOBODY")));
    }
    for (int i = 0; i < 200; i++) {
      transport.handleMessage(incomingCall(codec, "STATE"));
    }
    assertEquals(200, outcomes.stream().filter("200"::equals).count());
  }

  private IncomingRequest incomingCall(LinkCodec codec, String destination) {
    byte[] body =
        codec.encode(new LinkCodec.RelayedCall(destination, "GET", "/kv/a", new byte[0], 100));
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
      public void respond(int status, String contentType, byte[] bytes, boolean retryLater) {
        outcomes.add("" + status);
      }
    };
  }
}
