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

/** What a failed call tells of the direct way to an external service. */
final class RelayedCallerTest {
  private static DynamicTest rule(
      String name, Consumer<RequestSender.ResponseHandler> outcome, boolean astray) {
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
                    ResponseHandler answer) {
                  outcome.accept(answer);
                }

                @Override
                public void close() {}
              };
          RelayingRequestSender caller =
              new RelayingRequestSender(
                  loop, direct, ExternalService.STATE, route, (p, o, m, path, b, ms, a) -> {}, 400);
          List<String> outcomes = new ArrayList<>();
          caller.send(
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
          assertEquals(List.of(astray ? "unknown" : "not sent"), outcomes);
          assertEquals(astray, route.isDirectPathDown());
        });
  }

  @TestFactory
  Stream<DynamicTest> signsOfAPartition() {
    return Stream.of(
        rule(
            "a sender without a free connection is no sign of a partition",
            RequestSender.ResponseHandler::onNoFreeConnection,
            false),
        rule(
            "a call without an answer is a sign of a partition",
            answer -> answer.onFailure(true),
            true));
  }
}
