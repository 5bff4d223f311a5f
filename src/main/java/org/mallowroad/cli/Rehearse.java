package org.mallowroad.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.mallowroad.config.BadSettings;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.Node;
import org.mallowroad.controller.Site;
import picocli.CommandLine.Command;

/**
 * Starts a node on loopback with itself in place of the outside services and stops it again, so
 * that the build can record the classes that a start loads (see deploy/service.toml). On a fraction
 * of a core, loading them from the archive saves a good part of a restart.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Starts and stops a node on loopback, to record an archive of its classes.")
final class Rehearse implements Callable<Integer> {
  @Override
  public Integer call() throws IOException, BadSettings, InterruptedException {
    int port;
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    Path file = Files.createTempFile("rehearse", ".toml");
    try {
      Files.writeString(
          file,
          """
          node_name = "rehearsal"
          site = "a"
          listen = "127.0.0.1:%1$d"
          peer_listen = "127.0.0.1:0"
          [outside]
          cloud = "127.0.0.1:%1$d"
          state = "127.0.0.1:%1$d"
          [params]
          zones = ["a"]
          [[params.teams]]
          name = "t"
          cpus = 1.0
          [[params.objectives]]
          kind = "guarantee"
          within_s = 10.0
          [params.workers]
          report_s = 3.0
          lease_s = 26.0
          cancel_s = 51.0
          [params.state]
          rps = 100.0
          write_rps = 30.0
          value_kb = 8.0
          txn_ops = 16
          [params.cloud]
          rps = 8.0
          """
              .formatted(port));
      Node node = new Node(new Site(Settings.load(file.toString()), OperatorSettings.defaults()));
      node.start();
      Thread.sleep(1_500);
      node.stop();
      return 0;
    } finally {
      Files.delete(file);
    }
  }
}
