package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.Clockwork;
import org.mallowroad.core.links.LinkPolicy;
import org.mallowroad.core.links.Links;
import org.mallowroad.core.links.Outside;
import org.mallowroad.core.links.Route;
import org.mallowroad.net.Caller;

/** What a failed call says of the direct way to a party. */
final class DetourTest {
  private static DynamicTest rule(String name, Consumer<Caller.Answer> outcome, boolean astray) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          Clockwork.Process loop = new Clockwork().new Process();
          Links links =
              new Links(LinkPolicy.defaults(), "n0", List.of("n1"), List.of("a"), 0, loop.now());
          Route route = new Route(links, Outside.STATE);
          Caller direct =
              new Caller() {
                @Override
                public void call(
                    String method, String path, byte[] body, long timeoutMs, Answer answer) {
                  outcome.accept(answer);
                }

                @Override
                public void close() {}
              };
          Detour detour =
              new Detour(loop, direct, Outside.STATE, route, (p, o, m, path, b, ms, a) -> {}, 400);
          List<String> heard = new ArrayList<>();
          detour.call(
              "POST",
              "/multi",
              new byte[0],
              1_500,
              new Caller.Answer() {
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
          assertEquals(astray, route.astray());
        });
  }

  @TestFactory
  Stream<DynamicTest> signs() {
    return Stream.of(
        rule(
            "a caller without a free connection is no sign of a cut",
            Caller.Answer::exhausted,
            false),
        rule("a call without an answer is one", answer -> answer.failed(true), true));
  }
}
