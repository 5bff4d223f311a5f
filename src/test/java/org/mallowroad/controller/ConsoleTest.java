package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mallowroad.config.ConsoleSettings;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.TeamSetting;
import org.mallowroad.console.ask.ClusterQuery;
import org.mallowroad.console.report.Report;
import org.mallowroad.console.view.NodeView;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.console.view.Overview;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.PendingCause;
import org.mallowroad.fake.FakeCloud;
import org.mallowroad.fake.FakeStateService;
import org.mallowroad.fake.LoopbackSettings;

/**
 * Checks the console over loopback sockets while parts of the service fail: within five seconds the
 * report must name the stalled jobs and the reason.
 */
final class ConsoleTest {
  private static final long REPORT_DEADLINE_NANOS = 5_000_000_000L;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<String> controllers = new CopyOnWriteArrayList<>();
  private FakeStateService state;
  private FakeCloud cloud;
  private ClusterQuery clusterQuery;
  private LoopbackSettings loopbackSettings;

  @BeforeEach
  void start() throws Exception {
    state = new FakeStateService();
    cloud =
        new FakeCloud(
            controllers,
            List.of(new FakeCloud.MachineType("small", 4, 16, 1, 1, List.of("north", "south"))));
    cloud.taskMs = 600_000;
    loopbackSettings =
        new LoopbackSettings(
            List.of("north", "south"),
            List.of(new TeamSetting("team", 8, 0, 64, 0), new TeamSetting("idle", 0, 0, 4, 0)),
            cloud,
            state,
            0.3,
            20);
    OperatorSettings defaults = OperatorSettings.defaults();
    ConsoleSettings consoleSettings =
        new ConsoleSettings(new Endpoint("127.0.0.1", 0), 1_000, 100, 10);
    List<String> consoles = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Node node =
          new Node(
              new ClusterConfig(
                  loopbackSettings.settingsForNode(i, 3), defaults.with(consoleSettings)));
      node.start();
      nodes.put("n" + i, node);
      controllers.add(node.address());
      consoles.add(node.consoleAddress());
    }
    clusterQuery = new ClusterQuery(consoles, "127.0.0.1:" + state.port());
    await("a leader", 40_000_000_000L, overview -> overview.obstacle().isEmpty());
    // Six machines with one task each in both zones, and a job whose team's limit allows one task.
    submit("job-000001", "team", "north", 6, 4);
    submit("job-000002", "team", "south", 6, 4);
    submit("job-000003", "idle", null, 3, 4);
    await(
        "running tasks",
        40_000_000_000L,
        overview -> {
          return overview.picture() != null
              && overview.picture().totals().running() == 13
              && reason(overview, "job-000003").equals(PendingCause.TEAM_LIMIT.name());
        });
  }

  @AfterEach
  void stop() {
    clusterQuery.close();
    nodes.values().forEach(Node::stop);
    cloud.close();
    state.close();
  }

  private void submit(String id, String team, String zone, int tasks, double cpus)
      throws Exception {
    String job =
        """
        {"name_id":"%s","docket":"c","crew":"%s","form":"sweep","rank":"normal","moves":%d,
         "cpus":%s,"cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"ground":%s,"together":false,
         "scatter":false,"driftwood":true,"reckon_s":600.0,"cairn_s":0.0,"stow_s":0.0}
        """
            .formatted(id, team, tasks, cpus, zone == null ? "null" : "\"" + zone + "\"");
    assertEquals(
        201,
        http.send(
                HttpRequest.newBuilder(URI.create("http://" + controllers.get(0) + "/v1/jobs"))
                    .POST(HttpRequest.BodyPublishers.ofString(job))
                    .build(),
                HttpResponse.BodyHandlers.discarding())
            .statusCode());
  }

  private Overview await(String description, long timeoutNanos, Predicate<Overview> condition)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutNanos;
    Overview overview = clusterQuery.fetchOverview();
    while (!condition.test(overview)) {
      assertTrue(
          System.nanoTime() < deadlineNanos,
          "timed out waiting for " + description + ": " + overview.first());
      Thread.sleep(50);
      overview = clusterQuery.fetchOverview();
    }
    return overview;
  }

  private static JobLine line(Overview overview, String id) {
    return overview.jobs().stream().filter(j -> j.id().equals(id)).findFirst().orElse(null);
  }

  private static String reason(Overview overview, String id) {
    JobLine jobLine = line(overview, id);
    return jobLine == null ? "" : jobLine.reason();
  }

  private Standing standing(Overview overview, String node) {
    return overview.nodes().stream()
        .filter(n -> n.name().equals(node))
        .map(NodeView::standing)
        .findFirst()
        .orElse(null);
  }

  private void blockLeader(CountDownLatch release) {
    nodes
        .get(state.leaderName())
        .loop()
        .submit(
            () -> {
              try {
                release.await(30, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  @Test
  void aStalledZoneIsReportedWithItsJobs() throws Exception {
    cloud.stalledZones.add("north");
    Overview overview =
        await(
            "a stalled zone",
            REPORT_DEADLINE_NANOS,
            candidate ->
                candidate.first().stream()
                        .anyMatch(f -> f.contains("Zone north") && f.contains("job-000001"))
                    && line(candidate, "job-000001").silent() == 6);
    JobLine jobLine = line(overview, "job-000001");
    assertTrue(
        jobLine.reason().equals(PendingCause.ZONE_CUT.name())
            || jobLine.reason().equals(PendingCause.NOT_PROVEN_GONE.name()),
        jobLine.toString());
    assertEquals("north", jobLine.zone());
    assertEquals("", reason(overview, "job-000002"));
    String page = Report.renderPage(overview, clusterQuery.fetchHistory());
    assertTrue(page.contains("Zone north") && page.contains("job-000001"), page);
    JobSnapshot snapshot = clusterQuery.fetchJob("job-000001");
    // All six were silent a moment ago; on a busy machine some may have been proven gone since.
    assertTrue(snapshot.tasks().stream().anyMatch(t -> t.silent()));
    assertTrue(snapshot.tasks().stream().allMatch(t -> !t.silent() || t.zone().equals("north")));
    assertFalse(snapshot.remedy().isEmpty());
  }

  @Test
  void aBlockedLeaderLoopIsReportedWithItsStackTrace() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    String leader = state.leaderName();
    blockLeader(release);
    Overview overview =
        await(
            "a blocked event loop",
            REPORT_DEADLINE_NANOS,
            candidate -> candidate.obstacle().equals(PendingCause.LOOP_STUCK.name()));
    assertEquals(Standing.STANDING_STILL, standing(overview, leader));
    assertEquals(PendingCause.LOOP_STUCK.name(), reason(overview, "job-000003"));
    assertTrue(line(overview, "job-000003").detail().contains("its team is at its limit"));
    String stack =
        overview.nodes().stream().flatMap(n -> n.sight().stack().stream()).toList().toString();
    assertTrue(stack.contains("ConsoleTest"), stack);
    // Another node takes over, and the blocked one is still reported.
    overview =
        await(
            "another leader",
            20_000_000_000L,
            candidate ->
                candidate.obstacle().isEmpty() && !reason(candidate, "job-000003").isEmpty());
    assertEquals(Standing.STANDING_STILL, standing(overview, leader));
    assertTrue(overview.first().toString().contains("Node " + leader + " is standing still"));
    release.countDown();
  }

  @Test
  void openJobsAreReadFromTheRecordsWhenNoControllerRuns() throws Exception {
    nodes.values().forEach(Node::stop);
    Overview overview =
        await(
            "the report that no controller runs",
            REPORT_DEADLINE_NANOS,
            candidate ->
                candidate.obstacle().equals(PendingCause.NO_LEADER.name())
                    && candidate.nodes().stream().allMatch(n -> n.standing() == Standing.REFUSING));
    assertTrue(overview.source().startsWith("records"), overview.source());
    assertEquals(3, overview.jobs().size());
    assertEquals(PendingCause.NO_LEADER.name(), reason(overview, "job-000003"));
    assertEquals(2, line(overview, "job-000003").waiting());
    assertTrue(Report.renderPage(overview, List.of()).contains("no controller answers"));
  }

  @Test
  void aStateServiceOutageIsReportedAsTheReason() throws Exception {
    state.isUnavailable = true;
    Overview overview =
        await(
            "a state service outage",
            REPORT_DEADLINE_NANOS,
            candidate -> candidate.obstacle().equals(PendingCause.STATE_AWAY.name()));
    assertEquals(PendingCause.STATE_AWAY.name(), reason(overview, "job-000003"));
    assertTrue(overview.first().get(0).contains("state service"), overview.first().toString());
    state.isUnavailable = false;
    await("recovery from the outage", 20_000_000_000L, candidate -> candidate.obstacle().isEmpty());
  }

  @Test
  void aTakeoverIsReportedWithItsTerm() throws Exception {
    state.expireAllLeases();
    Overview overview =
        await(
            "a takeover",
            REPORT_DEADLINE_NANOS,
            candidate -> candidate.obstacle().equals(PendingCause.TAKING_OVER.name()));
    assertTrue(
        overview
            .first()
            .get(0)
            .contains("takes over in term " + (1 + FencingTokens.TOKENS_PER_TERM)),
        overview.first().toString());
    overview =
        await(
            "the end of the takeover",
            20_000_000_000L,
            candidate -> candidate.obstacle().isEmpty());
    assertEquals(13, overview.picture().totals().running());
    assertEquals(PendingCause.TEAM_LIMIT.name(), reason(overview, "job-000003"));
  }

  @Test
  void aNodeServesAlthoughItsConsoleCannotListen() throws Exception {
    Endpoint usedEndpoint = Endpoint.parse(nodes.get("n0").consoleAddress());
    OperatorSettings defaults = OperatorSettings.defaults();
    ConsoleSettings consoleSettings = new ConsoleSettings(usedEndpoint, 1_000, 100, 10);
    Node node =
        new Node(
            new ClusterConfig(
                loopbackSettings.settingsForNode(3, 3), defaults.with(consoleSettings)));
    try {
      node.start();
      HttpResponse<String> response =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + node.address() + "/metrics")).build(),
              HttpResponse.BodyHandlers.ofString());
      assertEquals(200, response.statusCode());
    } finally {
      node.stop();
    }
  }

  /**
   * A client that requests jobs as fast as it can must not load the event loop with more than a few
   * answers per second; the other requests are rejected with 429.
   */
  @Test
  void jobRequestsAreRateLimited() throws Exception {
    String baseUrl = "http://" + nodes.get(state.leaderName()).consoleAddress() + "/console/v1/";
    Map<Integer, Integer> countsByStatus = new LinkedHashMap<>();
    long startNanos = System.nanoTime();
    for (int i = 0; i < 60; i++) {
      HttpResponse<String> response =
          http.send(
              HttpRequest.newBuilder(URI.create(baseUrl + "jobs/job-000001")).build(),
              HttpResponse.BodyHandlers.ofString());
      countsByStatus.merge(response.statusCode(), 1, Integer::sum);
      assertEquals(
          response.statusCode() == 429, response.headers().firstValue("Retry-After").isPresent());
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    assertTrue(countsByStatus.getOrDefault(429, 0) > 0, countsByStatus.toString());
    assertTrue(
        countsByStatus.getOrDefault(200, 0) <= 10 + 5 * seconds + 1,
        countsByStatus + " in " + seconds);
    assertTrue(
        clusterQuery.fetchOverview().nodes().stream().allMatch(n -> n.standing().isHealthy()));
  }

  @Test
  void unknownPathsAndMethodsAreRefused() throws Exception {
    String baseUrl = "http://" + nodes.get("n0").consoleAddress() + "/console/v1/";
    Object[][] cases = {
      {"GET", "picture", 200},
      {"GET", "history", 200},
      {"GET", "jobs/job-999", 404},
      {"GET", "jobs/../../x", 404},
      {"GET", "else", 404},
      {"POST", "picture", 405},
      {"DELETE", "jobs/job-000001", 405},
    };
    for (Object[] testCase : cases) {
      HttpResponse<String> response =
          http.send(
              HttpRequest.newBuilder(URI.create(baseUrl + testCase[1]))
                  .method((String) testCase[0], HttpRequest.BodyPublishers.noBody())
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      assertEquals(testCase[2], response.statusCode(), testCase[0] + " " + testCase[1]);
    }
  }
}
