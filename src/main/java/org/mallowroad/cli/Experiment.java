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

/** Plays histories of failing machines in virtual time and judges them. */
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
  private String file;

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
    if (file != null) {
      Scenario plan;
      try {
        plan = Scenario.load(file);
      } catch (IOException e) {
        System.err.println("mallowroad: " + file + ": " + e.getMessage().lines().findFirst().get());
        return 2;
      }
      Simulation world = new Simulation(plan);
      Simulation.Result r = world.run();
      world.faultLog().forEach(out::println);
      out.println(r.summaryLine());
      tell(r);
      return r.hasNoBreaches() ? 0 : 1;
    }
    if (waveTable) {
      return waveTable();
    }
    return matrix ? matrix() : many();
  }

  /** 350 replicas, two a machine; a source that gives what 16 machines can take. */
  private int waveTable() {
    out.println("| machines | GB | failures | way | first s | half s | last s | bound s |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int machines : new int[] {200, 1_000}) {
      for (double gb : new double[] {20, 60}) {
        for (boolean failures : new boolean[] {false, true}) {
          row(machines, gb, failures, "all at once", new ImageFetchPolicy(0, 0, 0, 2, 1), false);
          row(
              machines,
              gb,
              failures,
              "source limit 16",
              new ImageFetchPolicy(16, 0, 0, 2, 1),
              false);
          row(
              machines,
              gb,
              failures,
              "handed on, no limit",
              new ImageFetchPolicy(0, 0, 1, 2, 1),
              true);
          row(
              machines,
              gb,
              failures,
              "handed on, limit 16",
              new ImageFetchPolicy(16, 0, 1, 2, 1),
              true);
        }
      }
    }
    return 0;
  }

  private void row(
      int machines, double gb, boolean failures, String way, ImageFetchPolicy p, boolean handsOn) {
    ImageFetchWave.Settings s =
        new ImageFetchWave.Settings(machines, 350, gb, p, handsOn, failures);
    ImageFetchWave.Result f = new ImageFetchWave(s, from).run();
    out.printf(
        "| %d | %.0f | %s | %s | %d | %d | %d | %d |%n",
        machines,
        gb,
        failures ? "a holder a minute" : "none",
        way,
        f.firstRunningS(),
        f.halfRunningS(),
        f.allRunningS(),
        ImageFetchWave.lowerBoundS(s));
  }

  /** A row for each cut: the worst and the sums of several seeds. */
  private int matrix() throws IOException {
    out.println("| cut | of | mode | way | killed | takeovers | workers s | users s |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
    int cells = Scenario.singleCuts(0, !without).size();
    boolean good = true;
    for (int c = 0; c < cells; c++) {
      int cell = c;
      List<Simulation.Result> results =
          LongStream.range(from, from + histories)
              .parallel()
              .mapToObj(seed -> play(Scenario.singleCuts(seed, !without).get(cell)))
              .toList();
      Fault f = results.get(0).scenario().faults().get(0);
      good &= results.stream().allMatch(Simulation.Result::hasNoBreaches);
      out.printf(
          java.util.Locale.ROOT,
          "| %s | %s | %s | %s | %d | %d | %.1f | %.1f |%n",
          f.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
          f.node() == Scenario.FOLLOWER ? "follower" : "leader",
          f.mode(),
          List.of("both", "there", "back").get(f.direction()),
          results.stream().mapToLong(Simulation.Result::killedTasks).sum(),
          results.stream().mapToLong(r -> r.terms() - 1).sum(),
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

  private int many() throws IOException, InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(jobs);
    List<Future<Simulation.Result>> results = new ArrayList<>();
    for (int i = 0; i < histories; i++) {
      Scenario plan = plan(from + i);
      results.add(pool.submit(() -> new Simulation(plan).run()));
    }
    pool.shutdown();
    int bad = 0;
    long killed = 0;
    long started = 0;
    long unfinished = 0;
    double least = 1;
    Simulation.Result first = null;
    int done = 0;
    for (Future<Simulation.Result> f : results) {
      Simulation.Result r = f.get();
      killed += r.killedTasks();
      started += r.startedTasks();
      unfinished += r.unfinishedJobs();
      least = Math.min(least, r.leastServedShare());
      if (!r.hasNoBreaches()) {
        bad++;
        first = first == null ? r : first;
      }
      if (all || !r.hasNoBreaches()) {
        out.println(r.summaryLine());
      }
      if (++done % 100 == 0) {
        System.err.println(done + " of " + histories + ", " + bad + " failed");
      }
    }
    out.printf(
        java.util.Locale.ROOT,
        "%d histories, %d failed; %d tasks started, %d killed by their lease, %d jobs unfinished,"
            + " least served %.2f%n",
        histories,
        bad,
        started,
        killed,
        unfinished,
        least);
    if (first != null) {
      Simulation.Result r = shrunk(first);
      tell(r);
      out.println("# again: save what follows as FILE, mallowroad experiment --plan FILE");
      out.print(r.scenario().toToml());
    }
    return bad == 0 ? 0 : 1;
  }

  private Scenario plan(long seed) {
    if (meetings) {
      return Scenario.overlappingFaults(seed, !without);
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

  private void tell(Simulation.Result r) {
    for (InvariantChecker.Breach b : r.breaches()) {
      out.println("BROKEN " + b.rule() + " at " + b.ms() + ": " + b.what());
      b.events().forEach(e -> out.println("  " + e));
    }
    r.servedCounts()
        .forEach((k, v) -> out.println("served " + k + ": " + (int) v[0] + " of " + (int) v[1]));
  }

  /** Leaves faults out, then halves those that are left, while the same rule breaks. */
  private static Simulation.Result shrunk(Simulation.Result r) throws IOException {
    String rule = r.breaches().get(0).rule();
    Simulation.Result best = r;
    for (int i = best.scenario().faults().size() - 1; i >= 0; i--) {
      List<Fault> fewer = new ArrayList<>(best.scenario().faults());
      fewer.remove(i);
      best = better(best, fewer, rule);
    }
    for (int i = 0; i < best.scenario().faults().size(); i++) {
      List<Fault> shorter = new ArrayList<>(best.scenario().faults());
      shorter.set(i, shorter.get(i).withDuration(shorter.get(i).forMs() / 2));
      best = better(best, shorter, rule);
    }
    return best;
  }

  private static Simulation.Result better(Simulation.Result best, List<Fault> faults, String rule)
      throws IOException {
    Simulation.Result r = new Simulation(best.scenario().withFaults(faults)).run();
    return r.breaches().stream().anyMatch(b -> b.rule().equals(rule)) ? r : best;
  }
}
