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
 * Runs a short workload with two nodes on loopback, so that the build can record the classes that a
 * start, a first takeover and a leader's work load, and put them into a class data sharing archive
 * (see deploy/service.toml). On a fraction of a CPU, loading classes from the archive saves a good
 * part of the time of a restart and of a takeover.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Plays a short day on loopback, to record an archive of its classes.")
final class Rehearse implements Callable<Integer> {
  private static final long TIMEOUT_MS = 20_000;
  private static final long POLL_INTERVAL_MS = 100;

  @Override
  public Integer call() throws IOException, InvalidSettingsException, InterruptedException {
    if (!play()) {
      // Not an error: without these classes in the archive the service only starts more slowly.
      System.err.println("mallowroad: the rehearsal did not complete in time");
    }
    return 0;
  }

  /**
   * Runs the workload and returns whether it completed in time: one job done, the other cancelled,
   * and both nodes have been leader.
   */
  static boolean play() throws IOException, InvalidSettingsException, InterruptedException {
    long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    List<String> controllers = new CopyOnWriteArrayList<>();
    FakeCloud.MachineType type = new FakeCloud.MachineType("t", 64, 64, 1, 1, List.of("a"));
    try (FakeStateService state = new FakeStateService();
        FakeCloud cloud = new FakeCloud(controllers, List.of(type))) {
      String stateAddress = "127.0.0.1:" + state.port();
      Node first =
          createNode("first", "second", "127.0.0.1:" + cloud.port(), stateAddress, stateAddress);
      first.start();
      Node second =
          createNode(
              "second", "first", "127.0.0.1:" + cloud.port(), stateAddress, first.peerAddress());
      second.start();
      try {
        controllers.add(first.address());
        controllers.add(second.address());
        cloud.taskMs = 0;
        cloud.keepsTasksRunning = true;
        boolean running = false;
        while (!running && System.nanoTime() < deadlineNs) {
          sendRequest("GET", controllers.get(0), "/healthz", "");
          sendRequest("POST", controllers.get(0), "/v1/jobs", jobJson("job-1", "normal"));
          sendRequest("POST", controllers.get(1), "/v1/jobs", jobJson("job-2", "urgent"));
          Thread.sleep(POLL_INTERVAL_MS);
          running =
              hasJobState(controllers.get(0), "job-1", "running")
                  && hasJobState(controllers.get(1), "job-2", "running");
        }
        // Each node takes over while tasks run, and the second leader notifies the first with a
        // peer
        // message, which loads the Avro classes.
        Set<String> leaders = new HashSet<>();
        while (leaders.size() < 2 && System.nanoTime() < deadlineNs) {
          String leader = state.leaderName();
          if (leader != null) {
            leaders.add(leader);
            state.expireAllLeases();
          }
          Thread.sleep(5 * POLL_INTERVAL_MS);
        }
        sendRequest("POST", controllers.get(0), "/v1/jobs/job-2/withdraw", "{}");
        cloud.keepsTasksRunning = false;
        boolean done = false;
        while (!done && System.nanoTime() < deadlineNs) {
          Thread.sleep(POLL_INTERVAL_MS);
          done =
              hasJobState(controllers.get(0), "job-1", "done")
                  && hasJobState(controllers.get(1), "job-2", "withdrawn");
        }
        sendRequest("GET", controllers.get(1), "/metrics", "");
        return done && leaders.size() == 2;
      } finally {
        second.stop();
        first.stop();
      }
    }
  }

  /** Sends a request and returns the response body, or an empty string on a 4xx or 5xx status. */
  private static String sendRequest(String method, String node, String path, String body)
      throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://" + node + path).toURL().openConnection();
    connection.setRequestMethod(method);
    connection.setConnectTimeout(2_000);
    connection.setReadTimeout(2_000);
    if (method.equals("POST")) {
      connection.setDoOutput(true);
      connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    if (connection.getResponseCode() >= 400) {
      return "";
    }
    try (var in = connection.getInputStream()) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static boolean hasJobState(String controller, String job, String state)
      throws IOException {
    return sendRequest("GET", controller, "/v1/jobs/" + job, "").contains(":\"" + state + "\"");
  }

  private static String jobJson(String id, String priority) {
    return """
        {"name_id":"%s","docket":"c","crew":"t","form":"sweep","rank":"%s","moves":8,"cpus":6.0,
         "cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,"scatter":false,
         "driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
        """
        .formatted(id, priority);
  }

  private static Node createNode(
      String name, String otherName, String cloudAddress, String stateAddress, String peerAddress)
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
              .formatted(name, cloudAddress, peerAddress, stateAddress, otherName));
      return new Node(
          new ClusterConfig(
              Settings.load(file.toString()), OperatorSettings.load(operator.toString())));
    } finally {
      Files.delete(operator);
      Files.delete(file);
    }
  }
}
