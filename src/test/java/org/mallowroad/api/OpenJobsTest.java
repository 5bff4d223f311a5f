package org.mallowroad.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.SteppedClock;
import org.mallowroad.core.JobSpecs;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;

/** Many questions with few calls, never an answer that is older than one given before. */
final class OpenJobsTest {
  private static final double RPS = 10;

  private static final class Here {
    private final SteppedClock c = new SteppedClock();
    private final SteppedClock.Process p = c.new Process();
    private final KeyValueStore state = new KeyValueStore(p, p, p);
    private final UserApi users =
        new UserApi(
            p,
            state,
            new RateLimiter(RPS, RPS, c.now),
            RPS,
            new RateLimiter(100, 100, c.now),
            new RateLimiter(100, 100, c.now),
            new Nothing(),
            8,
            64,
            1_000);
    private final List<String> said = new ArrayList<>();

    private void run(long ms) {
      c.run(ms);
    }

    private void accepted(String id) {
      put("open/" + id, "{\"at\":1,\"job\":{}}");
    }

    private void put(String key, String v) {
      String body = "{\"writes\":[{\"put\":\"" + key + "\",\"v\":" + v + "}]}";
      assertEquals(200, c.serve("POST", "/multi", body).status());
    }

    private void ends(String id) {
      String body =
          "{\"writes\":[{\"delete\":\"open/%s\"},{\"put\":\"end/%s\",\"v\":{\"end\":\"done\"}}]}";
      assertEquals(200, c.serve("POST", "/multi", body.formatted(id, id)).status());
    }

    private void ask(String id) {
      users.query((status, answer, later) -> said.add(id + " " + word(status, answer)), id);
    }

    private static String word(int status, ObjectNode answer) {
      return status == 200 ? answer.path("standing").asText() : "" + status;
    }

    private void submit(String body) {
      users.submit(
          (status, answer, later) -> said.add("submit " + word(status, answer)),
          body.getBytes(StandardCharsets.UTF_8));
    }

    /** What was said since the last time. */
    private List<String> said() {
      List<String> s = new ArrayList<>(said);
      said.clear();
      s.sort(null);
      return s;
    }
  }

  private static final class Nothing implements UserApi.Jobs {
    @Override
    public org.mallowroad.core.JobSpec check(com.fasterxml.jackson.databind.JsonNode s)
        throws InvalidMessageException {
      if (s.has("bad")) {
        throw new InvalidMessageException("bad: not a field");
      }
      return JobSpecs.array(s.path("name_id").asText(), 1, 1).build();
    }

    @Override
    public boolean ready() {
      return true;
    }

    @Override
    public String hopeless(org.mallowroad.core.JobSpec spec) {
      return null;
    }

    @Override
    public int[] counts(String id) {
      return null;
    }
  }

