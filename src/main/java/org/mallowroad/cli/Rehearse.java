package org.mallowroad.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import org.mallowroad.config.BadSettings;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.Node;
import org.mallowroad.controller.Site;
import org.mallowroad.wire.BadMessage;
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

  @Override
  public Integer call() throws IOException, BadSettings, InterruptedException, BadMessage {
    if (!play()) {
      // The service runs without these classes in the archive too, only starts slower.
      System.err.println("mallowroad: the rehearsal did not come to its end");
    }
    return 0;
  }

  /** True when all came to its end: jobs done and withdrawn, and a second node took over. */
  static boolean play() throws IOException, BadSettings, InterruptedException, BadMessage {
    long until = System.nanoTime() + MOST_MS * 1_000_000;
    try (Stage stage = new Stage()) {
      Node first = node("first", stage, "");
      first.start();
      Node second = node("second", stage, first.peerAddress());
      second.start();
      try {
        String[] at = {first.address(), second.address()};
        stage.keep(true);
        boolean going = false;
        while (!going && System.nanoTime() < until) {
          Stage.ask("GET", at[0], "/healthz", "");
          Stage.ask("POST", at[0], "/v1/jobs", job("job-1", "normal"));
          Stage.ask("POST", at[1], "/v1/jobs", job("job-2", "urgent"));
          pause(stage, at);
          going = is(at[0], "job-1", "running") && is(at[1], "job-2", "running");
        }
        // Each takes over while tasks run, and the second tells the first (peers speak Avro).
        Set<String> led = new HashSet<>();
        while (led.size() < 2 && System.nanoTime() < until) {
          led.add(stage.leader());
          stage.endLease();
          for (int i = 0; i < 5 || (stage.leader().isEmpty() && System.nanoTime() < until); i++) {
            pause(stage, at);
          }
        }
        Stage.ask("POST", at[0], "/v1/jobs/job-2/withdraw", "{}");
        stage.keep(false);
        boolean done = false;
        while (!done && System.nanoTime() < until) {
          pause(stage, at);
          done = is(at[0], "job-1", "done") && is(at[1], "job-2", "withdrawn");
        }
        Stage.ask("GET", at[1], "/metrics", "");
        return done && led.size() == 2;
      } finally {
        second.stop();
        first.stop();
      }
    }
  }

  private static boolean is(String at, String job, String state) throws IOException {
    return Stage.ask("GET", at, "/v1/jobs/" + job, "").contains(":\"" + state + "\"");
  }

  private static void pause(Stage stage, String[] at)
      throws IOException, InterruptedException, BadMessage {
    Thread.sleep(100);
    stage.report(at[stage.leader().equals("second") ? 1 : 0]);
  }

  private static String job(String id, String priority) {
    return """
        {"name_id":"%s","docket":"c","crew":"t","form":"sweep","rank":"%s","moves":8,"cpus":6.0,
         "cards":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"together":false,"scatter":false,
         "driftwood":true,"reckon_s":1.0,"cairn_s":0.0,"stow_s":0.0}
        """
        .formatted(id, priority);
  }

  private static Node node(String name, Stage stage, String peer) throws IOException, BadSettings {
    Path file = Files.createTempFile("rehearse", ".toml");
    try {
      Files.writeString(
          file,
          """
          node_name = "%1$s"
          site = "a"
          listen = "127.0.0.1:0"
          peer_listen = "127.0.0.1:0"
          [[members]]
          node_name = "other"
          site = "a"
          endpoint = "%3$s"
          [outside]
          cloud = "%2$s"
          state = "%2$s"
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
              .formatted(name, stage.address(), peer.isEmpty() ? stage.address() : peer));
      return new Node(new Site(Settings.load(file.toString()), OperatorSettings.defaults()));
    } finally {
      Files.delete(file);
    }
  }
}
