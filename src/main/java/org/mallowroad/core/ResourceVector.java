package org.mallowroad.core;

/** Amounts of the three resources of a machine: CPUs, accelerator cards, memory. */
public final class ResourceVector {
  /** Amounts are decimal numbers, so sums are compared with this tolerance. */
  public static final double EPSILON = 1e-6;

  /** CPUs; tasks may take parts of one. */
  public double cpus;

  /** Accelerator cards. */
  public double cards;

  /** Memory in GB. */
  public double memGb;

  /** The given amounts. */
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
    double tasks = most;
    if (job.cpus() > 0) {
      tasks = Math.min(tasks, (cpus + EPSILON) / job.cpus());
    }
    if (job.cards() > 0) {
      tasks = Math.min(tasks, (cards + EPSILON) / job.cards());
    }
    if (job.memGb() > 0) {
      tasks = Math.min(tasks, (memGb + EPSILON) / job.memGb());
    }
    return (int) Math.max(0, tasks);
  }

  /** Adds what {@code tasks} tasks of the job take; negative to take away. */
  public void add(JobSpec job, int tasks) {
    cpus += tasks * job.cpus();
    cards += tasks * job.cards();
    memGb += tasks * job.memGb();
  }
}
