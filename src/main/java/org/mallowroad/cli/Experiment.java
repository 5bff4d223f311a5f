package org.mallowroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.mallowroad.core.image.ImageFetchPolicy;
import org.mallowroad.simulation.Fault;
import org.mallowroad.simulation.ImageFetchWave;
import org.mallowroad.simulation.InvariantChecker;
import org.mallowroad.simulation.Scenario;
import org.mallowroad.simulation.Simulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Simulates clusters with injected faults in virtual time, each history generated from a seed, and
 * checks the invariants.
 */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = {
      "Plays histories of several controllers, workers and failures in virtual time, each from a seed.",
      "Exit codes: 0 all good, 1 a rule broke or somebody was not served, 2 wrong option or file."
    })
final class Experiment implements Callable<Integer> {
  @Option(names = "--from", defaultValue = "1", description = "The first seed.")
  private long from;

  @Option(names = "--histories", defaultValue = "100", description = "How many seeds.")
  private int histories;

  @Option(names = "--jobs", description = "Histories at once; as many as there are cores.")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--plan", paramLabel = "FILE", description = "Play this plan (TOML) instead.")
  private String planFile;

  @Option(
      names = "--restarts",
      description = "Histories with processes that are back within a second, and late copies.")
  private boolean restarts;

  @Option(
      names = "--unheard",
      description =
          "Histories with deaf machines, late copies of reports, and controllers left with their"
              + " workers alone.")
  private boolean unheard;

  @Option(
      names = "--meetings",
      description =
          "Histories in which two or three troubles meet while users cancel jobs that run long.")
  private boolean meetings;

  @Option(
      names = "--delayed",
      description =
          "Histories in which responses to reports are delayed, commands arrive late or again, and"
              + " machines restart.")
  private boolean delayed;

  @Option(
      names = "--freezes",
      description =
          "Histories in which the leader stops for longer than the workers' leases, while short"
              + " outages of the state service keep its own.")
  private boolean freezes;

  @Option(
      names = "--ratings",
      description =
          "Histories with jobs that fold games, corrections, and prints that wait for them.")
  private boolean ratings;

  @Option(
      names = "--waves",
      description = "Histories in which many machines want the same large images at once.")
  private boolean waves;

  @Option(
      names = "--wave-table",
      description = "Print how long waves of one image take, with and without staging.")
  private boolean waveTable;

  @Option(names = "--without-links", description = "Without the ways round cuts.")
  private boolean without;

  @Option(
      names = "--all",
      description = "A line for each history, not for those that failed alone.")
  private boolean all;

  @Option(names = "--matrix", description = "Play each single cut, and print a table of them.")
  private boolean matrix;

  private final PrintStream out = System.out;

  @Override
  public Integer call() throws IOException, InterruptedException, ExecutionException {
    if (System.getenv("LOG_LEVEL") == null) {
      System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
    }
    if (planFile != null) {
      Scenario plan;
      try {
        plan = Scenario.load(planFile);
      } catch (IOException e) {
        System.err.println(
            "mallowroad: " + planFile + ": " + e.getMessage().lines().findFirst().get());
        return 2;
      }
      Simulation simulation = new Simulation(plan);
      Simulation.Result result = simulation.run();
      simulation.faultLog().forEach(out::println);
      out.println(result.summaryLine());
      printFailure(result);
      return result.hasNoBreaches() ? 0 : 1;
    }
    if (waveTable) {
      return waveTable();
    }
    return matrix ? matrix() : runHistories();
  }

  /**
   * Compares image fetch policies for 350 replicas, two per machine, when the image source has the
   * bandwidth that 16 machines can use.
   */
  private int waveTable() {
    out.println("| machines | GB | failures | way | first s | half s | last s | bound s |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int machines : new int[] {200, 1_000}) {
      for (double imageGb : new double[] {20, 60}) {
        for (boolean failures : new boolean[] {false, true}) {
          printWaveRow(
              machines,
              imageGb,
              failures,
              "all at once",
              new ImageFetchPolicy(0, 0, 0, 2, 1),
              false);
          printWaveRow(
              machines,
              imageGb,
              failures,
              "source limit 16",
              new ImageFetchPolicy(16, 0, 0, 2, 1),
              false);
          printWaveRow(
              machines,
              imageGb,
              failures,
              "handed on, no limit",
              new ImageFetchPolicy(0, 0, 1, 2, 1),
              true);
          printWaveRow(
              machines,
              imageGb,
              failures,
              "handed on, limit 16",
              new ImageFetchPolicy(16, 0, 1, 2, 1),
              true);
        }
      }
    }
    return 0;
  }

  private void printWaveRow(
      int machines,
      double imageGb,
      boolean failures,
      String strategy,
      ImageFetchPolicy policy,
      boolean peerFetch) {
    ImageFetchWave.Settings setting =
        new ImageFetchWave.Settings(machines, 350, imageGb, policy, peerFetch, failures);
    ImageFetchWave.Result figures = new ImageFetchWave(setting, from).run();
    out.printf(
        "| %d | %.0f | %s | %s | %d | %d | %d | %d |%n",
        machines,
        imageGb,
        failures ? "a holder a minute" : "none",
        strategy,
        figures.firstRunningS(),
        figures.halfRunningS(),
        figures.allRunningS(),
        ImageFetchWave.lowerBoundS(setting));
  }

