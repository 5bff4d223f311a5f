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
 * What the console says while the service is in trouble, over loopback: within five seconds the
 * report names the jobs that are stalled and why.
 */
final class ConsoleTest {
  private static final long WITHIN_NS = 5_000_000_000L;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<String> controllers = new CopyOnWriteArrayList<>();
  private FakeStateService state;
  private FakeCloud cloud;
  private ClusterQuery asker;
  private LoopbackSettings clusterConfig;

  @BeforeEach
  void start() throws Exception {
    state = new FakeStateService();
    cloud =
        new FakeCloud(
            controllers,
            List.of(new FakeCloud.Type("small", 4, 16, 1, 1, List.of("north", "south"))));
    cloud.taskMs = 600_000;
    clusterConfig =
        new LoopbackSettings(
            List.of("north", "south"),
            List.of(new TeamSetting("team", 8, 0, 64, 0), new TeamSetting("idle", 0, 0, 4, 0)),
            cloud,
            state,
            0.3,
            20);
    OperatorSettings d = OperatorSettings.defaults();
    ConsoleSettings c = new ConsoleSettings(new Endpoint("127.0.0.1", 0), 1_000, 100, 10);
    List<String> consoles = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Node n = new Node(new ClusterConfig(clusterConfig.node(i, 3), d.with(c)));
      n.start();
      nodes.put("n" + i, n);
      controllers.add(n.address());
      consoles.add(n.consoleAddress());
    }
    asker = new ClusterQuery(consoles, "127.0.0.1:" + state.port());
    await("a leader", 40_000_000_000L, o -> o.obstacle().isEmpty());
    // Six machines in each zone, and a job that its team's limit holds.
    submit("job-000001", "team", "north", 6, 4);
    submit("job-000002", "team", "south", 6, 4);
    submit("job-000003", "idle", null, 3, 4);
    await(
        "tasks that run",
        40_000_000_000L,
        o -> {
          return o.picture() != null
              && o.picture().totals().running() == 13
              && reason(o, "job-000003").equals(PendingCause.TEAM_LIMIT.name());
        });
  }

  @AfterEach
  void stop() {
    asker.close();
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

  private Overview await(String what, long ns, Predicate<Overview> until)
      throws InterruptedException {
    long end = System.nanoTime() + ns;
    Overview o = asker.look();
    while (!until.test(o)) {
      assertTrue(System.nanoTime() < end, "no " + what + " in time: " + o.first());
      Thread.sleep(50);
      o = asker.look();
    }
    return o;
  }

  private static JobLine line(Overview o, String id) {
    return o.jobs().stream().filter(j -> j.id().equals(id)).findFirst().orElse(null);
  }

  private static String reason(Overview o, String id) {
    JobLine j = line(o, id);
    return j == null ? "" : j.reason();
  }

  private Standing standing(Overview o, String node) {
    return o.nodes().stream()
        .filter(n -> n.name().equals(node))
        .map(NodeView::standing)
        .findFirst()
        .orElse(null);
  }

  private void blockLeader(CountDownLatch over) {
    nodes
        .get(state.leader())
        .loop()
        .soon(
            () -> {
              try {
                over.await(30, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  @Test
  void aZoneThatStallsIsNamedWithItsJobs() throws Exception {
    cloud.stalled.add("north");
    Overview o =
        await(
            "stalled zone",
            WITHIN_NS,
            x ->
                x.first().stream()
                        .anyMatch(f -> f.contains("Zone north") && f.contains("job-000001"))
                    && line(x, "job-000001").silent() == 6);
    JobLine j = line(o, "job-000001");
    assertTrue(
        j.reason().equals(PendingCause.ZONE_CUT.name())
            || j.reason().equals(PendingCause.NOT_PROVEN_GONE.name()),
        j.toString());
    assertEquals("north", j.zone());
    assertEquals("", reason(o, "job-000002"));
    String page = Report.page(o, asker.history());
    assertTrue(page.contains("Zone north") && page.contains("job-000001"), page);
    JobSnapshot p = asker.job("job-000001");
    // All six were silent a moment ago; on a busy machine some are proven gone by now.
    assertTrue(p.tasks().stream().anyMatch(t -> t.silent()));
    assertTrue(p.tasks().stream().allMatch(t -> !t.silent() || t.zone().equals("north")));
    assertFalse(p.remedy().isEmpty());
  }

  @Test
  void aStuckLeaderIsNamedWithItsStackTrace() throws Exception {
    CountDownLatch over = new CountDownLatch(1);
    String leader = state.leader();
    blockLeader(over);
    Overview o =
        await("stuck loop", WITHIN_NS, x -> x.obstacle().equals(PendingCause.LOOP_STUCK.name()));
    assertEquals(Standing.STANDING_STILL, standing(o, leader));
    assertEquals(PendingCause.LOOP_STUCK.name(), reason(o, "job-000003"));
    assertTrue(line(o, "job-000003").detail().contains("its team is at its limit"));
    String stack = o.nodes().stream().flatMap(n -> n.sight().stack().stream()).toList().toString();
    assertTrue(stack.contains("ConsoleTest"), stack);
    // Another takes over, and the paused one is still shown.
    o =
        await(
            "another leader",
            20_000_000_000L,
            x -> x.obstacle().isEmpty() && !reason(x, "job-000003").isEmpty());
    assertEquals(Standing.STANDING_STILL, standing(o, leader));
    assertTrue(o.first().toString().contains("Node " + leader + " is standing still"));
    over.countDown();
  }

  @Test
  void withoutControllersOpenJobsAreReadFromTheRecords() throws Exception {
    nodes.values().forEach(Node::stop);
    Overview o =
        await(
            "no controller",
            WITHIN_NS,
            x ->
                x.obstacle().equals(PendingCause.NO_LEADER.name())
                    && x.nodes().stream().allMatch(n -> n.standing() == Standing.REFUSING));
    assertTrue(o.source().startsWith("records"), o.source());
    assertEquals(3, o.jobs().size());
    assertEquals(PendingCause.NO_LEADER.name(), reason(o, "job-000003"));
    assertEquals(2, line(o, "job-000003").waiting());
    assertTrue(Report.page(o, List.of()).contains("no controller answers"));
  }

  @Test
  void aStateServiceOutageIsNamedAsTheReason() throws Exception {
    state.down = true;
    Overview o =
        await("state outage", WITHIN_NS, x -> x.obstacle().equals(PendingCause.STATE_AWAY.name()));
    assertEquals(PendingCause.STATE_AWAY.name(), reason(o, "job-000003"));
    assertTrue(o.first().get(0).contains("state service"), o.first().toString());
    state.down = false;
    await("service again", 20_000_000_000L, x -> x.obstacle().isEmpty());
  }

  @Test
  void aTakeoverIsNamedWithItsTerm() throws Exception {
    state.endLeases();
    Overview o =
        await("takeover", WITHIN_NS, x -> x.obstacle().equals(PendingCause.TAKING_OVER.name()));
    assertTrue(
        o.first().get(0).contains("takes over in term " + (1 + FencingTokens.TOKENS_PER_TERM)),
        o.first().toString());
    o = await("its end", 20_000_000_000L, x -> x.obstacle().isEmpty());
    assertEquals(13, o.picture().totals().running());
    assertEquals(PendingCause.TEAM_LIMIT.name(), reason(o, "job-000003"));
  }

  @Test
  void aNodeServesAlthoughItsConsoleCannotListen() throws Exception {
    Endpoint taken = Endpoint.of(nodes.get("n0").consoleAddress());
    OperatorSettings d = OperatorSettings.defaults();
    ConsoleSettings c = new ConsoleSettings(taken, 1_000, 100, 10);
    Node n = new Node(new ClusterConfig(clusterConfig.node(3, 3), d.with(c)));
    try {
      n.start();
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + n.address() + "/metrics")).build(),
              HttpResponse.BodyHandlers.ofString());
      assertEquals(200, r.statusCode());
    } finally {
      n.stop();
    }
  }

  /**
   * A client that asks for jobs as fast as it can costs the loop a few answers a second at most.
   */
  @Test
  void jobRequestsAreRateLimited() throws Exception {
    String at = "http://" + nodes.get(state.leader()).consoleAddress() + "/console/v1/";
    Map<Integer, Integer> answers = new LinkedHashMap<>();
    long began = System.nanoTime();
    for (int i = 0; i < 60; i++) {
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create(at + "jobs/job-000001")).build(),
              HttpResponse.BodyHandlers.ofString());
      answers.merge(r.statusCode(), 1, Integer::sum);
      assertEquals(r.statusCode() == 429, r.headers().firstValue("Retry-After").isPresent());
    }
    double seconds = (System.nanoTime() - began) / 1e9;
    assertTrue(answers.getOrDefault(429, 0) > 0, answers.toString());
    assertTrue(answers.getOrDefault(200, 0) <= 10 + 5 * seconds + 1, answers + " in " + seconds);
    assertTrue(asker.look().nodes().stream().allMatch(n -> n.standing().fine()));
  }

  @Test
  void unknownPathsAndMethodsAreRefused() throws Exception {
    String at = "http://" + nodes.get("n0").consoleAddress() + "/console/v1/";
    Object[][] table = {
      {"GET", "picture", 200},
      {"GET", "history", 200},
      {"GET", "jobs/job-999", 404},
      {"GET", "jobs/../../x", 404},
      {"GET", "else", 404},
      {"POST", "picture", 405},
      {"DELETE", "jobs/job-000001", 405},
    };
    for (Object[] row : table) {
      HttpResponse<String> r =
          http.send(
              HttpRequest.newBuilder(URI.create(at + row[1]))
                  .method((String) row[0], HttpRequest.BodyPublishers.noBody())
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      assertEquals(row[2], r.statusCode(), row[0] + " " + row[1]);
    }
  }
}
