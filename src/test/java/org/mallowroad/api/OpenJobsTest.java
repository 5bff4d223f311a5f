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

/**
 * Tests that many lookups are answered with few calls to the state service, and that no answer is
 * older than one that was given before.
 */
final class OpenJobsTest {
  private static final double READS_PER_S = 10;

  private static final class TestNode {
    private final VirtualTimeHarness harness = new VirtualTimeHarness();
    private final VirtualTimeHarness.Process process = harness.new Process();
    private final KeyValueStore state = new KeyValueStore(process, process, process);
    private final UserApi users =
        new UserApi(
            process,
            state,
            new UserApi.Limits(
                new RateLimiter(READS_PER_S, READS_PER_S, harness.nowMs),
                READS_PER_S,
                new RateLimiter(100, 100, harness.nowMs),
                new RateLimiter(100, 100, harness.nowMs),
                8,
                64,
                1_000),
            new AcceptAllLocalJobs());
    private final List<String> responses = new ArrayList<>();

    private void advance(long ms) {
      harness.advance(ms);
    }

    private void storeOpenJob(String id) {
      putRecord("open/" + id, "{\"at\":1,\"job\":{}}");
    }

    private void putRecord(String key, String value) {
      String body = "{\"writes\":[{\"put\":\"" + key + "\",\"v\":" + value + "}]}";
      assertEquals(200, harness.callStore("POST", "/multi", body).status());
    }

    private void endJob(String id) {
      String body =
          "{\"writes\":[{\"delete\":\"open/%s\"},{\"put\":\"end/%s\",\"v\":{\"end\":\"done\"}}]}";
      assertEquals(200, harness.callStore("POST", "/multi", body.formatted(id, id)).status());
    }

    private void query(String id) {
      users.query(
          (status, body, retryLater) -> responses.add(id + " " + stateOrStatus(status, body)), id);
    }

    private static String stateOrStatus(int status, ObjectNode body) {
      return status == 200 ? body.path("standing").asText() : "" + status;
    }

