package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.SteppedClock;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.net.RequestSender;

/** What a failed call says of the direct way to a party. */
final class RelayedCallerTest {
  private static DynamicTest rule(
      String name, Consumer<RequestSender.ResponseHandler> outcome, boolean astray) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          SteppedClock.Process loop = new SteppedClock().new Process();
          LinkStateTable links =
              new LinkStateTable(
                  LinkPolicy.defaults(), "n0", List.of("n1"), List.of("a"), 0, loop.now());
          RouteSelector route = new RouteSelector(links, ExternalService.STATE);
          RequestSender direct =
              new RequestSender() {
                @Override
                public void call(
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
          RelayedCaller detour =
              new RelayedCaller(
                  loop, direct, ExternalService.STATE, route, (p, o, m, path, b, ms, a) -> {}, 400);
          List<String> heard = new ArrayList<>();
          detour.call(
              "POST",
              "/multi",
              new byte[0],
              1_500,
              new RequestSender.ResponseHandler() {
                @Override
                public void answered(int status, byte[] body) {
                  heard.add("answered");
                }

                @Override
                public void failed(boolean sent) {
                  heard.add(sent ? "unknown" : "not sent");
                }
              });
          assertEquals(List.of(astray ? "unknown" : "not sent"), heard);
          assertEquals(astray, route.isDirectPathDown());
        });
  }

  @TestFactory
  Stream<DynamicTest> signs() {
    return Stream.of(
        rule(
            "a caller without a free connection is no sign of a cut",
            RequestSender.ResponseHandler::exhausted,
            false),
        rule("a call without an answer is one", answer -> answer.failed(true), true));
  }
}