  /**
   * Prints a row for each network fault: killed tasks and takeovers summed over the seeds, and the
   * longest times in s that a worker and a user went without an answer.
   */
  private int matrix() throws IOException {
    out.println("| cut | of | mode | way | killed | takeovers | workers s | users s |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    int cells = Scenario.singleCuts(0, !without).size();
    boolean good = true;
    for (int index = 0; index < cells; index++) {
      int cell = index;
      List<Simulation.Result> results =
          LongStream.range(from, from + histories)
              .parallel()
              .mapToObj(seed -> play(Scenario.singleCuts(seed, !without).get(cell)))
              .toList();
      Fault fault = results.get(0).scenario().faults().get(0);
      good &= results.stream().allMatch(Simulation.Result::hasNoBreaches);
      out.printf(
          java.util.Locale.ROOT,
          "| %s | %s | %s | %s | %d | %d | %.1f | %.1f |%n",
          fault.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
          fault.node() == Scenario.FOLLOWER ? "follower" : "leader",
          fault.mode(),
          List.of("both", "there", "back").get(fault.direction()),
          results.stream().mapToLong(Simulation.Result::killedTasks).sum(),
          results.stream().mapToLong(result -> result.terms() - 1).sum(),
          results.stream().mapToLong(Simulation.Result::longestWorkerSilenceMs).max().orElse(0)
              / 1000.0,
          results.stream().mapToLong(Simulation.Result::longestUserSilenceMs).max().orElse(0)
              / 1000.0);
    }
    return good ? 0 : 1;
  }

  private static Simulation.Result play(Scenario plan) {
    try {
      return new Simulation(plan).run();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private int runHistories() throws IOException, InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(jobs);
    List<Future<Simulation.Result>> results = new ArrayList<>();
    for (int i = 0; i < histories; i++) {
      Scenario plan = plan(from + i);
      results.add(pool.submit(() -> new Simulation(plan).run()));
    }
    pool.shutdown();
    int failed = 0;
    long killed = 0;
    long started = 0;
    long unfinished = 0;
    double leastServed = 1;
    Simulation.Result firstFailure = null;
    int finished = 0;
    for (Future<Simulation.Result> future : results) {
      Simulation.Result result = future.get();
      killed += result.killedTasks();
      started += result.startedTasks();
      unfinished += result.unfinishedJobs();
      leastServed = Math.min(leastServed, result.leastServedShare());
      if (!result.hasNoBreaches()) {
        failed++;
        firstFailure = firstFailure == null ? result : firstFailure;
      }
      if (all || !result.hasNoBreaches()) {
        out.println(result.summaryLine());
      }
      if (++finished % 100 == 0) {
        System.err.println(finished + " of " + histories + ", " + failed + " failed");
      }
    }
    out.printf(
        java.util.Locale.ROOT,
        "%d histories, %d failed; %d tasks started, %d killed by their lease, %d jobs unfinished,"
            + " least served %.2f%n",
        histories,
        failed,
        started,
        killed,
        unfinished,
        leastServed);
    if (firstFailure != null) {
      Simulation.Result result = shrink(firstFailure);
      printFailure(result);
      out.println("# again: save what follows as FILE, mallowroad experiment --plan FILE");
      out.print(result.scenario().toToml());
    }
    return failed == 0 ? 0 : 1;
  }

  private Scenario plan(long seed) {
    if (meetings) {
      return Scenario.overlappingFaults(seed, !without);
    }
    if (delayed) {
      return Scenario.delayedMessages(seed, !without);
    }
    if (freezes) {
      return Scenario.longFreezes(seed, !without);
    }
    if (waves) {
      return Scenario.imageFetchWaves(seed, !without);
    }
    if (ratings) {
      return Scenario.ratingJobs(seed, !without);
    }
    if (unheard) {
      return Scenario.randomMessageFaults(seed, !without);
    }
    return restarts
        ? Scenario.randomRestarts(seed, !without)
        : Scenario.randomFaults(seed, !without);
  }

  private void printFailure(Simulation.Result result) {
    for (InvariantChecker.Breach breach : result.breaches()) {
      out.println("BROKEN " + breach.rule() + " at " + breach.ms() + ": " + breach.what());
      breach.events().forEach(event -> out.println("  " + event));
    }
    result
        .servedCounts()
        .forEach(
            (taskClass, counts) ->
                out.println(
                    "served " + taskClass + ": " + (int) counts[0] + " of " + (int) counts[1]));
  }

  /**
   * Shrinks a failing scenario while it still violates the same rule: first removes faults one at a
   * time, then halves the duration of each remaining fault.
   */
  private static Simulation.Result shrink(Simulation.Result failure) throws IOException {
    String rule = failure.breaches().get(0).rule();
    Simulation.Result smallest = failure;
    for (int i = smallest.scenario().faults().size() - 1; i >= 0; i--) {
      List<Fault> fewer = new ArrayList<>(smallest.scenario().faults());
      fewer.remove(i);
      smallest = tryFaults(smallest, fewer, rule);
    }
    for (int i = 0; i < smallest.scenario().faults().size(); i++) {
      List<Fault> shorter = new ArrayList<>(smallest.scenario().faults());
      shorter.set(i, shorter.get(i).withDuration(shorter.get(i).forMs() / 2));
      smallest = tryFaults(smallest, shorter, rule);
    }
    return smallest;
  }

  private static Simulation.Result tryFaults(
      Simulation.Result current, List<Fault> faults, String rule) throws IOException {
    Simulation.Result result = new Simulation(current.scenario().withFaults(faults)).run();
    return result.breaches().stream().anyMatch(breach -> breach.rule().equals(rule))
        ? result
        : current;
  }
}