    private void submit(String body) {
      users.submit(
          (status, responseBody, retryLater) ->
              responses.add("submit " + stateOrStatus(status, responseBody)),
          body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns and clears the responses since the last call, sorted. */
    private List<String> takeResponses() {
      List<String> sorted = new ArrayList<>(responses);
      responses.clear();
      sorted.sort(null);
      return sorted;
    }
  }

  private static final class AcceptAllLocalJobs implements UserApi.LocalJobs {
    @Override
    public JobSpec validate(JsonNode submission) throws InvalidMessageException {
      if (submission.has("bad")) {
        throw new InvalidMessageException("bad: not a field");
      }
      return JobSpecBuilder.job(submission.path("name_id").asText(), 1, 1).build();
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

  private static DynamicTest testCase(String name, Consumer<TestNode> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new TestNode()));
  }

  private static String jobId(int number) {
    return "job-%06d".formatted(number);
  }

  @TestFactory
  Stream<DynamicTest> lookups() {
    return Stream.of(
        testCase(
            "an invalid submission is rejected unless its job was accepted before",
            node -> {
              node.submit("{\"bad\":1}");
              node.submit("{\"bad\":1,\"name_id\":7}");
              node.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              node.advance(100);
              assertEquals(List.of("submit 400", "submit 400", "submit 400"), node.takeResponses());
              node.storeOpenJob("job-000001");
              node.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              node.advance(100);
              assertEquals(List.of("submit queued"), node.takeResponses());
              node.endJob("job-000001");
              node.submit("{\"bad\":1,\"name_id\":\"job-000001\"}");
              node.advance(100);
              assertEquals(List.of("submit done"), node.takeResponses());
            }),
        testCase(
            "400 lookups of cached open jobs cost at most 16 calls",
            node -> {
              for (int i = 0; i < 40; i++) {
                node.storeOpenJob(jobId(i));
              }
              for (int i = 0; i < 40; i++) {
                node.query(jobId(i));
                node.advance(500);
              }
              assertEquals(40, node.takeResponses().size());
              int callsBefore = node.harness.receivedCalls;
              for (int n = 0; n < 400; n++) {
                node.query(jobId(n % 40));
              }
              node.advance(1_500);
              List<String> responses = node.takeResponses();
              assertEquals(400, responses.size());
              assertTrue(
                  responses.stream().allMatch(response -> response.endsWith("queued")),
                  responses.toString());
              assertTrue(
                  node.harness.receivedCalls - callsBefore <= 16,
                  "calls: " + (node.harness.receivedCalls - callsBefore));
            }),
        testCase(
            "the end that another node recorded is visible in the next response",
            node -> {
              for (int i = 0; i < 3; i++) {
                node.storeOpenJob(jobId(i));
                node.query(jobId(i));
              }
              node.advance(3_000);
              node.takeResponses();
              node.endJob(jobId(1));
              for (int i = 0; i < 3; i++) {
                node.query(jobId(i));
              }
              node.advance(2_000);
              assertEquals(
                  List.of(jobId(0) + " queued", jobId(1) + " done", jobId(2) + " queued"),
                  node.takeResponses());
            }),
        testCase(
            "nothing is concluded about jobs whose conditions a failed comparison does not report",
            node -> {
              node.harness.reportFirstFailureOnly = true;
              for (int i = 0; i < 4; i++) {
                node.storeOpenJob(jobId(i));
                node.query(jobId(i));
                node.advance(1_000);
              }
              node.takeResponses();
              node.endJob(jobId(1));
              node.endJob(jobId(2));
              // The first two lookups are sent in one comparison each; the others share the next
              // one.
              for (int i : new int[] {0, 3, 1, 2}) {
                node.query(jobId(i));
              }
              node.advance(3_000);
              assertEquals(
                  List.of(
                      jobId(0) + " queued",
                      jobId(1) + " done",
                      jobId(2) + " done",
                      jobId(3) + " queued"),
                  node.takeResponses());
            }),
        testCase(
            "a job that ends during its lookup is reported as ended",
            node -> {
              node.storeOpenJob(jobId(0));
              node.query(jobId(0));
              node.advance(1_000);
              node.takeResponses();
              node.harness.beforeTransaction =
                  () -> {
                    node.harness.beforeTransaction = () -> {};
                    node.endJob(jobId(0));
                  };
              node.query(jobId(0));
              node.advance(1_000);
              assertEquals(List.of(jobId(0) + " done"), node.takeResponses());
            }),
        testCase(
            "the lookup of an unknown job is answered under a continuous load of other lookups",
            node -> {
              node.storeOpenJob(jobId(0));
              node.query(jobId(0));
              node.advance(1_000);
              node.endJob(jobId(7));
              node.takeResponses();
              for (int ms = 0; ms < 6_000; ms += 20) {
                node.query(jobId(0));
                if (ms % 2_000 == 1_000) {
                  node.query(jobId(7));
                }
                node.advance(20);
              }
              node.advance(2_000);
              List<String> responses = node.takeResponses();
              assertTrue(responses.contains(jobId(7) + " done"), responses.toString());
            }),
        testCase(
            "a repeated submission costs no write, whether its job is open or has ended",
            node -> {
              node.storeOpenJob(jobId(1));
              node.storeOpenJob(jobId(2));
              node.endJob(jobId(2));
              int writesBefore = node.harness.requestedWrites;
              for (int n = 1; n <= 2; n++) {
                node.submit("{\"name_id\":\"" + jobId(n) + "\"}");
                node.advance(100);
              }
              assertEquals(List.of("submit done", "submit queued"), node.takeResponses());
              assertEquals(0, node.harness.requestedWrites - writesBefore);
              node.submit("{\"name_id\":\"" + jobId(3) + "\"}");
              node.advance(100);
              assertEquals(List.of("submit 201"), node.takeResponses());
              assertEquals(1, node.harness.requestedWrites - writesBefore);
            }),
        testCase(
            "30 lookups of jobs that are not cached cost at most 12 calls",
            node -> {
              for (int i = 0; i < 30; i += 2) {
                node.storeOpenJob(jobId(i));
              }
              int callsBefore = node.harness.receivedCalls;
              for (int i = 0; i < 30; i++) {
                node.query(jobId(i));
              }
              node.advance(1_500);
              List<String> responses = node.takeResponses();
              assertEquals(
                  15, responses.stream().filter(response -> response.endsWith("queued")).count());
              assertEquals(
                  15, responses.stream().filter(response -> response.endsWith("404")).count());
              assertTrue(
                  node.harness.receivedCalls - callsBefore <= 12,
                  "calls: " + (node.harness.receivedCalls - callsBefore));
            }),
        testCase(
            "the response is 404 for an unknown job, and 503 while the state service refuses calls",
            node -> {
              node.query(jobId(3));
              node.advance(1_000);
              assertEquals(List.of(jobId(3) + " 404"), node.takeResponses());
              node.storeOpenJob(jobId(3));
              node.query(jobId(3));
              node.advance(1_000);
              assertEquals(List.of(jobId(3) + " queued"), node.takeResponses());
              node.harness.rateLimitedUntilMs = node.harness.nowMs + 1_000;
              node.query(jobId(3));
              node.advance(500);
              assertEquals(List.of(jobId(3) + " 503"), node.takeResponses());
            }));
  }
}