  private static DynamicTest rule(String name, Consumer<Here> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Here()));
  }

  private static String id(int n) {
    return "job-%06d".formatted(n);
  }

  @TestFactory
  Stream<DynamicTest> questions() {
    return Stream.of(
        rule(
            "a malformed submission is refused, and one of a known job judged by its record",
            h -> {
              h.submit("{\"bad\":1}");
              h.submit("{\"bad\":1,\"name_id\":7}");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit 400", "submit 400", "submit 400"), h.said());
              h.accepted("job-000001");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit queued"), h.said());
              h.ends("job-000001");
              h.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              h.run(100);
              assertEquals(List.of("submit done"), h.said());
            }),
        rule(
            "four hundred questions about jobs that are known cost a handful of calls",
            h -> {
              for (int i = 0; i < 40; i++) {
                h.accepted(id(i));
              }
              for (int i = 0; i < 40; i++) {
                h.ask(id(i));
                h.run(500);
              }
              assertEquals(40, h.said().size());
              int before = h.c.calls;
              for (int n = 0; n < 400; n++) {
                h.ask(id(n % 40));
              }
              h.run(1_500);
              List<String> said = h.said();
              assertEquals(400, said.size());
              assertTrue(said.stream().allMatch(s -> s.endsWith("queued")), said.toString());
              assertTrue(h.c.calls - before <= 16, "calls: " + (h.c.calls - before));
            }),
        rule(
            "an end that another node told of is in the next answer",
            h -> {
              for (int i = 0; i < 3; i++) {
                h.accepted(id(i));
                h.ask(id(i));
              }
              h.run(3_000);
              h.said();
              h.ends(id(1));
              for (int i = 0; i < 3; i++) {
                h.ask(id(i));
              }
              h.run(2_000);
              assertEquals(
                  List.of(id(0) + " queued", id(1) + " done", id(2) + " queued"), h.said());
            }),
        rule(
            "a comparison that fails says nothing of the jobs that it does not name",
            h -> {
              h.c.firstFailureOnly = true;
              for (int i = 0; i < 4; i++) {
                h.accepted(id(i));
                h.ask(id(i));
                h.run(1_000);
              }
              h.said();
              h.ends(id(1));
              h.ends(id(2));
              // The first two go out by themselves, one each; the others share what comes next.
              for (int i : new int[] {0, 3, 1, 2}) {
                h.ask(id(i));
              }
              h.run(3_000);
              assertEquals(
                  List.of(id(0) + " queued", id(1) + " done", id(2) + " done", id(3) + " queued"),
                  h.said());
            }),
        rule(
            "what ends while the question is on its way is told as over, or as open before that",
            h -> {
              h.accepted(id(0));
              h.ask(id(0));
              h.run(1_000);
              h.said();
              h.c.beforeMulti =
                  () -> {
                    h.c.beforeMulti = () -> {};
                    h.ends(id(0));
                  };
              h.ask(id(0));
              h.run(1_000);
              assertEquals(List.of(id(0) + " done"), h.said());
            }),
        rule(
            "a job that the node does not know is heard of while others ask without end",
            h -> {
              h.accepted(id(0));
              h.ask(id(0));
              h.run(1_000);
              h.ends(id(7));
              h.said();
              for (int ms = 0; ms < 6_000; ms += 20) {
                h.ask(id(0));
                if (ms % 2_000 == 1_000) {
                  h.ask(id(7));
                }
                h.run(20);
              }
              h.run(2_000);
              List<String> said = h.said();
              assertTrue(said.contains(id(7) + " done"), said.toString());
            }),
        rule(
            "a submission that is repeated costs no write, whatever has become of its job",
            h -> {
              h.accepted(id(1));
              h.accepted(id(2));
              h.ends(id(2));
              int before = h.c.writes;
              for (int n = 1; n <= 2; n++) {
                h.submit("{\"name_id\":\"" + id(n) + "\"}");
                h.run(100);
              }
              assertEquals(List.of("submit done", "submit queued"), h.said());
              assertEquals(0, h.c.writes - before);
              h.submit("{\"name_id\":\"" + id(3) + "\"}");
              h.run(100);
              assertEquals(List.of("submit 201"), h.said());
              assertEquals(1, h.c.writes - before);
            }),
        rule(
            "thirty jobs that the node has never heard of cost a handful of calls",
            h -> {
              for (int i = 0; i < 30; i += 2) {
                h.accepted(id(i));
              }
              int before = h.c.calls;
              for (int i = 0; i < 30; i++) {
                h.ask(id(i));
              }
              h.run(1_500);
              List<String> said = h.said();
              assertEquals(15, said.stream().filter(s -> s.endsWith("queued")).count());
              assertEquals(15, said.stream().filter(s -> s.endsWith("404")).count());
              assertTrue(h.c.calls - before <= 12, "calls: " + (h.c.calls - before));
            }),
        rule(
            "nobody's job is nobody's, and a service that is crowded says nothing",
            h -> {
              h.ask(id(3));
              h.run(1_000);
              assertEquals(List.of(id(3) + " 404"), h.said());
              h.accepted(id(3));
              h.ask(id(3));
              h.run(1_000);
              assertEquals(List.of(id(3) + " queued"), h.said());
              h.c.crowdedUntilMs = h.c.now + 1_000;
              h.ask(id(3));
              h.run(500);
              assertEquals(List.of(id(3) + " 503"), h.said());
            }));
  }
}
