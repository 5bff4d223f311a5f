package org.mallowroad.cli;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.ClusterConfig;
import org.mallowroad.controller.Node;
import org.mallowroad.fake.FakeCloud;
import org.mallowroad.fake.FakeStateService;
import picocli.CommandLine.Command;

/**
 * Plays a short day with two nodes on loopback, so that the build can record the classes that a
 * start, a first takeover and a leader's work load (see deploy/service.toml). On a fraction of a
 * core, loading them from the archive saves a good part of a restart and of a takeover.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Plays a short day on loopback, to record an archive of its classes.")
final class Rehearse implements Callable<Integer> {
  private static final long MOST_MS = 20_000;
  private static final long PAUSE_MS = 100;

  @Override
  public Integer call() throws IOException, InvalidSettingsException, InterruptedException {
    if (!play()) {
      // The service runs without these classes in the archive too, only starts slower.
      System.err.println("mallowroad: the rehearsal did not come to its end");
    }
    return 0;
  }

  /** True when all came to its end: jobs done and cancelled, and a second node took over. */
  static boolean play() throws IOException, InvalidSettingsException, InterruptedException {
    long until = System.nanoTime() + MOST_MS * 1_000_000;
    List<String> at = new CopyOnWriteArrayList<>();
    FakeCloud.MachineType type = new FakeCloud.MachineType("t", 64, 64, 1, 1, List.of("a"));
    try (FakeStateService state = new FakeStateService();
        FakeCloud cloud = new FakeCloud(at, List.of(type))) {
      String outside = "127.0.0.1:" + state.port();
      Node first = node("first", "second", "127.0.0.1:" + cloud.port(), outside, outside);
      first.start();
      Node second =
          node("second", "first", "127.0.0.1:" + cloud.port(), outside, first.peerAddress());
      second.start();
      try {
        at.add(first.address());
        at.add(second.address());
        cloud.taskMs = 0;
        cloud.keepsTasksRunning = true;
        boolean going = false;
        while (!going && System.nanoTime() < until) {
          ask("GET", at.get(0), "/healthz", "");
          ask("POST", at.get(0), "/v1/jobs", job("job-1", "normal"));
          ask("POST", at.get(1), "/v1/jobs", job("job-2", "urgent"));
          Thread.sleep(PAUSE_MS);
          going = is(at.get(0), "job-1", "running") && is(at.get(1), "job-2", "running");
        }
        // Each takes over while tasks run, and the second tells the first (peers speak Avro).
        Set<String> led = new HashSet<>();
        while (led.size() < 2 && System.nanoTime() < until) {
          String leader = state.leaderName();
          if (leader != null) {
            led.add(leader);
            state.expireAllLeases();
          }
          Thread.sleep(5 * PAUSE_MS);
        }
        ask("POST", at.get(0), "/v1/jobs/job-2/withdraw", "{}");
        cloud.keepsTasksRunning = false;
        boolean done = false;
        while (!done && System.nanoTime() < until) {
          Thread.sleep(PAUSE_MS);
          done = is(at.get(0), "job-1", "done") && is(at.get(1), "job-2", "withdrawn");
        }
        ask("GET", at.get(1), "/metrics", "");
        return done && led.size() == 2;
      } finally {
        second.stop();
        first.stop();
      }
    }
  }

  /** Sends a request; the answer's body, empty when it was refused. */
  private static String ask(String method, String node, String path, String body)
      throws IOException {
    HttpURLConnection c =
        (HttpURLConnection) URI.create("http://" + node + path).toURL().openConnection();
    c.setRequestMethod(method);
    c.setConnectTimeout(2_000);
    c.setReadTimeout(2_000);
    if (method.equals("POST")) {
      c.setDoOutput(true);
      c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    if (c.getResponseCode() >= 400) {
      return "";
    }
    try (var in = c.getInputStream()) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static boolean is(String at, String job, String state) throws IOException {
    return ask("GET", at, "/v1/jobs/" + job, "").contains(":\"" + state + "\"");
  }

  private static String job(String id, String priority) {
    return """
        {"name_id":"%s","docket":"c","crew":"t","form":"sweep","rank":"%s","moves":8,"cpus":6.0,
         "cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,"scatter":false,
         "driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
        """
        .formatted(id, priority);
  }

  private static Node node(String name, String other, String cloud, String state, String peer)
      throws IOException, InvalidSettingsException {
    Path file = Files.createTempFile("rehearse", ".toml");
    Path operator = Files.createTempFile("rehearse", ".xml");
    try {
      Files.writeString(operator, "<mallowroad><links row-s=\"0.5\"/></mallowroad>");
      Files.writeString(
          file,
          """
          node_name = "%1$s"
          site = "a"
          listen = "127.0.0.1:0"
          peer_listen = "127.0.0.1:0"
          [[members]]
          node_name = "%5$s"
          site = "a"
          endpoint = "%3$s"
          [outside]
          cloud = "%2$s"
          state = "%4$s"
          [params]
          zones = ["a"]
          [[params.teams]]
          name = "t"
          cpus = 1000.0
          cpus_max = 1000.0
          [[params.objectives]]
          kind = "guarantee"
          within_s = 10.0
          [params.workers]
          report_s = 0.5
          lease_s = 26.0
          cancel_s = 51.0
          [params.state]
          rps = 1000.0
          write_rps = 300.0
          value_kb = 8.0
          txn_ops = 16
          [params.cloud]
          rps = 100.0
          """
              .formatted(name, cloud, peer, state, other));
      return new Node(
          new ClusterConfig(
              Settings.load(file.toString()), OperatorSettings.load(operator.toString())));
    } finally {
      Files.delete(operator);
      Files.delete(file);
    }
  }
}
