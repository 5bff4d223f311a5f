package org.mallowroad.core;

/** Amounts of CPUs, accelerator cards and memory. */
public final class ResourceVector {
  /** Tolerance for comparing sums of floating-point amounts. */
  public static final double EPSILON = 1e-6;

  /** Number of CPUs; may be fractional. */
  public double cpus;

  /** Number of accelerator cards. */
  public double cards;

  /** Memory in GB. */
  public double memGb;

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

  /** Number of the job's tasks that fit, at most {@code max}. */
  public int capacityFor(JobSpec job, int max) {
    double capacity = max;
    if (job.cpus() > 0) {
      capacity = Math.min(capacity, (cpus + EPSILON) / job.cpus());
    }
    if (job.cards() > 0) {
      capacity = Math.min(capacity, (cards + EPSILON) / job.cards());
    }
    if (job.memGb() > 0) {
      capacity = Math.min(capacity, (memGb + EPSILON) / job.memGb());
    }
    return (int) Math.max(0, capacity);
  }

  /** Adds the resources of {@code tasks} tasks of the job; a negative number subtracts them. */
  public void add(JobSpec job, int tasks) {
    cpus += tasks * job.cpus();
    cards += tasks * job.cards();
    memGb += tasks * job.memGb();
  }
}
