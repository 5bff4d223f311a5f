package review;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The controllers as processes of the deploy file, and all that is around them. */
final class Deployment {
  final Settings settings;
  final Recorder record;
  final Jobs jobs;
  final StateService state;
  final Cloud cloud;
  private final Path root;
  private final Path folder;
  private final List<String> listen = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();
  private final Process[] processes;
  private final boolean[] killed;
  private boolean closed;

  /** The address of the state service for each node; a case may put a proxy in between. */
  final List<String> stateAddresses = new ArrayList<>();

  Deployment(Settings settings, Path root, Recorder record) {
    this.settings = settings;
    this.root = root;
    this.record = record;
    this.processes = new Process[settings.nodes];
    this.killed = new boolean[settings.nodes];
    this.jobs = new Jobs(settings, record);
    this.state = new StateService(settings, record);
    this.cloud = new Cloud(this);
    try {
      this.folder = Files.createTempDirectory("mallowroad-review");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    for (int port : freePorts(2 * settings.nodes)) {
      (listen.size() < settings.nodes ? listen : peers).add(Http.HOST + ":" + port);
    }
    for (int node = 0; node < settings.nodes; node++) {
      stateAddresses.add(state.address(node));
    }
    for (int i = 0; i < settings.machinesAtStart; i++) {
      cloud.create(settings.builds.get(0), settings.zone(i), false, 0);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /**
   * Ports that nothing listens on, below the range from which the system takes the ports of outgoing
   * connections: those come and go all the time, also between this check and a controller's start.
   */
  private static List<Integer> freePorts(int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int attempt = 0; sockets.size() < count && attempt < 1_000; attempt++) {
        int port = 12_000 + (int) (Math.random() * 20_000);
        try {
          sockets.add(new ServerSocket(port, 50, InetAddress.getByName(Http.HOST)));
          ports.add(port);
        } catch (IOException e) {
          // The port is in use: another one is tried.
        }
      }
    } finally {
      for (ServerSocket socket : sockets) {
        try {
          socket.close();
        } catch (IOException e) {
          // Nothing listens any more in any case.
        }
      }
    }
    return ports;
  }

  String listen(int node) {
    return listen.get(node);
  }

  int nodeNumber(String name) {
    for (int node = 0; node < settings.nodes; node++) {
      if (("hearth-" + node).equals(name)) {
        return node;
      }
    }
    return -1;
  }

  /** Starts a controller with the command of the deploy file; none is started after the end. */
  synchronized void start(int node) {
    if (closed) {
      return;
    }
    try {
      Path file = folder.resolve("hearth-" + node + ".toml");
      Files.writeString(
          file,
          settings.toml(node, listen, peers, cloud.address(), stateAddresses.get(node)));
      String run = null;
      for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      List<String> command = new ArrayList<>(List.of(run.trim().split(" +")));
      command.add(file.toString());
      File log = folder.resolve("hearth-" + node + ".log").toFile();
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.environment().put("LOG_LEVEL", "info");
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
      processes[node] = builder.start();
      killed[node] = false;
      record.log("test", "hearth-" + node + " started, process " + processes[node].pid());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void startAll() {
    for (int node = 0; node < settings.nodes; node++) {
      start(node);
    }
  }

  /** Kills a controller without a signal that it could handle. */
  void kill(int node) {
    killed[node] = true;
    processes[node].destroyForcibly();
    try {
      processes[node].waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record.say("hearth-" + node + " killed");
  }

  /** Sends STOP or CONT to a controller. */
  void signal(int node, String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(processes[node].pid()))
          .inheritIO()
          .start()
          .waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record.say("hearth-" + node + " gets " + signal);
  }

  /** A controller that has ended though nobody killed it. */
  int crashed() {
    for (int node = 0; node < settings.nodes; node++) {
      if (processes[node] != null && !killed[node] && !processes[node].isAlive()) {
        return node;
      }
    }
    return -1;
  }

  boolean isHealthy(int node) {
    return Http.send(listen.get(node), "GET", "/healthz", null, 1_000).status() == 200;
  }

  /** The number of the node that the state service calls the leader, or -1. */
  int leader() {
    return nodeNumber(state.leader());
  }

  /** Waits until all nodes are healthy and one leads. */
  boolean awaitReady(double timeoutS) {
    long deadline = System.nanoTime() + (long) (timeoutS * 1e9);
    while (System.nanoTime() < deadline) {
      boolean ready = leader() >= 0;
      for (int node = 0; node < settings.nodes && ready; node++) {
        ready = isHealthy(node);
      }
      if (ready) {
        record.say("all controllers are healthy, the leader is hearth-" + leader());
        return true;
      }
      StateService.sleep(200);
    }
    return false;
  }

  /** Copies the last lines of each controller's log into the record. */
  void recordLogs(String filter, int lines) {
    for (int node = 0; node < settings.nodes; node++) {
      try {
        List<String> all = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve("hearth-" + node + ".log"))) {
          if (line.matches(filter)) {
            all.add(line);
          }
        }
        for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
          record.log("hearth-" + node, line);
        }
      } catch (IOException e) {
        record.log("hearth-" + node, "no log: " + e.getMessage());
      }
    }
  }

  /** Ends all processes that were started, and removes the temporary folder. */
  synchronized void close() {
    closed = true;
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") == null && Files.exists(folder)) {
      try (Stream<Path> paths = Files.walk(folder)) {
        paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      } catch (IOException e) {
        // The temporary folder stays.
      }
    }
  }
}
