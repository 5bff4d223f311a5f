package org.mallowroad.core.explain;

import java.util.List;
import java.util.Objects;

/**
 * A node's view of the cluster at one moment. It is immutable and contains names instead of
 * indices, so that any thread may store and serve it. Times are ages in seconds at the moment of
 * the snapshot, since readers share no clock with the node; -1 means unknown. The list of jobs is
 * bounded, and the number of omitted jobs is stated.
 *
 * @param format version of this format; readers ignore fields that they do not know
 * @param node name of the node
 * @param phase role of the node
 * @param term the leader's term, or the latest term that the node has seen
 * @param leader name of the leader that the node knows of, or empty
 * @param atMs wall-clock time in ms at which the snapshot was completed, for display only
 * @param madeUs time in µs that the event loop spent on building the snapshot
 * @param lagMs maximum event loop lag of the last seconds, in ms
 * @param stateSilenceS time in seconds since the latest request that the state service executed was
 *     sent
 * @param firm true when the node leads and its lease is valid
 * @param jobs open jobs, at most {@link SnapshotBuilder#MAX_JOBS}
 * @param jobsLeftOut number of open jobs that are not listed
 * @param reasons pending tasks, grouped by team, task class and cause
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

  /** Version of the format that this build writes. */
  public static final int FORMAT_VERSION = 1;

  /** Role of a node. */
  public enum Phase {
    /** The node leads and places tasks. */
    LEADING,
    /** The node leads, and still reads records or waits for the workers' first heartbeats. */
    TAKING_OVER,
    /** Another node leads. */
    FOLLOWING,
    /** The node knows of no leader. */
    NO_LEADER
  }

  /**
   * Totals of the cluster.
   *
   * @param jobs number of jobs
   * @param waiting number of pending tasks
   * @param starting number of attempts that do not run yet and are not counted as silent
   * @param running number of running tasks
   * @param machines number of registered machines
   * @param booting number of requested machines that have not sent a heartbeat yet
   * @param started number of attempts started in this term
   * @param completed number of tasks completed in this term
   * @param moneyPerHour current price of all machines per hour, booting ones included
   * @param uncommitted number of records that wait to be committed
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

  /** A team's CPU usage, guarantee and limit (0: unlimited), and its pending and running tasks. */
  public record TeamLine(
      String name,
      double usedCpus,
      double guaranteeCpus,
      double limitCpus,
      int waiting,
      int running) {
    /** Rejects null names and texts, so that incomplete JSON is not decoded. */
    public TeamLine {
      Objects.requireNonNull(name);
    }
  }

  /**
   * An open job.
   *
   * @param priority from 0 (critical) to 3 (idle)
   * @param tasks number of tasks
   * @param done number of completed tasks
   * @param running number of running tasks
   * @param starting number of attempts that do not run yet and are not counted as silent
   * @param waiting number of pending tasks
   * @param silent number of committed attempts on silent machines
   * @param ageS time since the submission, in seconds
   * @param hasDue true when the job has a deadline
   * @param dueS time left until the deadline in seconds, negative after it, 0 without a deadline
   * @param guaranteed true when the job is within its team's guarantee
   * @param failures number of consecutive failures
   * @param reason name of the cause for which tasks do not run, or empty when all of them run
   * @param sinceS how long the cause has existed, in seconds
   * @param inS time in seconds until the latest or expected end of the cause
   * @param zone name of the zone that is the cause, or empty
   * @param detail evidence for the cause as text
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
    /** Rejects null names and texts, so that incomplete JSON is not decoded. */
    public JobLine {
      Objects.requireNonNull(id);
      Objects.requireNonNull(team);
      Objects.requireNonNull(taskClass);
      Objects.requireNonNull(reason);
      Objects.requireNonNull(zone);
      Objects.requireNonNull(detail);
    }
  }

  /**
   * A zone and its machines.
   *
   * @param machines number of machines in the zone
   * @param silent number of silent machines in the zone
   * @param cut true when the zone is considered partitioned from the controller
   * @param cutForS how long the zone has been considered partitioned, in seconds
   */
  public record ZoneLine(String name, int machines, int silent, boolean cut, double cutForS) {
    /** Rejects null names and texts, so that incomplete JSON is not decoded. */
    public ZoneLine {
      Objects.requireNonNull(name);
    }
  }

  /**
   * Machines of one variant, that is of one zone and type, and either spot or not.
   *
   * @param machines number of registered machines
   * @param booting number of requested machines that have not sent a heartbeat yet
   * @param empty number of machines without tasks
   * @param silent number of silent machines
   * @param doubted number of machines that are suspected to be slow or faulty
   * @param leaving number of machines that are being drained or deleted, or have failed
   * @param cpus total CPUs of the registered machines
   * @param bookedCpus CPUs that are allocated to tasks
   * @param moneyPerHour price of the registered and booting machines per hour
   * @param refusedForS how long the cloud has refused this variant in seconds, -1 if it does not
   */
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
    /** Rejects null names and texts, so that incomplete JSON is not decoded. */
    public MachineLine {
      Objects.requireNonNull(zone);
      Objects.requireNonNull(type);
    }
  }

  /**
   * Tasks of the same team and task class that do not run for the same cause.
   *
   * @param reason name of the cause
   * @param jobs number of jobs
   * @param tasks number of tasks
   * @param longestS how long the cause has existed for {@code exampleJob}, in seconds
   * @param exampleJob id of the job for which the cause has existed longest
   * @param detail evidence for the cause of {@code exampleJob}
   */
  public record ReasonLine(
      String team,
      String taskClass,
      String reason,
      int jobs,
      int tasks,
      double longestS,
      String exampleJob,
      String detail) {
    /** Rejects null names and texts, so that incomplete JSON is not decoded. */
    public ReasonLine {
      Objects.requireNonNull(team);
      Objects.requireNonNull(taskClass);
      Objects.requireNonNull(reason);
      Objects.requireNonNull(exampleJob);
      Objects.requireNonNull(detail);
    }
  }
}
