package org.mallowroad.core.explain;

import java.util.List;
import java.util.Objects;

/**
 * What a node knew at one moment: immutable, with all names in words, so that any thread may keep
 * and serve it. Times are ages in seconds at the moment of the picture, since readers share no
 * clock with the node; -1 stands for unknown. Lists are bounded, and say what was left out.
 *
 * @param format version of this form; readers ignore fields that they do not know
 * @param phase what the node does
 * @param leader who leads as far as the node knows, or empty
 * @param atMs time of day of the making, for people
 * @param madeUs processor-side time that the making took on the loop
 * @param lagMs how late the loop ran at worst in the last seconds
 * @param stateSilenceS since the state service last served the node
 * @param jobsLeftOut open jobs beyond those listed
 */
public record NodeSnapshot(
    int format,
    String node,
    Phase phase,
    long term,
    String leader,
    long atMs,
    long madeUs,
    long lagMs,
    double stateSilenceS,
    boolean firm,
    Totals totals,
    List<TeamLine> teams,
    List<JobLine> jobs,
    int jobsLeftOut,
    List<ZoneLine> zones,
    List<MachineLine> machines,
    List<ReasonLine> reasons) {

  /** The form that this build writes. */
  public static final int FORMAT = 1;

  /** What a node does. */
  public enum Phase {
    /** Leads, and places work. */
    LEADING,
    /** Leads, and reads its records or waits for the workers' first reports. */
    TAKING_OVER,
    /** Another leads. */
    FOLLOWING,
    /** Nobody leads, as far as the node knows. */
    NO_LEADER
  }

  /**
   * Sums over the site.
   *
   * @param starting attempts recorded and not yet running
   * @param started attempts made in this term
   * @param completed tasks completed in this term
   * @param moneyPerHour the price of all machines now
   * @param uncommitted records that wait for a commit
   */
  public record Totals(
      int jobs,
      int waiting,
      int starting,
      int running,
      int machines,
      int booting,
      long started,
      long completed,
      double moneyPerHour,
      int uncommitted) {}

  /** A team's use, guarantee and limit (0: none) in CPUs, and its tasks. */
  public record TeamLine(
      String name,
      double usedCpus,
      double guaranteeCpus,
      double limitCpus,
      int waiting,
      int running) {
    /** Has no text that is not there. */
    public TeamLine {
      Objects.requireNonNull(name);
    }
  }

  /**
   * An open job.
   *
   * @param priority 0 critical to 3 idle
   * @param silent attempts on machines that are not heard
   * @param dueS what is left until its deadline, negative when it is past, 0 without one
   * @param reason why tasks wait, or empty when all run
   * @param sinceS since when
   * @param inS when that ends at the latest, or is expected to
   * @param zone the zone that is the cause, or empty
   * @param detail the evidence in words
   */
  public record JobLine(
      String id,
      String team,
      String taskClass,
      int priority,
      int tasks,
      int done,
      int running,
      int starting,
      int waiting,
      int silent,
      double ageS,
      boolean hasDue,
      double dueS,
      boolean guaranteed,
      int failures,
      String reason,
      double sinceS,
      double inS,
      String zone,
      String detail) {
    /** Has no text that is not there. */
    public JobLine {
      Objects.requireNonNull(id);
      Objects.requireNonNull(team);
      Objects.requireNonNull(taskClass);
      Objects.requireNonNull(reason);
      Objects.requireNonNull(zone);
      Objects.requireNonNull(detail);
    }
  }

  /** A zone: how many of its machines are not heard, and whether it is held to be cut off. */
  public record ZoneLine(String name, int machines, int silent, boolean cut, double cutForS) {
    /** Has no text that is not there. */
    public ZoneLine {
      Objects.requireNonNull(name);
    }
  }

  /** Machines of one zone, type and kind. */
  public record MachineLine(
      String zone,
      String type,
      boolean spot,
      int machines,
      int booting,
      int empty,
      int silent,
      int doubted,
      int leaving,
      double cpus,
      double bookedCpus,
      double moneyPerHour,
      double refusedForS) {
    /** Has no text that is not there. */
    public MachineLine {
      Objects.requireNonNull(zone);
      Objects.requireNonNull(type);
    }
  }

  /** Waiting tasks alike in team, class and reason. */
  public record ReasonLine(
      String team,
      String taskClass,
      String reason,
      int jobs,
      int tasks,
      double longestS,
      String exampleJob,
      String detail) {
    /** Has no text that is not there. */
    public ReasonLine {
      Objects.requireNonNull(team);
      Objects.requireNonNull(taskClass);
      Objects.requireNonNull(reason);
      Objects.requireNonNull(exampleJob);
      Objects.requireNonNull(detail);
    }
  }
}
