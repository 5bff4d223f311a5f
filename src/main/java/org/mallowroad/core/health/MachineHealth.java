package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;

/** What is suspected of one machine: bounded, and forgotten with it. */
public final class MachineHealth {
  /** Samples of speed kept for a machine. */
  static final int SAMPLES = 12;

  /** Why a machine is out of favour. */
  public enum Doubt {
    /** Nothing is held against it. */
    NONE,
    /** Its tasks take much longer than their peers. */
    SLOW,
    /** Tasks of several jobs failed here that did not fail elsewhere. */
    FAULTY,
    /** An image did not come in several times the time that it takes. */
    NO_IMAGE
  }

  /** The machine's name, for logs. */
  public final String name;

  final int zone;
  final double[] excess = new double[SAMPLES];
  final IntOpenHashSet errorJobs = new IntOpenHashSet(4);
  private final OutboundReachability outboundReachability = new OutboundReachability();
  int samples;
  int overdue;
  long heardMs;
  boolean late;
  Doubt doubt = Doubt.NONE;
  long doubtedMs;

  /** A machine of a zone, known since now. */
  public MachineHealth(String name, int zone) {
    this.name = name;
    this.zone = zone;
  }

  /** Whether what is said to it reaches it. */
  public OutboundReachability outboundReachability() {
    return outboundReachability;
  }

  /** What is held against it. */
  public Doubt doubt() {
    return doubt;
  }

  /** True when it gets no urgent work, no gangs, and other work last. */
  public boolean doubted() {
    return doubt != Doubt.NONE;
  }

  /** True while its report is overdue, as of the newest judgement. */
  public boolean late() {
    return late;
  }

  /** Index of its zone. */
  public int zone() {
    return zone;
  }

  /** How many times longer than their peers its tasks took, by the median of the newest ones. */
  public double pace() {
    int n = Math.min(samples, SAMPLES);
    return n == 0 ? 1 : Math.exp(Medians.of(excess, n));
  }
}
