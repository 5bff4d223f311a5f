package org.mallowroad.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;

/** Many lookups cost few calls, and no answer is older than one that was given before. */
final class OpenJobsTest {
  private static final double RPS = 10;

  private static final class NodeUnderTest {
    private final VirtualTimeHarness c = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process p = c.new Process();
    private final KeyValueStore state = new KeyValueStore(p, p, p);
    private final UserApi users =
        new UserApi(
            p,
            state,
            new UserApi.Limits(
                new RateLimiter(RPS, RPS, c.nowMs),
                RPS,
                new RateLimiter(100, 100, c.nowMs),
                new RateLimiter(100, 100, c.nowMs),
                8,
                64,
                1_000),
            new AnyJob());
    private final List<String> answers = new ArrayList<>();

    private void run(long ms) {
      c.advance(ms);
    }

    private void accepted(String id) {
      put("open/" + id, "{\"at\":1,\"job\":{}}");
    }

    private void put(String key, String v) {
      String body = "{\"writes\":[{\"put\":\"" + key + "\",\"v\":" + v + "}]}";
      assertEquals(200, c.callStore("POST", "/multi", body).status());
    }

    private void ends(String id) {
      String body =
          "{\"writes\":[{\"delete\":\"open/%s\"},{\"put\":\"end/%s\",\"v\":{\"end\":\"done\"}}]}";
      assertEquals(200, c.callStore("POST", "/multi", body.formatted(id, id)).status());
    }

    private void ask(String id) {
      users.query((status, answer, later) -> answers.add(id + " " + word(status, answer)), id);
    }

    private static String word(int status, ObjectNode answer) {
      return status == 200 ? answer.path("standing").asText() : "" + status;
    }

    private void submit(String body) {
      users.submit(
          (status, answer, later) -> answers.add("submit " + word(status, answer)),
          body.getBytes(StandardCharsets.UTF_8));
    }

    /** What was answers since the last time. */
    private List<String> answers() {
      List<String> s = new ArrayList<>(answers);
      answers.clear();
      s.sort(null);
      return s;
    }
  }

  private static final class AnyJob implements UserApi.LocalJobs {
    @Override
    public JobSpec validate(JsonNode s) throws InvalidMessageException {
      if (s.has("bad")) {
        throw new InvalidMessageException("bad: not a field");
      }
      return JobSpecBuilder.job(s.path("name_id").asText(), 1, 1).build();
    }

    @Override
    public boolean hasMachineTypes() {
      return true;
    }

    @Override
    public Optional<String> rejectionReason(JobSpec spec) {
      return Optional.empty();
    }

    @Override
    public JobProgress progress(String id) {
      return null;
    }
  }

