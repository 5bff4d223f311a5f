package org.mallowroad.simulation;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The input of one simulation run: seed, size and faults. Scenario files are TOML with the names of
 * these components as keys.
 *
 * @param seed seed of all random choices
 * @param nodes number of controllers
 * @param machines maximum number of machines in each zone
 * @param jobs number of ordinary jobs that users submit
 * @param links whether controllers relay messages around links that are down
 * @param faults the faults to inject
 * @param gangs number of gang jobs that users submit in addition
 * @param folds number of rating jobs, beside which corrections and dependent print jobs are
 *     submitted
 * @param weights number of jobs with a large image; if above 0, most workers serve their images to
 *     other workers
 * @param limits factor applied to the CPU guarantees and limits of teams; 0 or less means 1
 */
public record Scenario(
    long seed,
    int nodes,
    int machines,
    int jobs,
    boolean links,
    List<Fault> faults,
    int gangs,
    int folds,
    int weights,
    double limits) {
  /** The zones of every simulation. */
  public static final List<String> ZONES = List.of("a", "b");

  /** Value of {@link Fault#node} that selects the controller after the leader. */
  public static final int FOLLOWER = -2;

  private static final Fault.Kind[] PARTIAL_FAULTS = {
    Fault.Kind.CUT_STATE,
    Fault.Kind.CUT_WORKERS,
    Fault.Kind.CUT_STATE,
    Fault.Kind.CUT_WORKERS,
    Fault.Kind.NONE_WHOLE,
    Fault.Kind.ALONE,
    Fault.Kind.FLAP_STATE,
    Fault.Kind.FLAP_WORKERS,
    Fault.Kind.CUT_PEER,
    Fault.Kind.CUT_CLOUD,
    Fault.Kind.STATE_REFUSES,
    Fault.Kind.CUT_USERS,
    Fault.Kind.PEERS_REFUSED
  };
  private static final Fault.Kind[] FULL_FAULTS = {
    Fault.Kind.CRASH,
    Fault.Kind.FREEZE,
    Fault.Kind.ROLL,
    Fault.Kind.DIE,
    Fault.Kind.HANG,
    Fault.Kind.STATE_OUT,
    Fault.Kind.STATE_SLOW,
    Fault.Kind.CLOUD_OUT,
    Fault.Kind.CUT_ZONE,
    Fault.Kind.DIE
  };

  private static final Fault.Kind[] RESTART_FAULTS = {
    Fault.Kind.BACK, Fault.Kind.BACK_LEADERS, Fault.Kind.BACK_ALL
  };

  private static final Fault.Kind[] MESSAGE_FAULTS = {
    Fault.Kind.DEAF,
    Fault.Kind.DEAF_ZONE,
    Fault.Kind.LATE_REPORTS,
    Fault.Kind.LATE_WRITES,
    Fault.Kind.WORKERS_ONLY,
    Fault.Kind.WORKERS_ONLY
  };

  private static final Fault.Kind[] OVERLAPPING_FAULTS = {
    Fault.Kind.STATE_REFUSES,
    Fault.Kind.STATE_REFUSES,
    Fault.Kind.STATE_OUT,
    Fault.Kind.STATE_OUT,
    Fault.Kind.STATE_SLOW,
    Fault.Kind.WORKERS_ONLY,
    Fault.Kind.MUTE,
    Fault.Kind.DEAF,
    Fault.Kind.LATE_REPORTS,
    Fault.Kind.LATE_WRITES,
    Fault.Kind.BACK_LEADERS,
    Fault.Kind.BACK_ALL,
    Fault.Kind.CRASH,
    Fault.Kind.FREEZE,
    Fault.Kind.HANG,
    Fault.Kind.CUT_ZONE,
    Fault.Kind.PEERS_REFUSED,
    Fault.Kind.LATE_COMMANDS,
    Fault.Kind.ANSWERS_LOST,
    Fault.Kind.REPORTS_FOR_NEXT,
    Fault.Kind.QUICK_BOOTS,
    Fault.Kind.SINGLE_JOBS
  };

  /** Faults of the messages between controllers and workers that may accompany a long freeze. */
  private static final Fault.Kind[] LONG_FREEZE_FAULTS = {
    Fault.Kind.DEAF,
    Fault.Kind.MUTE,
    Fault.Kind.HANG,
    Fault.Kind.COPIES,
    Fault.Kind.LATE_REPORTS,
    Fault.Kind.LATE_COMMANDS,
    Fault.Kind.DELAYED_RESPONSES
  };

  /** Longer than a worker's lease in the simulation. */
  private static final long MIN_LONG_FREEZE_MS = 15_000;

  private static final long LONG_FREEZE_SPREAD_MS = 30_000;

  /** One in this many scenarios with overlapping faults has reduced team limits. */
  private static final int TIGHT_LIMITS_ONE_IN = 4;

  private static final double TIGHT_LIMITS_FACTOR = 0.5;

  /** In scenarios with delayed messages, one in two to one in this many responses is delayed. */
  private static final int MAX_DELAYED_RESPONSE_RARITY = 4;

  /** Creates a scenario with ordinary jobs only and the usual team limits. */
  public Scenario(long seed, int nodes, int machines, int jobs, boolean links, List<Fault> faults) {
    this(seed, nodes, machines, jobs, links, faults, 0, 0, 0, 1);
  }

  /** Creates a scenario with the usual team limits. */
  public Scenario(
      long seed,
      int nodes,
      int machines,
      int jobs,
      boolean links,
      List<Fault> faults,
      int gangs,
      int folds,
      int weights) {
    this(seed, nodes, machines, jobs, links, faults, gangs, folds, weights, 1);
  }

  /** Copies the faults and replaces a missing limit factor by 1. */
  public Scenario {
    faults = List.copyOf(faults);
    limits = limits > 0 ? limits : 1;
  }

  /**
   * Returns a random scenario with two to five partial faults, which leave some links of a
   * controller up and overlap, and two to four other faults.
   */
  public static Scenario randomFaults(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodes = 3 + 2 * random.nextInt(3);
    List<Fault> faults = new ArrayList<>();
    long partialFromMs = 15_000 + random.nextLong(15_000);
    int partialCount = 2 + random.nextInt(4);
    for (int i = 0; i < partialCount; i++) {
      faults.add(
          randomFault(
              PARTIAL_FAULTS[random.nextInt(PARTIAL_FAULTS.length)],
              partialFromMs + random.nextLong(8_000),
              nodes,
              random));
    }
    int fullCount = 2 + random.nextInt(3);
    for (int i = 0; i < fullCount; i++) {
      faults.add(
          randomFault(
              FULL_FAULTS[random.nextInt(FULL_FAULTS.length)],
              10_000 + random.nextLong(50_000),
              nodes,
              random));
    }
    return new Scenario(
        seed, nodes, 6 + random.nextInt(10), 16 + random.nextInt(16), links, faults);
  }

  /**
   * Returns a random scenario in which controllers end and restart within a second, with two or
   * three other faults; in every second one, requests are also duplicated.
   */
  public static Scenario randomRestarts(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 17 + 5);
    Scenario base = randomFaults(seed, links);
    List<Fault> faults = new ArrayList<>();
    int restartCount = 1 + random.nextInt(3);
    for (int i = 0; i < restartCount; i++) {
      faults.add(
          randomFault(
              RESTART_FAULTS[random.nextInt(RESTART_FAULTS.length)],
              5_000 + random.nextLong(50_000),
              base.nodes,
              random));
    }
    if (random.nextBoolean()) {
      faults.add(randomFault(Fault.Kind.COPIES, random.nextLong(40_000), base.nodes, random));
    }
    for (int i = 0; i < 2 + random.nextInt(2); i++) {
      faults.add(base.faults.get(random.nextInt(base.faults.size())));
    }
    return base.withFaults(faults);
  }

  /**
   * Returns a random scenario with two or three faults that the operators' documentation did not
   * mention: machines that receive nothing, late reports and writes, controllers that reach only
   * their workers. Every second one also has fast restarts; all have two other faults and gangs.
   */
  public static Scenario randomMessageFaults(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 23 + 11);
    Scenario base = randomFaults(seed, links);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < 2 + random.nextInt(2); i++) {
      Fault.Kind kind = MESSAGE_FAULTS[random.nextInt(MESSAGE_FAULTS.length)];
      faults.add(randomFault(kind, 5_000 + random.nextLong(50_000), base.nodes, random));
    }
    if (random.nextBoolean()) {
      Fault.Kind kind = RESTART_FAULTS[random.nextInt(RESTART_FAULTS.length)];
      faults.add(randomFault(kind, 5_000 + random.nextLong(50_000), base.nodes, random));
    }
    for (int i = 0; i < 2; i++) {
      faults.add(base.faults.get(random.nextInt(base.faults.size())));
    }
    Scenario scenario = base.withFaults(faults);
    return new Scenario(
        scenario.seed,
        scenario.nodes,
        scenario.machines,
        scenario.jobs,
        scenario.links,
        scenario.faults,
        2 + random.nextInt(4),
        0,
        0);
  }

  /**
   * Returns a random scenario in which two or three faults begin within four seconds. Around that
   * time users cancel long jobs, and in every second scenario the machines of these jobs hang. Odd
   * requests and cancellations at the end of jobs run throughout. The state service may be out for
   * longer than the cancellation limit.
   */
  public static Scenario overlappingFaults(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 41 + 9);
    int nodes = 3 + 2 * random.nextInt(3);
    List<Fault> faults = new ArrayList<>();
    long firstMs = 20_000 + random.nextLong(25_000);
    for (int i = 0; i < 2 + random.nextInt(2); i++) {
      Fault fault =
          randomFault(
              OVERLAPPING_FAULTS[random.nextInt(OVERLAPPING_FAULTS.length)],
              firstMs + random.nextLong(4_000),
              nodes,
              random);
      faults.add(
          fault.kind() == Fault.Kind.STATE_OUT
              ? fault.withDuration(5_000 + random.nextLong(40_000))
              : fault);
    }
    String cancelMode = random.nextBoolean() ? "hang" : "";
    long cancelMs = firstMs - 1_000 + random.nextLong(5_000);
    faults.add(
        new Fault(
            Fault.Kind.CANCEL_NOW,
            cancelMs,
            3_000 + random.nextLong(30_000),
            0,
            0,
            "a",
            cancelMode,
            0,
            6));
    faults.add(new Fault(Fault.Kind.CANCEL_AT_END, 5_000, 60_000, 0, 0, "a", "", 0, 3));
    faults.add(new Fault(Fault.Kind.ODD_REQUESTS, 5_000, 60_000, 0, 0, "a", "", 0, 1));
    if (random.nextBoolean()) {
      faults.add(new Fault(Fault.Kind.CLOSE_LOOKS, 2_000, 100_000, 0, 0, "a", "", 0, 1));
    }
    boolean tightLimits = random.nextInt(TIGHT_LIMITS_ONE_IN) == 0;
    int machines = 6 + random.nextInt(10);
    // Fewer jobs when reduced limits admit few tasks at a time.
    int jobs = tightLimits ? 12 + random.nextInt(4) : 16 + random.nextInt(16);
    return new Scenario(
        seed, nodes, machines, jobs, links, faults, 0, 0, 0, tightLimits ? TIGHT_LIMITS_FACTOR : 1);
  }

  /**
   * Returns a random scenario with overlapping faults in which responses to workers' reports are
   * delayed while direct commands overtake them. Every second one also has duplicates of requests
   * or late commands, and every second one machines that restart within a second.
   */
  public static Scenario delayedMessages(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 43 + 13);
    Scenario base = overlappingFaults(seed, links);
    List<Fault> faults = new ArrayList<>(base.faults);
    faults.add(
        new Fault(
            Fault.Kind.DELAYED_RESPONSES,
            5_000,
            80_000,
            0,
            0,
            "a",
            "",
            0,
            random.nextInt(1, MAX_DELAYED_RESPONSE_RARITY)));
    Fault singleJobs =
        randomFault(Fault.Kind.SINGLE_JOBS, 8_000 + random.nextLong(30_000), base.nodes, random);
    if (base.limits >= 1) {
      faults.add(singleJobs); // Reduced limits do not admit all of these jobs in time.
    }
    if (random.nextBoolean()) {
      Fault.Kind kind = random.nextBoolean() ? Fault.Kind.COPIES : Fault.Kind.LATE_COMMANDS;
      faults.add(randomFault(kind, 5_000 + random.nextLong(30_000), base.nodes, random));
    }
    if (random.nextBoolean()) {
      faults.add(
          randomFault(
              Fault.Kind.MACHINES_BACK, 10_000 + random.nextLong(40_000), base.nodes, random));
    }
    return base.withFaults(faults);
  }

  /**
   * Returns a random scenario in which the leader stops for longer than a worker's lease, with
   * answers to direct commands and reports waiting in its sockets. Short outages of the state
   * service keep its own lease alive. Meanwhile users cancel jobs and submit new ones, so that it
   * has commands to send and work to place when it runs again. Every second scenario has another
   * fault of the messages between controllers and workers.
   */
  public static Scenario longFreezes(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 47 + 17);
    int nodes = 3 + 2 * random.nextInt(2);
    long freezeMs = 20_000 + random.nextLong(15_000);
    long frozenForMs = MIN_LONG_FREEZE_MS + random.nextLong(LONG_FREEZE_SPREAD_MS);
    long outagesMs = freezeMs + 2_000 + random.nextLong(500);
    // The last outage may end after the leader runs again, so that its lease is renewed late.
    long outagesForMs = freezeMs + frozenForMs - outagesMs + random.nextLong(3_000) - 1_000;
    long cancelMs = freezeMs + 1_000 + random.nextLong(8_000);
    int cancelledJobs = 2 + random.nextInt(4);
    int jobsPerSecond = 2 + random.nextInt(5);
    long jobsForMs = 12_000 + random.nextLong(10_000);
    List<Fault> faults = new ArrayList<>();
    faults.add(
        new Fault(Fault.Kind.FREEZE_WHILE_SENDING, freezeMs, frozenForMs, -1, 0, "a", "", 0, 1));
    faults.add(Fault.ofCluster(Fault.Kind.STATE_FLAPS, outagesMs, outagesForMs, 1));
    faults.add(Fault.ofCluster(Fault.Kind.CANCEL_NOW, cancelMs, 1_000, cancelledJobs));
    faults.add(
        Fault.ofCluster(Fault.Kind.SINGLE_JOBS, freezeMs - 10_000, jobsForMs, jobsPerSecond));
    if (random.nextBoolean()) {
      Fault.Kind kind = LONG_FREEZE_FAULTS[random.nextInt(LONG_FREEZE_FAULTS.length)];
      long atMs = freezeMs - 5_000 + random.nextLong(frozenForMs);
      faults.add(randomFault(kind, atMs, nodes, random));
    }
    int machines = 6 + random.nextInt(10);
    return new Scenario(seed, nodes, machines, 16 + random.nextInt(16), links, faults);
  }

  /** Returns a random scenario with rating jobs that fold games, and dependent print jobs. */
  public static Scenario ratingJobs(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 29 + 3);
    Scenario base =
        random.nextBoolean() ? randomMessageFaults(seed, links) : randomRestarts(seed, links);
    return new Scenario(
        seed,
        base.nodes,
        base.machines,
        base.jobs / 2,
        links,
        base.faults,
        0,
        12 + random.nextInt(12),
        0);
  }

  /** Returns a random scenario in which many machines need the same large images at once. */
  public static Scenario imageFetchWaves(long seed, boolean links) {
    SplittableRandom random = new SplittableRandom(seed * 37 + 1);
    Scenario base =
        random.nextBoolean() ? randomMessageFaults(seed, links) : randomRestarts(seed, links);
    return new Scenario(
        seed,
        base.nodes,
        base.machines,
        base.jobs / 2,
        links,
        base.faults,
        base.gangs,
        0,
        2 + random.nextInt(4));
  }

  /**
   * Returns one scenario for each single cut: of the leader or a follower, from each other party,
   * in each mode and direction.
   */
  public static List<Scenario> singleCuts(long seed, boolean links) {
    List<Scenario> scenarios = new ArrayList<>();
    for (Fault.Kind kind :
        List.of(
            Fault.Kind.CUT_STATE,
            Fault.Kind.CUT_WORKERS,
            Fault.Kind.CUT_PEER,
            Fault.Kind.CUT_CLOUD,
            Fault.Kind.CUT_USERS,
            Fault.Kind.FLAP_STATE,
            Fault.Kind.FLAP_WORKERS)) {
      for (int node : new int[] {-1, FOLLOWER}) {
        for (String mode : List.of("refuse", "reset", "hold")) {
          for (int direction = 0; direction < 3; direction++) {
            Fault fault = new Fault(kind, 25_000, 30_000, node, 0, "a", mode, direction, 1);
            scenarios.add(new Scenario(seed, 3, 10, 24, links, List.of(fault)));
          }
        }
      }
    }
    return scenarios;
  }

  private static Fault randomFault(Fault.Kind kind, long atMs, int nodes, SplittableRandom random) {
    // Half of the faults hit the current leader.
    int node = random.nextBoolean() ? -1 : random.nextInt(nodes);
    int other = random.nextInt(nodes);
    String mode = List.of("refuse", "reset", "hold", "hold", "lossy").get(random.nextInt(5));
    long maxDurationMs =
        switch (kind) {
          case STATE_OUT -> 12_000;
          case FREEZE, HANG -> 20_000;
          case ALONE, COPIES, WORKERS_ONLY, LATE_REPORTS, REPORTS_FOR_NEXT -> 55_000;
          case SINGLE_JOBS -> 12_000;
          default -> 35_000;
        };
    int count =
        switch (kind) {
          case STATE_SLOW -> 5 + random.nextInt(25);
          case SINGLE_JOBS -> 1 + random.nextInt(3);
          case NONE_WHOLE -> 1 + random.nextInt(nodes - 1);
          default -> 1 + random.nextInt(5);
        };
    return new Fault(
        kind,
        atMs,
        9_000 + random.nextLong(maxDurationMs - 8_000),
        node,
        other,
        ZONES.get(random.nextInt(ZONES.size())),
        mode,
        random.nextInt(3) == 0 ? 1 + random.nextInt(2) : 0,
        count);
  }

  /** Returns a copy with other faults. */
  public Scenario withFaults(List<Fault> newFaults) {
    return new Scenario(
        seed, nodes, machines, jobs, links, newFaults, gangs, folds, weights, limits);
  }

  /** Reads a scenario from a TOML file. */
  public static Scenario load(String file) throws IOException {
    return new TomlMapper().readValue(new File(file), Scenario.class);
  }

  /** Returns the scenario as TOML, in the form that {@link #load} reads. */
  public String toToml() {
    try {
      return new TomlMapper().writeValueAsString(this);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
