package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mallowroad.controller.LoopbackClient.await;
import static org.mallowroad.controller.LoopbackClient.submission;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.console.ask.ClusterQuery;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.fake.FakeCloud;
import org.mallowroad.fake.FakeStateService;

/**
 * Tests the whole service over loopback sockets, with fakes of the state service, the cloud and the
 * workers.
 */
final class ServiceTest {
  @TempDir Path directory;
  private final LoopbackClient client = new LoopbackClient();
  private FakeStateService state;
  private FakeCloud cloud;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, String> addresses = new LinkedHashMap<>();

  @BeforeEach
  void start() throws Exception {
    state = new FakeStateService();
    List<String> listen = new ArrayList<>();
    cloud = new FakeCloud(listen);
    for (int i = 0; i < 3; i++) {
      String address = startNode(i, "127.0.0.1:0");
      // Each node listens on a port that the system assigns, because a port that is chosen in
      // advance may be taken before the node listens on it.
      listen.add(address);
    }
    await(
        "a leader and machine types",
        () -> state.leaderName() != null && status("GET", "/healthz", "") == 200);
  }

  /** Starts a node that listens on the given address; returns the actual address. */
  private String startNode(int index, String listen) throws Exception {
    Path file = directory.resolve("n" + index + ".toml");
    Files.writeString(
        file,
        """
        node_name = "n%d"
        site = "a"
        listen = "%s"
        peer_listen = "127.0.0.1:0"
        [[members]]
        node_name = "elsewhere"
        site = "b"
        endpoint = "127.0.0.1:1"
        [outside]
        cloud = "127.0.0.1:%d"
        state = "127.0.0.1:%d"
        [params]
        zones = ["a", "b"]
        [[params.teams]]
        name = "t"
        cpus = 8.0
        cpus_max = 16.0
        [params.workers]
        report_s = 0.3
        lease_s = 5.0
        cancel_s = 12.0
        [params.state]
        rps = 1000.0
        write_rps = 1000.0
        value_kb = 8.0
        txn_ops = 16
        [params.cloud]
        rps = 100.0
        [params.resources]
        ram_mb = 32.0
        """
            .formatted(index, listen, cloud.port(), state.port()));
    Node node =
        new Node(new ClusterConfig(Settings.load(file.toString()), OperatorSettings.defaults()));
    node.start();
    nodes.put("n" + index, node);
    addresses.put("n" + index, node.address());
    return node.address();
  }

  @AfterEach
  void stop() {
    nodes.values().forEach(Node::stop);
    cloud.close();
    state.close();
  }

  private HttpResponse<String> send(String method, String path, String body) {
    String address = addresses.values().iterator().next();
    return client.send(address, method, path, body);
  }

  private int status(String method, String path, String body) {
    HttpResponse<String> response = send(method, path, body);
    return response == null ? 0 : response.statusCode();
  }

  private boolean hasStanding(String id, String standing) {
    HttpResponse<String> response = send("GET", "/v1/jobs/" + id, "");
    return response != null && response.body().contains("\"standing\":\"" + standing + "\"");
  }

