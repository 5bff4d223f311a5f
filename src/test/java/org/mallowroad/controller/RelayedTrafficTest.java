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

/**
 * Checks over real sockets that two nodes relay requests around broken links when one of them is
 * cut off from the state service or from the workers.
 */
final class RelayedTrafficTest {
  private static final LinkPolicy FAST_LINK_POLICY =
      new LinkPolicy(200, 1_500, 100, 500, 2_000, 1_000);

  private static final String JOB = LoopbackClient.submission("job-000001", 4, 1);

  private final LoopbackClient client = new LoopbackClient();
  private final List<String> addresses = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private FakeStateService state;
  private FakeCloud cloud;

  @AfterEach
  void stop() {
    nodes.forEach(Node::stop);
    cloud.close();
    state.close();
  }

  /**
   * Starts two nodes. Node {@code disconnectedNode} gets a closed port as the address of the state
   * service; with -1 both nodes can reach it.
   */
  private void start(int disconnectedNode) throws IOException {
    state = new FakeStateService();
    cloud = new FakeCloud(addresses);
    int[] ports = new int[2];
    try (ServerSocket first = new ServerSocket(0);
        ServerSocket second = new ServerSocket(0)) {
      ports[0] = first.getLocalPort();
      ports[1] = second.getLocalPort();
    }
    for (int i = 0; i < 2; i++) {
      Endpoint stateEndpoint = new Endpoint("127.0.0.1", i == disconnectedNode ? 1 : state.port());
      Node node =
          new Node(
              new ClusterConfig(
                  settings(i, ports, stateEndpoint),
                  OperatorSettings.defaults().with(FAST_LINK_POLICY)));
      node.start();
      nodes.add(node);
      addresses.add(node.address());
    }
  }

  private Settings settings(int nodeIndex, int[] ports, Endpoint stateEndpoint) {
    Endpoint peer = new Endpoint("127.0.0.1", ports[1 - nodeIndex]);
    return new Settings(
        "n" + nodeIndex,
        "a",
        new Endpoint("127.0.0.1", 0),
        new Endpoint("127.0.0.1", ports[nodeIndex]),
        List.of(new Member("n" + (1 - nodeIndex), "b", peer)),
        new Endpoint("127.0.0.1", cloud.port()),
        stateEndpoint,
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
    return client.send(addresses.get(node), method, path, body);
  }

  private boolean respondsWith(int node, String method, String path, String body, String text) {
    HttpResponse<String> response = send(node, method, path, body);
    return response != null && response.statusCode() < 300 && response.body().contains(text);
  }

  @Test
  void aNodeCutOffFromTheStateServiceServesUsersThroughItsPeer() throws Exception {
    start(1);
    await("a leader", () -> "n0".equals(state.leaderName()));
    await("acceptance of the job", () -> respondsWith(1, "POST", "/v1/jobs", JOB, "queued"));
    await(
        "completion of the job",
        () -> respondsWith(1, "GET", "/v1/jobs/job-000001", "", "\"done\""));
    await(
        "a relayed call to the state service",
        () -> respondsWith(1, "GET", "/metrics", "", "mallowroad_links_state_via 0.0"));
    assertEquals(200, send(1, "GET", "/healthz", "").statusCode());
  }

  @Test
  void heartbeatsAreRelayedToALeaderThatWorkersCannotReachAndItsTermContinues() throws Exception {
    start(-1);
    await("a leader", () -> state.leaderName() != null);
    int leader = "n0".equals(state.leaderName()) ? 0 : 1;
    long term = state.highestTerm();
    cloud.unreachableController = leader;
    cloud.taskMs = 1_500;
    await("acceptance of the job", () -> respondsWith(leader, "POST", "/v1/jobs", JOB, "queued"));
    await(
        "completion of the job",
        () -> respondsWith(leader, "GET", "/v1/jobs/job-000001", "", "\"done\""));
    assertEquals(term, state.highestTerm());
    assertEquals(0, cloud.duplicateTaskStarts());
    await(
        "a count of relayed heartbeats",
        () -> {
          HttpResponse<String> response = send(1 - leader, "GET", "/metrics", "");
          return response != null
              && response.body().matches("(?s).*mallowroad_reports_carried [1-9].*");
        });
  }
}
