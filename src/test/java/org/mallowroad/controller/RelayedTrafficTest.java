package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.config.Settings.TeamSetting;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.fake.FakeCloud;
import org.mallowroad.fake.FakeStateService;

/** Ways round cuts over real sockets: two nodes, each cut off from something else. */
final class RelayedTrafficTest {
  private static final LinkPolicy QUICK = new LinkPolicy(200, 1_500, 100, 500, 2_000, 1_000);

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<String> listen = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private FakeStateService state;
  private FakeCloud cloud;

  @AfterEach
  void stop() {
    nodes.forEach(Node::stop);
    cloud.close();
    state.close();
  }

  /** Two nodes; the state service of node {@code cut} refuses it, as a closed port does. */
  private void start(int cut) throws IOException {
    state = new FakeStateService();
    cloud = new FakeCloud(listen);
    int[] ports = new int[2];
    try (ServerSocket a = new ServerSocket(0);
        ServerSocket b = new ServerSocket(0)) {
      ports[0] = a.getLocalPort();
      ports[1] = b.getLocalPort();
    }
    for (int i = 0; i < 2; i++) {
      Endpoint to = new Endpoint("127.0.0.1", i == cut ? 1 : state.port());
      Node n =
          new Node(
              new ClusterConfig(settings(i, ports, to), OperatorSettings.defaults().with(QUICK)));
      n.start();
      nodes.add(n);
      listen.add(n.address());
    }
  }

  private Settings settings(int i, int[] ports, Endpoint to) {
    Endpoint peer = new Endpoint("127.0.0.1", ports[1 - i]);
    return new Settings(
        "n" + i,
        "a",
        new Endpoint("127.0.0.1", 0),
        new Endpoint("127.0.0.1", ports[i]),
        List.of(new Member("n" + (1 - i), "b", peer)),
        new Endpoint("127.0.0.1", cloud.port()),
        to,
        List.of("a", "b"),
        List.of(new TeamSetting("t", 8, 0, 16, 0)),
        List.of(),
        0.3,
        5,
        12,
        1_000,
        1_000,
        8,
        16,
        100,
        0,
        1_000,
        64,
        2);
  }

  private HttpResponse<String> send(int node, String method, String path, String body) {
    try {
      return http.send(
          HttpRequest.newBuilder(URI.create("http://" + listen.get(node) + path))
              .method(method, HttpRequest.BodyPublishers.ofString(body))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean says(int node, String method, String path, String body, String text) {
    HttpResponse<String> r = send(node, method, path, body);
    return r != null && r.statusCode() < 300 && r.body().contains(text);
  }

  private static void await(String what, BooleanSupplier until) throws InterruptedException {
    long end = System.nanoTime() + 40_000_000_000L;
    while (!until.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "no " + what + " in time");
      Thread.sleep(50);
    }
  }

  private static final String JOB =
      """
      {"name_id":"job-000001","docket":"c","crew":"t","form":"sweep","rank":"normal","moves":4,
       "cpus":1.0,"cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,
       "scatter":false,"driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
      """;

  @Test
  void aNodeWithoutTheStateServiceServesUsersThroughItsPeer() throws Exception {
    start(1);
    await("a leader", () -> "n0".equals(state.leader()));
    await("a submission", () -> says(1, "POST", "/v1/jobs", JOB, "queued"));
    await("an end", () -> says(1, "GET", "/v1/jobs/job-000001", "", "\"done\""));
    await("a detour", () -> says(1, "GET", "/metrics", "", "mallowroad_links_state_via 0.0"));
    assertEquals(200, send(1, "GET", "/healthz", "").statusCode());
  }

  @Test
  void workersThatDoNotReachTheLeaderAreCarriedAndItKeepsItsOffice() throws Exception {
    start(-1);
    await("a leader", () -> state.leader() != null);
    int leader = "n0".equals(state.leader()) ? 0 : 1;
    long term = state.term();
    cloud.cutFrom = leader;
    cloud.taskMs = 1_500;
    await("a submission", () -> says(leader, "POST", "/v1/jobs", JOB, "queued"));
    await("an end", () -> says(leader, "GET", "/v1/jobs/job-000001", "", "\"done\""));
    assertEquals(term, state.term());
    assertEquals(0, cloud.ranTwice());
    await(
        "a count of what was carried",
        () -> {
          HttpResponse<String> r = send(1 - leader, "GET", "/metrics", "");
          return r != null && r.body().matches("(?s).*mallowroad_reports_carried [1-9].*");
        });
  }
}
