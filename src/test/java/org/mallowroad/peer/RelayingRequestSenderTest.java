package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.RequestSender;

/**
 * Guards against a sender that has run out of connections being taken for a network partition: only
 * a call that the service did not answer may mark the direct path as down.
 */
final class RelayingRequestSenderTest {
  private static DynamicTest failedCallTest(
      String name, Consumer<RequestSender.ResponseHandler> directOutcome, boolean expectPathDown) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          VirtualTimeHarness.Process loop = new VirtualTimeHarness().new Process();
          LinkStateTable links =
              new LinkStateTable(
                  LinkPolicy.defaults(), "n0", List.of("n1"), List.of("a"), 0, loop.now());
          RouteSelector route = new RouteSelector(links, ExternalService.STATE);
          RequestSender direct =
              new RequestSender() {
                @Override
                public void send(
                    String method,
                    String path,
                    byte[] body,
                    long timeoutMs,
                    ResponseHandler handler) {
                  directOutcome.accept(handler);
                }

                @Override
                public void close() {}
              };
          RelayingRequestSender sender =
              new RelayingRequestSender(
                  loop,
                  direct,
                  ExternalService.STATE,
                  route,
                  (peer, service, method, path, body, timeoutMs, handler) -> {},
                  400);
          List<String> outcomes = new ArrayList<>();
          sender.send(
              "POST",
              "/multi",
              new byte[0],
              1_500,
              new RequestSender.ResponseHandler() {
                @Override
                public void onResponse(int status, byte[] body) {
                  outcomes.add("answered");
                }

                @Override
                public void onFailure(boolean sent) {
                  outcomes.add(sent ? "unknown" : "not sent");
                }
              });
          assertEquals(List.of(expectPathDown ? "unknown" : "not sent"), outcomes);
          assertEquals(expectPathDown, route.isDirectPathDown());
        });
  }

  @TestFactory
  Stream<DynamicTest> onlyUnansweredCallsMarkTheDirectPathDown() {
    return Stream.of(
        failedCallTest(
            "running out of connections does not mark the direct path as down",
            RequestSender.ResponseHandler::onNoFreeConnection,
            false),
        failedCallTest(
            "a call without a response marks the direct path as down",
            handler -> handler.onFailure(true),
            true));
  }
}
