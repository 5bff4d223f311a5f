package org.mallowroad.simulation;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A history to be: its seed, its size and its faults. As a file it is TOML with these names.
 *
 * @param seed of everything that is left to chance
 * @param nodes controllers
 * @param machines the most machines in each zone
 * @param jobs how many jobs users submit
 * @param links whether the ways round cuts are on
 * @param faults what fails
 * @param gangs how many gangs users submit besides
 * @param folds how many rating jobs, with corrections and prints that wait for them
 * @param weights how many jobs with an image that takes long, on workers of which most hand it on
 * @param limits teams' limits as a part of the usual ones; 0 stands for all of them
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
  /** Zones of all worlds. */
  public static final List<String> ZONES = List.of("a", "b");

  /** In place of a node's number: the one after the leader. */
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

  /** Teams' limits in one drawn meeting in so many, and their part of the usual ones. */
  private static final int TIGHT_LIMITS_ONE_IN = 4;

  private static final double TIGHT_LIMITS_FACTOR = 0.5;

  /** Without gangs. */
  public Scenario(long seed, int nodes, int machines, int jobs, boolean links, List<Fault> faults) {
    this(seed, nodes, machines, jobs, links, faults, 0, 0, 0, 1);
  }

  /** With the usual limits. */
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

  /** Bounds the lists. */
  public Scenario {
    faults = List.copyOf(faults);
    limits = limits > 0 ? limits : 1;
  }

  /**
   * A plan from a seed: at least two partial cuts that overlap, and at least two other failures.
   */
  public static Scenario randomFaults(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed);
    int nodes = 3 + 2 * r.nextInt(3);
    List<Fault> faults = new ArrayList<>();
    long from = 15_000 + r.nextLong(15_000);
    int partial = 2 + r.nextInt(4);
    for (int i = 0; i < partial; i++) {
      faults.add(
          randomFault(
              PARTIAL_FAULTS[r.nextInt(PARTIAL_FAULTS.length)],
              from + r.nextLong(8_000),
              nodes,
              r));
    }
    int whole = 2 + r.nextInt(3);
    for (int i = 0; i < whole; i++) {
      faults.add(
          randomFault(
              FULL_FAULTS[r.nextInt(FULL_FAULTS.length)], 10_000 + r.nextLong(50_000), nodes, r));
    }
    return new Scenario(seed, nodes, 6 + r.nextInt(10), 16 + r.nextInt(16), links, faults);
  }

  /**
   * A plan with processes that are back within a second, late copies of messages every other time,
   * and at least two other failures.
   */
  public static Scenario randomRestarts(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed * 17 + 5);
    Scenario other = randomFaults(seed, links);
    List<Fault> faults = new ArrayList<>();
    int least = 1 + r.nextInt(3);
    for (int i = 0; i < least; i++) {
      faults.add(
          randomFault(
              RESTART_FAULTS[r.nextInt(RESTART_FAULTS.length)],
              5_000 + r.nextLong(50_000),
              other.nodes,
              r));
    }
    if (r.nextBoolean()) {
      faults.add(randomFault(Fault.Kind.COPIES, r.nextLong(40_000), other.nodes, r));
    }
    for (int i = 0; i < 2 + r.nextInt(2); i++) {
      faults.add(other.faults.get(r.nextInt(other.faults.size())));
    }
    return other.withFaults(faults);
  }

  /**
   * A plan with the troubles that the operators' pages left out: two or three of them, processes
   * that are back at once every other time, and two other failures.
   */
  public static Scenario randomMessageFaults(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed * 23 + 11);
    Scenario other = randomFaults(seed, links);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < 2 + r.nextInt(2); i++) {
      Fault.Kind kind = MESSAGE_FAULTS[r.nextInt(MESSAGE_FAULTS.length)];
      faults.add(randomFault(kind, 5_000 + r.nextLong(50_000), other.nodes, r));
    }
    if (r.nextBoolean()) {
      Fault.Kind kind = RESTART_FAULTS[r.nextInt(RESTART_FAULTS.length)];
      faults.add(randomFault(kind, 5_000 + r.nextLong(50_000), other.nodes, r));
    }
    for (int i = 0; i < 2; i++) {
      faults.add(other.faults.get(r.nextInt(other.faults.size())));
    }
    Scenario p = other.withFaults(faults);
    return new Scenario(
        p.seed, p.nodes, p.machines, p.jobs, p.links, p.faults, 2 + r.nextInt(4), 0, 0);
  }

  /**
   * A plan in which two or three troubles meet within seconds, and users cancel jobs that run long
   * in the midst of them, some of whose machines hang; odd requests and cancellations at the end of
   * jobs all the time. The service may be out for longer than a cancellation's time.
   */
  public static Scenario overlappingFaults(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed * 41 + 9);
    int nodes = 3 + 2 * r.nextInt(3);
    List<Fault> faults = new ArrayList<>();
    long at = 20_000 + r.nextLong(25_000);
    for (int i = 0; i < 2 + r.nextInt(2); i++) {
      Fault f =
          randomFault(
              OVERLAPPING_FAULTS[r.nextInt(OVERLAPPING_FAULTS.length)],
              at + r.nextLong(4_000),
              nodes,
              r);
      faults.add(f.kind() == Fault.Kind.STATE_OUT ? f.withDuration(5_000 + r.nextLong(40_000)) : f);
    }
    String hang = r.nextBoolean() ? "hang" : "";
    long cancel = at - 1_000 + r.nextLong(5_000);
    faults.add(
        new Fault(
            Fault.Kind.CANCEL_NOW, cancel, 3_000 + r.nextLong(30_000), 0, 0, "a", hang, 0, 6));
    faults.add(new Fault(Fault.Kind.CANCEL_AT_END, 5_000, 60_000, 0, 0, "a", "", 0, 3));
    faults.add(new Fault(Fault.Kind.ODD_REQUESTS, 5_000, 60_000, 0, 0, "a", "", 0, 1));
    if (r.nextBoolean()) {
      faults.add(new Fault(Fault.Kind.CLOSE_LOOKS, 2_000, 100_000, 0, 0, "a", "", 0, 1));
    }
    boolean tight = r.nextInt(TIGHT_LIMITS_ONE_IN) == 0;
    int machines = 6 + r.nextInt(10);
    // Fewer jobs where the limits admit little at once.
    int jobs = tight ? 12 + r.nextInt(4) : 16 + r.nextInt(16);
    return new Scenario(
        seed, nodes, machines, jobs, links, faults, 0, 0, 0, tight ? TIGHT_LIMITS_FACTOR : 1);
  }

  /** The same troubles, beside rating jobs that fold games and prints that wait for them. */
  public static Scenario ratingJobs(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed * 29 + 3);
    Scenario p = r.nextBoolean() ? randomMessageFaults(seed, links) : randomRestarts(seed, links);
    return new Scenario(
        seed, p.nodes, p.machines, p.jobs / 2, links, p.faults, 0, 12 + r.nextInt(12), 0);
  }

  /** The same troubles, beside many machines that want the same large images at once. */
  public static Scenario imageFetchWaves(long seed, boolean links) {
    SplittableRandom r = new SplittableRandom(seed * 37 + 1);
    Scenario p = r.nextBoolean() ? randomMessageFaults(seed, links) : randomRestarts(seed, links);
    return new Scenario(
        seed, p.nodes, p.machines, p.jobs / 2, links, p.faults, p.gangs, 0, 2 + r.nextInt(4));
  }

  /**
   * Each single cut for itself: of the leader and of a follower, from each party, by each mode and
   * direction.
   */
  public static List<Scenario> singleCuts(long seed, boolean links) {
    List<Scenario> out = new ArrayList<>();
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
            Fault f = new Fault(kind, 25_000, 30_000, node, 0, "a", mode, direction, 1);
            out.add(new Scenario(seed, 3, 10, 24, links, List.of(f)));
          }
        }
      }
    }
    return out;
  }

  private static Fault randomFault(Fault.Kind kind, long at, int nodes, SplittableRandom r) {
    // Every other time it is the leader who is struck.
    int node = r.nextBoolean() ? -1 : r.nextInt(nodes);
    int other = r.nextInt(nodes);
    String mode = List.of("refuse", "reset", "hold", "hold", "lossy").get(r.nextInt(5));
    long most =
        switch (kind) {
          case STATE_OUT -> 12_000;
          case FREEZE, HANG -> 20_000;
          case ALONE, COPIES, WORKERS_ONLY, LATE_REPORTS, REPORTS_FOR_NEXT -> 55_000;
          case SINGLE_JOBS -> 12_000;
          default -> 35_000;
        };
    int count =
        switch (kind) {
          case STATE_SLOW -> 5 + r.nextInt(25);
          case SINGLE_JOBS -> 1 + r.nextInt(3);
          case NONE_WHOLE -> 1 + r.nextInt(nodes - 1);
          default -> 1 + r.nextInt(5);
        };
    return new Fault(
        kind,
        at,
        9_000 + r.nextLong(most - 8_000),
        node,
        other,
        ZONES.get(r.nextInt(ZONES.size())),
        mode,
        r.nextInt(3) == 0 ? 1 + r.nextInt(2) : 0,
        count);
  }

  /** The same with other faults. */
  public Scenario withFaults(List<Fault> f) {
    return new Scenario(seed, nodes, machines, jobs, links, f, gangs, folds, weights, limits);
  }

  /** Reads a file. */
  public static Scenario load(String file) throws IOException {
    return new TomlMapper().readValue(new File(file), Scenario.class);
  }

  /** As a file has it. */
  public String toToml() {
    try {
      return new TomlMapper().writeValueAsString(this);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
