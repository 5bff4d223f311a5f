package org.mallowroad.core;

/** A team's guarantee and limit, and the usage of its attempts that are not proven gone. */
public final class Team {
  /** The team's name in the settings. */
  public final String name;

  final double guaranteedCpus;
  final double guaranteedCards;
  final double cpuLimit;
  final double cardLimit;
  double usedCpus;
  double usedCards;

  /** Used CPUs of attempts whose stop was requested. */
  double stoppingCpus;

  /** Creates a team from its settings; a limit of 0 means no limit. */
  public Team(
      String name,
      double guaranteedCpus,
      double guaranteedCards,
      double cpuLimit,
      double cardLimit) {
    this.name = name;
    this.guaranteedCpus = guaranteedCpus;
    this.guaranteedCards = guaranteedCards;
    // The platform uses 0 for "no limit"; guest teams have neither guarantee nor limit. When 0 was
    // taken as a limit, every job of such a team was refused (docs/incidents, guests-refused).
    this.cpuLimit = cpuLimit > 0 ? cpuLimit : Double.POSITIVE_INFINITY;
    this.cardLimit = cardLimit > 0 ? cardLimit : Double.POSITIVE_INFINITY;
  }

  /** True when {@code tasks} more tasks of the job keep the team within its limit. */
  public boolean isWithinLimit(JobSpec job, int tasks) {
    return usedCpus + tasks * job.cpus() <= cpuLimit + ResourceVector.EPSILON
        && usedCards + tasks * job.cards() <= cardLimit + ResourceVector.EPSILON;
  }

  /** Number of further tasks of the job that the limit allows, at most {@code max}. */
  public int maxAdditionalTasks(JobSpec job, int max) {
    return new ResourceVector(cpuLimit - usedCpus, cardLimit - usedCards, Double.MAX_VALUE)
        .capacityFor(job, max);
  }

  /** Number of the job's tasks that the limit allows at once if the team runs nothing else. */
  public int maxConcurrentTasks(JobSpec job) {
    return new ResourceVector(cpuLimit, cardLimit, Double.MAX_VALUE).capacityFor(job, job.tasks());
  }

  /**
   * True when {@code tasks} tasks of the job stay within the limit if the team runs nothing else.
   */
  public boolean canEverRun(JobSpec job, int tasks) {
    return tasks * job.cpus() <= cpuLimit + ResourceVector.EPSILON
        && tasks * job.cards() <= cardLimit + ResourceVector.EPSILON;
  }

  /** True when one more task of the job keeps the team within its guarantee. */
  public boolean staysWithinGuarantee(JobSpec job) {
    return usedCpus + job.cpus() <= guaranteedCpus + ResourceVector.EPSILON
        && usedCards + job.cards() <= guaranteedCards + ResourceVector.EPSILON;
  }

  /** True when the team still uses its full guarantee after one task of the job is stopped. */
  public boolean keepsGuaranteeWithout(JobSpec job) {
    // Tasks that are being stopped count as gone, since one pass may stop many tasks.
    return usedCpus - stoppingCpus - job.cpus() >= guaranteedCpus - ResourceVector.EPSILON
        && (job.cards() == 0
            || usedCards - job.cards() >= guaranteedCards - ResourceVector.EPSILON);
  }

  void add(JobSpec job, int tasks) {
    usedCpus += tasks * job.cpus();
    usedCards += tasks * job.cards();
  }

  /** Guaranteed accelerator cards. */
  public double guaranteedCards() {
    return guaranteedCards;
  }

  /** Guaranteed CPUs. */
  public double guaranteedCpus() {
    return guaranteedCpus;
  }

  /** CPU limit; infinite when there is none. */
  public double cpuLimit() {
    return cpuLimit;
  }

  /** Accelerator card limit; infinite when there is none. */
  public double cardLimit() {
    return cardLimit;
  }

  /** Accelerator cards of attempts that are not proven gone. */
  public double usedCards() {
    return usedCards;
  }

  /** CPUs of attempts that are not proven gone. */
  public double usedCpus() {
    return usedCpus;
  }
}
