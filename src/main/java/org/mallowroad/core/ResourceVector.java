package org.mallowroad.core;

/** Free or taken amounts of the three resources of a machine. */
public final class ResourceVector {
  /** Amounts are decimal numbers, so sums are compared with this slack. */
  public static final double EPSILON = 1e-6;

  /** Amounts. */
  public double cpus;

  /** Accelerator cards. */
  public double cards;

  /** Memory. */
  public double memGb;

  /** A room of the given size. */
  public ResourceVector(double cpus, double cards, double memGb) {
    this.cpus = cpus;
    this.cards = cards;
    this.memGb = memGb;
  }

  /** True when one task of the job fits. */
  public boolean fits(JobSpec job) {
    return job.cpus() <= cpus + EPSILON
        && job.cards() <= cards + EPSILON
        && job.memGb() <= memGb + EPSILON;
  }

  /** How many tasks of the job fit, {@code most} at the most. */
  public int capacityFor(JobSpec job, int most) {
    double n = most;
    if (job.cpus() > 0) {
      n = Math.min(n, (cpus + EPSILON) / job.cpus());
    }
    if (job.cards() > 0) {
      n = Math.min(n, (cards + EPSILON) / job.cards());
    }
    if (job.memGb() > 0) {
      n = Math.min(n, (memGb + EPSILON) / job.memGb());
    }
    return (int) Math.max(0, n);
  }

  /** Adds what {@code n} tasks of the job take; negative to take away. */
  public void add(JobSpec job, int n) {
    cpus += n * job.cpus();
    cards += n * job.cards();
    memGb += n * job.memGb();
  }
}
