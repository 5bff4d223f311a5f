package org.mallowroad.cli;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import org.mallowroad.config.ConsoleSettings;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.TeamSetting;
import org.mallowroad.controller.ClusterConfig;
import org.mallowroad.controller.Node;
import org.mallowroad.fake.FakeCloud;
import org.mallowroad.fake.FakeStateService;
import org.mallowroad.fake.LoopbackSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a demonstration cluster on this machine until Ctrl-C: three controllers with fake external
 * services and sample jobs, without settings files or a real cloud.
 */
@Command(
    name = "try",
    mixinStandardHelpOptions = true,
    description = {
      "Runs three controllers on loopback against stand-ins of the state service, the cloud and the"
          + " workers, with sample jobs of three teams, until Ctrl-C.",
      "Nothing of it is kept, and nothing leaves this machine."
    })
final class Try implements Callable<Integer> {
  private static final int CONTROLLERS = 3;
  private static final List<String> ZONES = List.of("north", "south");

  @Option(
      names = "--console-port",
      paramLabel = "PORT",
      description = "Port of the first console, the others follow (default: any).")
  private int consolePort;

  @Option(
      names = "--stall",
      paramLabel = "ZONE",
      description = "A zone (north, south) whose machines stand still after 30 s, to see it shown.")
  private String stalledZone;

  @Option(names = "--for-s", paramLabel = "SECONDS", description = "End by itself after so long.")
  private double durationS = Double.MAX_VALUE;

  private record SampleJob(
      String team, String taskClass, String priority, int tasks, double cpus, boolean gang) {}

  /**
   * Submitted in rotation, one every 2 s; together they demand somewhat more than the machines'
   * capacity, so that some jobs wait.
   */
  private static final List<SampleJob> SAMPLE_JOBS =
      List.of(
          new SampleJob("ratings", "rating-recalc", "urgent", 4, 2, false),
          new SampleJob("archive", "replay-render", "idle", 40, 1, false),
          new SampleJob("planning", "site-planner", "normal", 6, 4, true),
          new SampleJob("ratings", "opening-stats", "normal", 16, 1, false),
          new SampleJob("planning", "waitlist-match", "critical", 2, 2, false));

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (stalledZone != null && !ZONES.contains(stalledZone)) {
      System.err.println("mallowroad: --stall: " + stalledZone + ": north or south");
      return 2;
    }
    List<String> controllers = new CopyOnWriteArrayList<>();
    List<FakeCloud.MachineType> types =
        List.of(
            new FakeCloud.MachineType("small", 8, 32, 0.4, 4, ZONES),
            new FakeCloud.MachineType("large", 32, 128, 1.6, 8, List.of("north")));
    List<Node> nodes = new ArrayList<>();
    try (FakeStateService state = new FakeStateService();
        FakeCloud cloud = new FakeCloud(controllers, types)) {
      cloud.taskMs = 12_000;
      cloud.fetchMs = 1_500;
      cloud.bootTimeFactor = 1;
      List<TeamSetting> teams =
          List.of(
              new TeamSetting("ratings", 24, 0, 48, 0),
              new TeamSetting("planning", 16, 0, 32, 0),
              new TeamSetting("archive", 8, 0, 64, 0));
      LoopbackSettings settings = new LoopbackSettings(ZONES, teams, cloud, state, 0.5, 26);
      List<String> consoles = new ArrayList<>();
      for (int i = 0; i < CONTROLLERS; i++) {
        Node node = createNode(i, settings);
        nodes.add(node);
        node.start();
        controllers.add(node.address());
        consoles.add(node.consoleAddress());
      }
      printInstructions(controllers, consoles, state);
      submitJobs(controllers, cloud);
      return 0;
    } catch (IOException e) {
      System.err.println("mallowroad: cannot listen: " + e.getMessage());
      return 1;
    } finally {
      nodes.forEach(Node::stop);
    }
  }

  private void printInstructions(
      List<String> controllers, List<String> consoles, FakeStateService state) {
    String options = "--nodes " + String.join(",", consoles) + " --state 127.0.0.1:" + state.port();
    String jar = "java -jar target/mallowroad.jar ";
    System.out.println("Three controllers, stand-ins and sample jobs run here until Ctrl-C.");
    System.out.println("users:    " + String.join(" ", controllers));
    System.out.println("consoles: " + String.join(" ", consoles));
    System.out.println("From another shell:");
    System.out.println("  " + jar + "top " + options);
    System.out.println("  " + jar + "report --out report.html " + options);
    System.out.println("  " + jar + "why job-1 " + options);
  }

  private void submitJobs(List<String> controllers, FakeCloud cloud) throws InterruptedException {
    long startedNs = System.nanoTime();
    for (int i = 0; (System.nanoTime() - startedNs) / 1e9 < durationS; i++) {
      submit(
          controllers.get(i % controllers.size()), i + 1, SAMPLE_JOBS.get(i % SAMPLE_JOBS.size()));
      if (stalledZone != null
          && cloud.stalledZones.isEmpty()
          && System.nanoTime() - startedNs > 30_000_000_000L) {
        cloud.stalledZones.add(stalledZone);
        System.out.println("zone " + stalledZone + " is stalled from now on");
      }
      Thread.sleep(2_000);
    }
  }

  /** Submits a job. A refused submission is not retried; the next job is submitted instead. */
  private static void submit(String node, int number, SampleJob sample) {
    String job =
        """
        {"name_id":"job-%d","docket":"%s","crew":"%s","form":"sweep","rank":"%s","moves":%d,
         "cpus":%s,"cards":0.0,"mem_gb":1.0,"kit":"%s","size_gb":1.0,"together":%s,
         "scatter":false,"driftwood":true,"reckon_s":12.0,"cairn_s":0.0,"stow_s":0.0,"due_s":90.0}
        """
            .formatted(
                number,
                sample.taskClass,
                sample.team,
                sample.priority,
                sample.tasks,
                sample.cpus,
                sample.taskClass,
                sample.gang);
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create("http://" + node + "/v1/jobs").toURL().openConnection();
      connection.setConnectTimeout(2_000);
      connection.setReadTimeout(5_000);
      connection.setDoOutput(true);
      connection.getOutputStream().write(job.getBytes(StandardCharsets.UTF_8));
      connection.getResponseCode();
    } catch (IOException e) {
      System.err.println("mallowroad: " + node + " cannot be reached: the job was not submitted");
    }
  }

  private Node createNode(int index, LoopbackSettings settings) throws IOException {
    OperatorSettings defaults = OperatorSettings.defaults();
    Endpoint listen = new Endpoint("127.0.0.1", consolePort == 0 ? 0 : consolePort + index);
    ConsoleSettings console = new ConsoleSettings(listen, 2_000, 1_000, 240);
    return new Node(
        new ClusterConfig(settings.settingsForNode(index, CONTROLLERS), defaults.with(console)));
  }
}