  private static DynamicTest rule(String name, Consumer<NodeUnderTest> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new NodeUnderTest()));
  }

  private static String id(int n) {
    return "job-%06d".formatted(n);
  }

  @TestFactory
  Stream<DynamicTest> lookups() {
    return Stream.of(
        rule(
            "a malformed submission is rejected, unless its job is known",
            h -> {
              h.submit("{\"bad\":1}");
              h.submit("{\"bad\":1,\"name_id\":7}");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit 400", "submit 400", "submit 400"), h.answers());
              h.accepted("job-000001");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit queued"), h.answers());
              h.ends("job-000001");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit done"), h.answers());
            }),
        rule(
            "four hundred lookups of known jobs cost a handful of calls",
            h -> {
              for (int i = 0; i < 40; i++) {
                h.accepted(id(i));
              }
              for (int i = 0; i < 40; i++) {
                h.ask(id(i));
                h.run(500);
              }
              assertEquals(40, h.answers().size());
              int before = h.c.receivedCalls;
              for (int n = 0; n < 400; n++) {
                h.ask(id(n % 40));
              }
              h.run(1_500);
              List<String> answers = h.answers();
              assertEquals(400, answers.size());
              assertTrue(answers.stream().allMatch(s -> s.endsWith("queued")), answers.toString());
              assertTrue(
                  h.c.receivedCalls - before <= 16, "calls: " + (h.c.receivedCalls - before));
            }),
        rule(
            "an end that another node recorded is in the next answer",
            h -> {
              for (int i = 0; i < 3; i++) {
                h.accepted(id(i));
                h.ask(id(i));
              }
              h.run(3_000);
              h.answers();
              h.ends(id(1));
              for (int i = 0; i < 3; i++) {
                h.ask(id(i));
              }
              h.run(2_000);
              assertEquals(
                  List.of(id(0) + " queued", id(1) + " done", id(2) + " queued"), h.answers());
            }),
        rule(
            "a failed comparison tells nothing of jobs whose conditions it does not name",
            h -> {
              h.c.reportFirstFailureOnly = true;
              for (int i = 0; i < 4; i++) {
                h.accepted(id(i));
                h.ask(id(i));
                h.run(1_000);
              }
              h.answers();
              h.ends(id(1));
              h.ends(id(2));
              // The first two go out by themselves, one each; the others share what comes next.
              for (int i : new int[] {0, 3, 1, 2}) {
                h.ask(id(i));
              }
              h.run(3_000);
              assertEquals(
                  List.of(id(0) + " queued", id(1) + " done", id(2) + " done", id(3) + " queued"),
                  h.answers());
            }),
        rule(
            "a job that ends during its lookup is answered as over",
            h -> {
              h.accepted(id(0));
              h.ask(id(0));
              h.run(1_000);
              h.answers();
              h.c.beforeTransaction =
                  () -> {
                    h.c.beforeTransaction = () -> {};
                    h.ends(id(0));
                  };
              h.ask(id(0));
              h.run(1_000);
              assertEquals(List.of(id(0) + " done"), h.answers());
            }),
        rule(
            "an unknown job is looked up while others are looked up without pause",
            h -> {
              h.accepted(id(0));
              h.ask(id(0));
              h.run(1_000);
              h.ends(id(7));
              h.answers();
              for (int ms = 0; ms < 6_000; ms += 20) {
                h.ask(id(0));
                if (ms % 2_000 == 1_000) {
                  h.ask(id(7));
                }
                h.run(20);
              }
              h.run(2_000);
              List<String> answers = h.answers();
              assertTrue(answers.contains(id(7) + " done"), answers.toString());
            }),
        rule(
            "a repeated submission costs no write, whatever the state of its job",
            h -> {
              h.accepted(id(1));
              h.accepted(id(2));
              h.ends(id(2));
              int before = h.c.requestedWrites;
              for (int n = 1; n <= 2; n++) {
                h.submit("{\"name_id\":\"" + id(n) + "\"}");
                h.run(100);
              }
              assertEquals(List.of("submit done", "submit queued"), h.answers());
              assertEquals(0, h.c.requestedWrites - before);
              h.submit("{\"name_id\":\"" + id(3) + "\"}");
              h.run(100);
              assertEquals(List.of("submit 201"), h.answers());
              assertEquals(1, h.c.requestedWrites - before);
            }),
        rule(
            "thirty lookups of unknown jobs cost a handful of calls",
            h -> {
              for (int i = 0; i < 30; i += 2) {
                h.accepted(id(i));
              }
              int before = h.c.receivedCalls;
              for (int i = 0; i < 30; i++) {
                h.ask(id(i));
              }
              h.run(1_500);
              List<String> answers = h.answers();
              assertEquals(15, answers.stream().filter(s -> s.endsWith("queued")).count());
              assertEquals(15, answers.stream().filter(s -> s.endsWith("404")).count());
              assertTrue(
                  h.c.receivedCalls - before <= 12, "calls: " + (h.c.receivedCalls - before));
            }),
        rule(
            "an unknown job is answered 404, and any job 503 while the service refuses calls",
            h -> {
              h.ask(id(3));
              h.run(1_000);
              assertEquals(List.of(id(3) + " 404"), h.answers());
              h.accepted(id(3));
              h.ask(id(3));
              h.run(1_000);
              assertEquals(List.of(id(3) + " queued"), h.answers());
              h.c.rateLimitedUntilMs = h.c.nowMs + 1_000;
              h.ask(id(3));
              h.run(500);
              assertEquals(List.of(id(3) + " 503"), h.answers());
            }));
  }
}
