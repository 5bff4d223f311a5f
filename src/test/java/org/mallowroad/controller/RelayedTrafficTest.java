package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.mallowroad.controller.LoopbackClient.await;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
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

/** Relaying round broken links over real sockets: two nodes, each cut off from something else. */
final class RelayedTrafficTest {
  private static final LinkPolicy QUICK = new LinkPolicy(200, 1_500, 100, 500, 2_000, 1_000);

  private static final String JOB = LoopbackClient.submission("job-000001", 4, 1);

  private final LoopbackClient client = new LoopbackClient();
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
    return client.send(listen.get(node), method, path, body);
  }

  private boolean says(int node, String method, String path, String body, String text) {
    HttpResponse<String> r = send(node, method, path, body);
    return r != null && r.statusCode() < 300 && r.body().contains(text);
  }

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
  void heartbeatsAreRelayedToALeaderThatWorkersDoNotReachAndItsTermLasts() throws Exception {
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
