package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;

/**
 * Evidence about one machine, of bounded size. The detectors of this package keep their per-machine
 * state in the package-private fields, which saves a map from machines to that state.
 */
public final class MachineHealth {
  /** Maximum number of run-time samples that are kept; the newest ones replace the oldest. */
  static final int MAX_SAMPLES = 12;

  /** Why a machine is avoided. */
  public enum Suspicion {
    /** The machine is trusted. */
    NONE,
    /** Its tasks take much longer than comparable tasks elsewhere. */
    SLOW,
    /** Tasks of several jobs failed on it, and those jobs do not fail on other machines. */
    FAULTY,
    /** The fetch of an image did not complete within several times its expected duration. */
    NO_IMAGE
  }

  /** The machine's name, for logs. */
  public final String name;

  final int zone;
  private final OutboundReachability outboundReachability = new OutboundReachability();

  // Maintained by FailureDetector.

  /**
   * Arrival time of the last heartbeat. It lies in the future for a new machine whose worker is
   * still given time to find the leader.
   */
  long lastHeartbeatMs;

  boolean heartbeatOverdue;

  // Maintained by StragglerDetector.

  /**
   * Ring buffer of the newest samples: the logarithm of a task's run time divided by the run time
   * that was expected of it.
   */
  final double[] logSlowdowns = new double[MAX_SAMPLES];

  /** Number of samples taken; modulo the size of the ring buffer, the index of the next one. */
  int sampleCount;

  /** Number of running tasks that have already taken much longer than comparable tasks. */
  int overdueTasks;

  /** Jobs whose tasks failed on the machine since the last task that succeeded there. */
  final IntOpenHashSet failedJobs = new IntOpenHashSet(4);

  Suspicion suspicion = Suspicion.NONE;

  /** Time of the newest evidence for the current suspicion. */
  long newestEvidenceMs;

  /** Creates the record of a machine about which there is no evidence yet. */
  public MachineHealth(String name, int zone) {
    this.name = name;
    this.zone = zone;
  }

  /** Detects whether this controller's messages reach the machine. */
  public OutboundReachability outboundReachability() {
    return outboundReachability;
  }

  /** Why the machine is avoided, or {@link Suspicion#NONE}. */
  public Suspicion suspicion() {
    return suspicion;
  }

  /**
   * True when the machine is suspect: it gets no urgent tasks and no gangs, and other tasks only
   * after all trusted machines.
   */
  public boolean isSuspect() {
    return suspicion != Suspicion.NONE;
  }

  /** True when the machine's heartbeat was overdue at the latest evaluation. */
  public boolean isHeartbeatOverdue() {
    return heartbeatOverdue;
  }

  /** Index of the machine's zone. */
  public int zone() {
    return zone;
  }

  /**
   * How many times as long as expected the machine's tasks took: the median of the newest samples,
   * or 1 without samples.
   */
  public double slowdown() {
    int count = Math.min(sampleCount, MAX_SAMPLES);
    return count == 0 ? 1 : Math.exp(Medians.of(logSlowdowns, count));
  }
}
