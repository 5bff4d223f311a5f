package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;

/**
 * Evidence about one machine, of bounded size. The detectors of this package keep their figures for
 * the machine in its package-private fields, which saves a map from machines to figures.
 */
public final class MachineHealth {
  /** Number of newest run times that are kept. */
  static final int MAX_SAMPLES = 12;

  /** Why a machine is avoided. */
  public enum Suspicion {
    /** The machine is trusted. */
    NONE,
    /** Its tasks take much longer than their peers. */
    SLOW,
    /** Tasks of several jobs failed on it that did not fail elsewhere. */
    FAULTY,
    /** An image did not arrive in several times the time that its fetch takes. */
    NO_IMAGE
  }

  /** The machine's name, for logs. */
  public final String name;

  final int zone;
  private final OutboundReachability outboundReachability = new OutboundReachability();

  // Kept by FailureDetector.

  /** Arrival of the last heartbeat; later than now for a machine that is given time to report. */
  long lastHeartbeatMs;

  boolean overdue;

  // Kept by StragglerDetector.

  /** Ring of the newest run times: logarithm of the run time by what is fair for the task. */
  final double[] excess = new double[MAX_SAMPLES];

  /** Samples taken; the next one goes to this index of the ring, modulo its size. */
  int samples;

  /** Running tasks that have taken several times as long as their peers. */
  int overdueTasks;

  /** Jobs whose tasks failed here since the last task that ended well. */
  final IntOpenHashSet failedJobs = new IntOpenHashSet(4);

  Suspicion suspicion = Suspicion.NONE;

  /** Time of the newest evidence for the suspicion. */
  long suspectedMs;

  /** A machine without evidence. */
  public MachineHealth(String name, int zone) {
    this.name = name;
    this.zone = zone;
  }

  /** Whether messages of this controller reach the machine. */
  public OutboundReachability outboundReachability() {
    return outboundReachability;
  }

  /** Why the machine is avoided, or {@link Suspicion#NONE}. */
  public Suspicion suspicion() {
    return suspicion;
  }

  /** True when the machine gets no urgent tasks and no gangs, and other tasks last. */
  public boolean isSuspect() {
    return suspicion != Suspicion.NONE;
  }

  /** True when the machine's heartbeat was overdue at the newest evaluation. */
  public boolean isHeartbeatOverdue() {
    return overdue;
  }

  /** Index of the machine's zone. */
  public int zone() {
    return zone;
  }

  /** How many times as long as their peers its tasks took: median of the newest samples, or 1. */
  public double slowdown() {
    int count = Math.min(samples, MAX_SAMPLES);
    return count == 0 ? 1 : Math.exp(Medians.of(excess, count));
  }
}
