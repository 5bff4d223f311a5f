package org.mallowroad.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.config.Settings.Endpoint;

/** A message that waited through a pause must not be handled before the pause is noticed. */
final class ObservedEnvironmentTest {
  private static final String OBSERVED = "observed";

  private final List<String> calls = new ArrayList<>();

  private final RequestSender.ResponseHandler recordingHandler =
      new RequestSender.ResponseHandler() {
        @Override
        public void onResponse(int status, byte[] body) {
          calls.add("response");
        }

        @Override
        public void onFailure(boolean sent) {
          calls.add("failure");
        }

        @Override
        public void onNoFreeConnection() {
          calls.add("no connection");
        }
      };

  private final NodeEnvironment.RequestHandler recordingRequestHandler =
      new NodeEnvironment.RequestHandler() {
        @Override
        public void onRequest(IncomingRequest request) {
          calls.add("request");
        }

        @Override
        public void onPeerMessage(IncomingRequest request) {
          calls.add("peer message");
        }
      };

  private List<String> callsOfOutcome(Consumer<RequestSender.ResponseHandler> outcome) {
    calls.clear();
    new ObservedEnvironment(new StubEnvironment(outcome::accept), () -> calls.add(OBSERVED))
        .requestSender(new Endpoint("h", 1), "application/json", 1, 1)
        .send("POST", "/orders", new byte[0], 1_000, recordingHandler);
    return calls;
  }

  private List<String> callsOfRequest(Consumer<NodeEnvironment.RequestHandler> arrival) {
    calls.clear();
    StubEnvironment environment = new StubEnvironment(handler -> {});
    new ObservedEnvironment(environment, () -> calls.add(OBSERVED)).listen(recordingRequestHandler);
    arrival.accept(environment.requestHandler());
    return calls;
  }

  @TestFactory
  Stream<DynamicTest> everyKindOfMessageIsObservedBeforeItIsHandled() {
    return Stream.of(
        DynamicTest.dynamicTest(
            "a response",
            () ->
                assertEquals(
                    List.of(OBSERVED, "response"),
                    callsOfOutcome(handler -> handler.onResponse(200, new byte[0])))),
        DynamicTest.dynamicTest(
            "a timeout or a lost connection",
            () ->
                assertEquals(
                    List.of(OBSERVED, "failure"),
                    callsOfOutcome(handler -> handler.onFailure(true)))),
        DynamicTest.dynamicTest(
            "no message at all: every connection is in use",
            () ->
                assertEquals(
                    List.of("no connection"),
                    callsOfOutcome(RequestSender.ResponseHandler::onNoFreeConnection))),
        DynamicTest.dynamicTest(
            "a request of a user or a worker",
            () ->
                assertEquals(
                    List.of(OBSERVED, "request"),
                    callsOfRequest(handler -> handler.onRequest(null)))),
        DynamicTest.dynamicTest(
            "a message of a peer",
            () ->
                assertEquals(
                    List.of(OBSERVED, "peer message"),
                    callsOfRequest(handler -> handler.onPeerMessage(null)))));
  }
}