  @Test
  void anAcceptedJobCompletesAndItsEndIsRecorded() throws Exception {
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    assertEquals(200, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertTrue(state.hasKey("end/job-000001"));
    assertEquals(200, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    assertTrue(send("POST", "/v1/jobs/job-000001/withdraw", "").body().contains("\"done\""));
    await("run records deleted", () -> !state.hasKey("run/job-000001/0"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  @Test
  void jobsSurviveAKilledLeaderAndLostResponses() throws Exception {
    state.lostResponseInterval = 5;
    cloud.taskMs = 1500;
    // A lost response may delay the last acceptance beyond the run time of the other tasks.
    cloud.keepsTasksRunning = true;
    for (int i = 1; i <= 4; i++) {
      String submission = submission("job-00000" + i, 5, 1);
      await("acceptance", () -> status("POST", "/v1/jobs", submission) / 100 == 2);
    }
    await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
    String leader = state.leaderName();
    assertNotNull(leader);
    nodes.remove(leader).stop();
    addresses.remove(leader);
    cloud.keepsTasksRunning = false;
    await("another leader", () -> state.leaderName() != null && !state.leaderName().equals(leader));
    for (int i = 1; i <= 4; i++) {
      String id = "job-00000" + i;
      await("end of " + id, () -> hasStanding(id, "done"));
    }
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  /**
   * Guards against a restarted leader that has to wait until its own old lease expires. The leader
   * is restarted three times on the same port, a fraction of a second after it stopped and while
   * old connections are still open.
   */
  @Test
  void aRestartedLeaderIsReplacedWithoutWaitingForItsLease() throws Exception {
    cloud.taskMs = 700;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 40, 1)));
    for (int restart = 0; restart < 3; restart++) {
      await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
      String firstLeader = state.leaderName();
      long term = state.highestTerm();
      String address = addresses.get(firstLeader);
      nodes.remove(firstLeader).stop();
      long startNanos = System.nanoTime();
      assertEquals(address, startNode(Integer.parseInt(firstLeader.substring(1)), address));
      await("another term", () -> state.highestTerm() > term && state.leaderName() != null);
      // The old lease would have lasted up to 3 s.
      long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
      assertTrue(elapsedMs < 2_000, "waited " + elapsedMs + " ms for the lease");
    }
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  /**
   * Builds a submission of a job that folds the games of league {@code l} from number {@code
   * firstGame} on.
   */
  private static String ratingSubmission(String id, int tasks, int firstGame, int games) {
    StringBuilder folds = new StringBuilder();
    for (int game = firstGame; game < firstGame + games; game++) {
      folds.append(folds.length() > 0 ? "," : "");
      folds.append("{\"league\":\"l\",\"game\":" + game + ",\"revision\":1,\"members\":[\"m\"]}");
    }
    return submission(id, tasks, 1).replace("\"stow_s\"", "\"folds\":[" + folds + "],\"stow_s\"");
  }

  private void restartLeader() throws Exception {
    String leader = state.leaderName();
    if (leader != null && nodes.containsKey(leader)) {
      String address = addresses.get(leader);
      nodes.remove(leader).stop();
      startNode(Integer.parseInt(leader.substring(1)), address);
    }
  }

  /**
   * Guards against games that are folded twice or too late for dependent jobs. The leader is
   * restarted repeatedly while rating jobs are accepted, one of which is too large for a single
   * transaction.
   */
  @Test
  void eachGameIsFoldedOnceAndDependentJobsStartAfterwards() throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String id = "job-00000" + i;
      ids.add(id);
      String body =
          i == 5 ? ratingSubmission(id, 2, 1_000, 600) : ratingSubmission(id, 2, 30 * i, 30);
      if (i % 2 == 1) {
        restartLeader();
      }
      await("acceptance of " + id, () -> status("POST", "/v1/jobs", body) / 100 == 2);
      if (i == 0) {
        String dependentJob =
            submission("job-000009", 1, 1)
                .replace(
                    "\"stow_s\"",
                    "\"holds\":{\"jobs\":[\"job-000003\",\"job-000005\"],"
                        + "\"games\":[{\"league\":\"l\",\"up_to\":149}]},\"stow_s\"");
        await(
            "acceptance of the dependent job",
            () -> status("POST", "/v1/jobs", dependentJob) / 100 == 2);
      }
    }
    await(
        "completion of the dependent job",
        () -> {
          boolean all = ids.stream().allMatch(id -> state.hasKey("end/" + id));
          assertTrue(
              all || !state.hasKey("run/job-000009/0"),
              "the dependent job started before all games were folded");
          return hasStanding("job-000009", "done");
        });
    for (String id : ids) {
      await("end of " + id, () -> hasStanding(id, "done"));
    }
    // Another job must not fold the games again, and a repeated submission of the same job is still
    // recognised.
    HttpResponse<String> response =
        send("POST", "/v1/jobs", ratingSubmission("job-000010", 1, 7, 1));
    assertEquals(422, response.statusCode());
    assertTrue(
        response.body().contains("game 7 of l for m is folded by job-000000"), response.body());
    assertEquals(200, status("POST", "/v1/jobs", ratingSubmission("job-000000", 1, 7, 1)));
    try (ClusterQuery clusterQuery = new ClusterQuery(List.of(), "127.0.0.1:" + state.port())) {
      assertEquals(
          List.of("m: revision 1 folded by job-000000"), clusterQuery.describeGame("l", 7));
      assertTrue(clusterQuery.describeGame("l", 700).get(0).startsWith("nobody has claimed it"));
    }
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  @Test
  void jobsSurviveADeposedLeaderAndTheTermIncreases() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
    long term = state.highestTerm();
    state.expireAllLeases();
    await("a higher term", () -> state.highestTerm() > term && state.leaderName() != null);
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  @Test
  void aLeaderWithoutHeartbeatsResigns() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
    String firstLeader = state.leaderName();
    cloud.unreachableController = Integer.parseInt(firstLeader.substring(1));
    await(
        "another leader",
        () -> state.leaderName() != null && !state.leaderName().equals(firstLeader));
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  @Test
  void aPausedLeaderIsReplacedAndDoesNothingWhenItResumes() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 12, 1)));
    await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
    String firstLeader = state.leaderName();
    long term = state.highestTerm();
    // Simulates a frozen host: the clocks continue, and messages that arrive meanwhile wait in the
    // sockets.
    CountDownLatch resumed = new CountDownLatch(1);
    nodes.get(firstLeader).loop().submit(() -> pause(6_000, resumed));
    addresses.remove(firstLeader);
    await("another leader", () -> state.highestTerm() > term && state.leaderName() != null);
    assertTrue(resumed.getCount() == 1, "the paused leader must be replaced before it resumes");
    assertTrue(resumed.await(20, TimeUnit.SECONDS));
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
    assertTrue(
        state.highestTerm() == term + FencingTokens.TOKENS_PER_TERM,
        "the paused leader must not have campaigned");
  }

  @Test
  void nodesThatPauseDuringAnElectionStillElectOneLeader() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 8, 1)));
    await("running tasks", () -> !cloud.machineByRunningTask.isEmpty());
    long term = state.highestTerm();
    CountDownLatch resumed = new CountDownLatch(nodes.size());
    state.expireAllLeases();
    // By then some nodes have requested a lease or sent their election, and they read the result
    // too late.
    Thread.sleep(30);
    nodes.values().forEach(n -> n.loop().submit(() -> pause(4_000, resumed)));
    assertTrue(resumed.await(20, TimeUnit.SECONDS));
    await("a higher term", () -> state.highestTerm() > term && state.leaderName() != null);
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  private static void pause(long ms, CountDownLatch resumed) {
    try {
      Thread.sleep(ms); // Not parkNanos, which returns at once if a permit is left over.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
    resumed.countDown();
  }

  @Test
  void serviceRecoversFromMalformedResponses() throws Exception {
    state.sendsMalformedResponses = true;
    cloud.sendsMalformedResponses = true;
    assertEquals(503, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
    Thread.sleep(1_500);
    state.sendsMalformedResponses = false;
    cloud.sendsMalformedResponses = false;
    await(
        "acceptance", () -> status("POST", "/v1/jobs", submission("job-000001", 2, 1)) / 100 == 2);
    await("end of the job", () -> hasStanding("job-000001", "done"));
    assertEquals(0, cloud.duplicateTaskStarts());
  }

  @Test
  void aJobIsEitherCancelledOrDone() throws Exception {
    cloud.taskMs = 200;
    for (int i = 1; i <= 6; i++) {
      String id = "job-00000" + i;
      assertEquals(201, status("POST", "/v1/jobs", submission(id, 1, 1)));
      int jobNumber = i;
      // Some jobs are cancelled before they start, some at about the time they end, some
      // afterwards.
      await(
          "the moment to cancel the job",
          () ->
              jobNumber < 3
                  || cloud.machineByRunningTask.containsKey(id + "/0")
                  || hasStanding(id, "done"));
      Thread.sleep(60L * i);
      String response = send("POST", "/v1/jobs/" + id + "/withdraw", "").body();
      String standing = response.contains("done") ? "done" : "withdrawn";
      assertTrue(hasStanding(id, standing), response);
      Thread.sleep(300);
      assertTrue(hasStanding(id, standing), response);
      assertTrue(send("POST", "/v1/jobs/" + id + "/withdraw", "").body().contains(standing));
    }
  }

  @Test
  void aCancelledJobIsStoppedEverywhereAndStaysCancelled() throws Exception {
    cloud.taskMs = 60_000;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
    await("running tasks", () -> cloud.machineByRunningTask.size() == 2);
    assertTrue(send("POST", "/v1/jobs/job-000001/withdraw", "").body().contains("\"withdrawn\""));
    await("tasks gone", () -> cloud.machineByRunningTask.isEmpty());
    assertTrue(hasStanding("job-000001", "withdrawn"));
    await("run records deleted", () -> !state.hasKey("run/job-000001/0"));
  }

  @Test
  void invalidRequestsAreRefusedAtOnce() throws Exception {
    String validSubmission = submission("job-000009", 2, 1);
    Object[][] cases = {
      {"POST", "/v1/jobs", "", 400},
      {"POST", "/v1/jobs", "[1]", 400},
      {"POST", "/v1/jobs", validSubmission.replace("\"moves\":2", "\"moves\":-2"), 400},
      {"POST", "/v1/jobs", validSubmission.replace("\"t\"", "\"nobody\""), 422},
      {"POST", "/v1/jobs", validSubmission.replace("\"cpus\":1.0", "\"cpus\":5.0"), 422},
      {"POST", "/v1/jobs", "x".repeat(70_000), 413},
      {"GET", "/v1/jobs/job-000009", "", 404},
      {"GET", "/v1/jobs/what", "", 404},
      {"POST", "/v1/jobs/job-000009/withdraw", "", 404},
      {"GET", "/v1/elsewhere", "", 404},
      {"DELETE", "/v1/jobs", "", 405},
      {"POST", "/v1/report", "{}", 400},
      {"GET", "/metrics", "", 200},
    };
    for (Object[] testCase : cases) {
      assertEquals(
          testCase[3],
          status((String) testCase[0], (String) testCase[1], (String) testCase[2]),
          testCase[0] + " " + testCase[1]);
    }
    state.isUnavailable = true;
    HttpResponse<String> response = send("POST", "/v1/jobs", validSubmission);
    assertEquals(503, response.statusCode());
    assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
    state.isUnavailable = false;
    await("acceptance after the outage", () -> status("POST", "/v1/jobs", validSubmission) == 201);
  }

  /**
   * Guards against slow request bodies that exhaust the memory: slow bodies occupy as many sockets
   * as the limits allow, and small requests must still be answered.
   */
  @Test
  void slowRequestBodiesShareOneMemoryLimit() throws Exception {
    String[] hostAndPort = addresses.values().iterator().next().split(":");
    List<Socket> slowSockets = new ArrayList<>();
    int refused = 0;
    try {
      for (int i = 0; i < 120; i++) {
        Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        slowSockets.add(socket);
        socket.setSoTimeout(2_000);
        String path = i % 2 == 0 ? "/v1/jobs" : "/v1/jobs/job-000001";
        beginBody(socket, path, 65536);
      }
      // With 32 MB of memory, bodies are limited to 2 MB in total: 32 bodies of 64 KiB are read,
      // the other 28 are rejected at once with Retry-After.
      await("buffered bodies", () -> metric("mallowroad_bodies_bytes") == 32 * 65536);
      for (int i = 64; i < 120; i += 2) {
        byte[] answer = new byte[400];
        String text =
            new String(
                answer,
                0,
                slowSockets.get(i).getInputStream().read(answer),
                StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After: 1"), text);
        refused++;
      }
      assertEquals(28, refused);
      assertEquals(503, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
      // Heartbeats and read requests are not delayed by the bodies of user requests.
      assertEquals(400, status("POST", "/v1/report", "{}"));
      assertEquals(404, status("GET", "/v1/jobs/job-000001", ""));
      assertEquals(200, status("GET", "/healthz", ""));
    } finally {
      for (Socket socket : slowSockets) {
        socket.close();
      }
    }
    await("release of the buffered bodies", () -> metric("mallowroad_bodies_bytes") == 0);
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      // A body that never completes is dropped, and its memory is released.
      socket.setSoTimeout(20_000);
      beginBody(socket, "/v1/jobs", 9);
      await("a buffered body", () -> metric("mallowroad_bodies_bytes") == 9);
      assertEquals(-1, socket.getInputStream().read());
      assertEquals(0, metric("mallowroad_bodies_bytes"));
    }
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
  }

  /** Sends a request's head and the first byte of its body. */
  private static void beginBody(Socket socket, String path, int length) throws IOException {
    String head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + length;
    socket.getOutputStream().write((head + "\r\n\r\n{").getBytes(StandardCharsets.US_ASCII));
  }

  private double metric(String name) {
    return send("GET", "/metrics", "")
        .body()
        .lines()
        .filter(l -> l.startsWith(name + " "))
        .mapToDouble(l -> Double.parseDouble(l.substring(name.length() + 1)))
        .findFirst()
        .orElse(-1);
  }
}
