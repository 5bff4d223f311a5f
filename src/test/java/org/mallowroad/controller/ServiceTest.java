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

/** The whole service over loopback sockets, with stand-ins for state, cloud and workers. */
final class ServiceTest {
  @TempDir Path dir;
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
      // Any port that is free when the node listens: one that is picked before may be lost again.
      listen.add(address);
    }
    await(
        "a leader and machine types",
        () -> state.leader() != null && status("GET", "/healthz", "") == 200);
  }

  /** Starts a node that listens there; returns the address at which it does. */
  private String startNode(int i, String listen) throws Exception {
    Path f = dir.resolve("n" + i + ".toml");
    Files.writeString(
        f,
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
            .formatted(i, listen, cloud.port(), state.port()));
    Node n = new Node(new ClusterConfig(Settings.load(f.toString()), OperatorSettings.defaults()));
    n.start();
    nodes.put("n" + i, n);
    addresses.put("n" + i, n.address());
    return n.address();
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
    HttpResponse<String> r = send(method, path, body);
    return r == null ? 0 : r.statusCode();
  }

  private boolean is(String id, String standing) {
    HttpResponse<String> r = send("GET", "/v1/jobs/" + id, "");
    return r != null && r.body().contains("\"standing\":\"" + standing + "\"");
  }

  @Test
  void aJobGoesFromSubmissionToDoneAndItsEndIsKept() throws Exception {
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    assertEquals(200, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("end of the job", () -> is("job-000001", "done"));
    assertTrue(state.has("end/job-000001"));
    assertEquals(200, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    assertTrue(send("POST", "/v1/jobs/job-000001/withdraw", "").body().contains("\"done\""));
    await("run records deleted", () -> !state.has("run/job-000001/0"));
    assertEquals(0, cloud.ranTwice());
  }

  @Test
  void aKilledLeaderAndLostResponsesLoseNothing() throws Exception {
    state.loseEvery = 5;
    cloud.taskMs = 1500;
    for (int i = 1; i <= 4; i++) {
      String j = submission("job-00000" + i, 5, 1);
      await("acceptance", () -> status("POST", "/v1/jobs", j) / 100 == 2);
    }
    await("running tasks", () -> !cloud.running.isEmpty());
    String leader = state.leader();
    assertNotNull(leader);
    nodes.remove(leader).stop();
    addresses.remove(leader);
    await("another leader", () -> state.leader() != null && !state.leader().equals(leader));
    for (int i = 1; i <= 4; i++) {
      String id = "job-00000" + i;
      await("end of " + id, () -> is(id, "done"));
    }
    assertEquals(0, cloud.ranTwice());
  }

  /** The same port, a fraction of a second later, again and again, while connections linger. */
  @Test
  void aRestartedLeaderIsReplacedWithoutWaitingForItsLease() throws Exception {
    cloud.taskMs = 700;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 40, 1)));
    for (int again = 0; again < 3; again++) {
      await("running tasks", () -> !cloud.running.isEmpty());
      String first = state.leader();
      long term = state.term();
      String address = addresses.get(first);
      nodes.remove(first).stop();
      long from = System.nanoTime();
      assertEquals(address, startNode(Integer.parseInt(first.substring(1)), address));
      await("another term", () -> state.term() > term && state.leader() != null);
      // Its lease would have lasted up to 3 s.
      long ms = (System.nanoTime() - from) / 1_000_000;
      assertTrue(ms < 2_000, "waited " + ms + " ms for the lease");
    }
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
  }

  /** A submission of a job that folds games of league {@code l}, from one number on. */
  private static String ratingSubmission(String id, int tasks, int firstGame, int games) {
    StringBuilder folds = new StringBuilder();
    for (int g = firstGame; g < firstGame + games; g++) {
      folds.append(folds.length() > 0 ? "," : "");
      folds.append("{\"league\":\"l\",\"game\":" + g + ",\"revision\":1,\"members\":[\"m\"]}");
    }
    return submission(id, tasks, 1).replace("\"stow_s\"", "\"folds\":[" + folds + "],\"stow_s\"");
  }

  private void restartLeader() throws Exception {
    String leader = state.leader();
    if (leader != null && nodes.containsKey(leader)) {
      String address = addresses.get(leader);
      nodes.remove(leader).stop();
      startNode(Integer.parseInt(leader.substring(1)), address);
    }
  }

  /**
   * Leaders restart again and again while rating jobs are accepted, one too large for a
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
        String print =
            submission("job-000009", 1, 1)
                .replace(
                    "\"stow_s\"",
                    "\"holds\":{\"jobs\":[\"job-000003\",\"job-000005\"],"
                        + "\"games\":[{\"league\":\"l\",\"up_to\":149}]},\"stow_s\"");
        await("acceptance of the print", () -> status("POST", "/v1/jobs", print) / 100 == 2);
      }
    }
    await(
        "the print",
        () -> {
          boolean all = ids.stream().allMatch(id -> state.has("end/" + id));
          assertTrue(all || !state.has("run/job-000009/0"), "printed before all is folded");
          return is("job-000009", "done");
        });
    for (String id : ids) {
      await("end of " + id, () -> is(id, "done"));
    }
    // Another job may not fold them again; the same ones are known for ever.
    HttpResponse<String> r = send("POST", "/v1/jobs", ratingSubmission("job-000010", 1, 7, 1));
    assertEquals(422, r.statusCode());
    assertTrue(r.body().contains("game 7 of l for m is folded by job-000000"), r.body());
    assertEquals(200, status("POST", "/v1/jobs", ratingSubmission("job-000000", 1, 7, 1)));
    try (ClusterQuery asker = new ClusterQuery(List.of(), "127.0.0.1:" + state.port())) {
      assertEquals(List.of("m: revision 1 folded by job-000000"), asker.game("l", 7));
      assertTrue(asker.game("l", 700).get(0).startsWith("nobody has claimed it"));
    }
    assertEquals(0, cloud.ranTwice());
  }

  @Test
  void aDeposedLeaderLosesNothingAndTheTermRises() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("running tasks", () -> !cloud.running.isEmpty());
    long term = state.term();
    state.endLeases();
    await("a higher term", () -> state.term() > term && state.leader() != null);
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
  }

  @Test
  void aLeaderWithoutHeartbeatsResigns() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 6, 1)));
    await("running tasks", () -> !cloud.running.isEmpty());
    String first = state.leader();
    cloud.cutFrom = Integer.parseInt(first.substring(1));
    await("another leader", () -> state.leader() != null && !state.leader().equals(first));
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
  }

  @Test
  void aPausedLeaderIsReplacedAndDoesNothingWhenItResumes() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 12, 1)));
    await("running tasks", () -> !cloud.running.isEmpty());
    String first = state.leader();
    long term = state.term();
    // As a frozen host: the clocks run on, and what came meanwhile waits in the sockets.
    CountDownLatch over = new CountDownLatch(1);
    nodes.get(first).loop().soon(() -> pause(6_000, over));
    addresses.remove(first);
    await("another leader", () -> state.term() > term && state.leader() != null);
    assertTrue(over.getCount() == 1, "replaced before it went on");
    assertTrue(over.await(20, TimeUnit.SECONDS));
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
    assertTrue(
        state.term() == term + FencingTokens.TOKENS_PER_TERM,
        "the one that stood still did not campaign");
  }

  @Test
  void nodesThatPauseDuringAnElectionStillElectOneLeader() throws Exception {
    cloud.taskMs = 800;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 8, 1)));
    await("running tasks", () -> !cloud.running.isEmpty());
    long term = state.term();
    CountDownLatch over = new CountDownLatch(nodes.size());
    state.endLeases();
    // Some have asked for a lease or sent their election by then, and read of it too late.
    Thread.sleep(30);
    nodes.values().forEach(n -> n.loop().soon(() -> pause(4_000, over)));
    assertTrue(over.await(20, TimeUnit.SECONDS));
    await("a higher term", () -> state.term() > term && state.leader() != null);
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
  }

  private static void pause(long ms, CountDownLatch over) {
    try {
      Thread.sleep(ms); // Not parkNanos, which any left-over permit ends at once.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
    over.countDown();
  }

  @Test
  void malformedResponsesAreSurvived() throws Exception {
    state.garbled = true;
    cloud.garbled = true;
    assertEquals(503, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
    Thread.sleep(1_500);
    state.garbled = false;
    cloud.garbled = false;
    await(
        "acceptance", () -> status("POST", "/v1/jobs", submission("job-000001", 2, 1)) / 100 == 2);
    await("end of the job", () -> is("job-000001", "done"));
    assertEquals(0, cloud.ranTwice());
  }

  @Test
  void aJobIsEitherCancelledOrDone() throws Exception {
    cloud.taskMs = 200;
    for (int i = 1; i <= 6; i++) {
      String id = "job-00000" + i;
      assertEquals(201, status("POST", "/v1/jobs", submission(id, 1, 1)));
      int taken = i;
      // Some are cancelled before they start, some about when they end, some afterwards.
      await("a moment", () -> taken < 3 || cloud.running.containsKey(id + "/0") || is(id, "done"));
      Thread.sleep(60L * i);
      String told = send("POST", "/v1/jobs/" + id + "/withdraw", "").body();
      String end = told.contains("done") ? "done" : "withdrawn";
      assertTrue(is(id, end), told);
      Thread.sleep(300);
      assertTrue(is(id, end), told);
      assertTrue(send("POST", "/v1/jobs/" + id + "/withdraw", "").body().contains(end));
    }
  }

  @Test
  void aCancelledJobIsGoneEverywhereAndStaysCancelled() throws Exception {
    cloud.taskMs = 60_000;
    assertEquals(201, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
    await("running tasks", () -> cloud.running.size() == 2);
    assertTrue(send("POST", "/v1/jobs/job-000001/withdraw", "").body().contains("\"withdrawn\""));
    await("tasks gone", () -> cloud.running.isEmpty());
    assertTrue(is("job-000001", "withdrawn"));
    await("run records deleted", () -> !state.has("run/job-000001/0"));
  }

  @Test
  void invalidRequestsAreRefusedAtOnce() throws Exception {
    String good = submission("job-000009", 2, 1);
    Object[][] table = {
      {"POST", "/v1/jobs", "", 400},
      {"POST", "/v1/jobs", "[1]", 400},
      {"POST", "/v1/jobs", good.replace("\"moves\":2", "\"moves\":-2"), 400},
      {"POST", "/v1/jobs", good.replace("\"t\"", "\"nobody\""), 422},
      {"POST", "/v1/jobs", good.replace("\"cpus\":1.0", "\"cpus\":5.0"), 422},
      {"POST", "/v1/jobs", "x".repeat(70_000), 413},
      {"GET", "/v1/jobs/job-000009", "", 404},
      {"GET", "/v1/jobs/what", "", 404},
      {"POST", "/v1/jobs/job-000009/withdraw", "", 404},
      {"GET", "/v1/elsewhere", "", 404},
      {"DELETE", "/v1/jobs", "", 405},
      {"POST", "/v1/report", "{}", 400},
      {"GET", "/metrics", "", 200},
    };
    for (Object[] row : table) {
      assertEquals(
          row[3], status((String) row[0], (String) row[1], (String) row[2]), row[0] + " " + row[1]);
    }
    state.down = true;
    HttpResponse<String> r = send("POST", "/v1/jobs", good);
    assertEquals(503, r.statusCode());
    assertEquals("1", r.headers().firstValue("Retry-After").orElse(""));
    state.down = false;
    await("acceptance after the outage", () -> status("POST", "/v1/jobs", good) == 201);
  }

  /** Slow bodies on all sockets that the limits admit: small requests go on being answered. */
  @Test
  void slowRequestBodiesAreBoundedTogether() throws Exception {
    String[] at = addresses.values().iterator().next().split(":");
    List<Socket> slow = new ArrayList<>();
    int refused = 0;
    try {
      for (int i = 0; i < 120; i++) {
        Socket s = new Socket(at[0], Integer.parseInt(at[1]));
        slow.add(s);
        s.setSoTimeout(2_000);
        String path = i % 2 == 0 ? "/v1/jobs" : "/v1/jobs/job-000001";
        beginBody(s, path, 65536);
      }
      // 32 MB of memory bound the bodies to 2 MB: 32 of 64 KiB are read, the other 28 are told at
      // once to come back.
      await("bodies in hand", () -> metric("mallowroad_bodies_bytes") == 32 * 65536);
      for (int i = 64; i < 120; i += 2) {
        byte[] answer = new byte[400];
        String text =
            new String(
                answer, 0, slow.get(i).getInputStream().read(answer), StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After: 1"), text);
        refused++;
      }
      assertEquals(28, refused);
      assertEquals(503, status("POST", "/v1/jobs", submission("job-000001", 2, 1)));
      // Workers and those who only ask are not held up by users' bodies.
      assertEquals(400, status("POST", "/v1/report", "{}"));
      assertEquals(404, status("GET", "/v1/jobs/job-000001", ""));
      assertEquals(200, status("GET", "/healthz", ""));
    } finally {
      for (Socket s : slow) {
        s.close();
      }
    }
    await("room again", () -> metric("mallowroad_bodies_bytes") == 0);
    try (Socket s = new Socket(at[0], Integer.parseInt(at[1]))) {
      // One that never ends is given up, and its bytes with it.
      s.setSoTimeout(20_000);
      beginBody(s, "/v1/jobs", 9);
      await("a body in hand", () -> metric("mallowroad_bodies_bytes") == 9);
      assertEquals(-1, s.getInputStream().read());
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
