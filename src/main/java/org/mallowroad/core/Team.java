package org.mallowroad.core;

/** A team's guarantee and limit, and what its attempts take that are not proven gone. */
public final class Team {
  /** Its name in the settings. */
  public final String name;

  final double guaranteedCpus;
  final double guaranteedCards;
  final double cpuLimit;
  final double cardLimit;
  double usedCpus;
  double usedCards;

  /** The part of the used CPUs that is taken by attempts whose stop was requested. */
  double stoppingCpus;

  /** A team as the settings give it; a limit of 0 is none. */
  public Team(String name, double cpus, double cards, double cpusMax, double cardsMax) {
    this.name = name;
    this.guaranteedCpus = cpus;
    this.guaranteedCards = cards;
    // The platform's "0 means none": a team that is a guest has neither guarantee nor limit. Taken
    // for a limit of 0, every job of such a team was refused (docs/incidents, guests-refused).
    this.cpuLimit = cpusMax > 0 ? cpusMax : Double.POSITIVE_INFINITY;
    this.cardLimit = cardsMax > 0 ? cardsMax : Double.POSITIVE_INFINITY;
  }

  /** True when {@code tasks} more tasks of the job stay within the limit. */
  public boolean isWithinLimit(JobSpec job, int tasks) {
    return usedCpus + tasks * job.cpus() <= cpuLimit + ResourceVector.EPSILON
        && usedCards + tasks * job.cards() <= cardLimit + ResourceVector.EPSILON;
  }

  /** How many more tasks of the job stay within the limit, {@code tasks} at the most. */
  public int maxAdditionalTasks(JobSpec job, int tasks) {
    return new ResourceVector(cpuLimit - usedCpus, cardLimit - usedCards, Double.MAX_VALUE)
        .capacityFor(job, tasks);
  }

  /** How many of the job's tasks the limit allows at once, with nothing else of the team. */
  public int maxConcurrentTasks(JobSpec job) {
    return new ResourceVector(cpuLimit, cardLimit, Double.MAX_VALUE).capacityFor(job, job.tasks());
  }

  /** True when {@code tasks} tasks of the job alone stay within the limit. */
  public boolean canEverRun(JobSpec job, int tasks) {
    return tasks * job.cpus() <= cpuLimit + ResourceVector.EPSILON
        && tasks * job.cards() <= cardLimit + ResourceVector.EPSILON;
  }

  /** True when one more task of the job keeps the team within its guarantee. */
  public boolean staysWithinGuarantee(JobSpec job) {
    return usedCpus + job.cpus() <= guaranteedCpus + ResourceVector.EPSILON
        && usedCards + job.cards() <= guaranteedCards + ResourceVector.EPSILON;
  }

  /** True when the team keeps its guarantee in full without one task of the job. */
  public boolean keepsGuaranteeWithout(JobSpec job) {
    // What is stopping already is as good as gone: many tasks may be stopped in one pass.
    return usedCpus - stoppingCpus - job.cpus() >= guaranteedCpus - ResourceVector.EPSILON
        && (job.cards() == 0
            || usedCards - job.cards() >= guaranteedCards - ResourceVector.EPSILON);
  }

  void add(JobSpec job, int tasks) {
    usedCpus += tasks * job.cpus();
    usedCards += tasks * job.cards();
  }

  /** Guaranteed cards. */
  public double guaranteedCards() {
    return guaranteedCards;
  }

  /** Guaranteed CPUs. */
  public double guaranteedCpus() {
    return guaranteedCpus;
  }

  /** Limit of CPUs; infinite without one. */
  public double cpuLimit() {
    return cpuLimit;
  }

  /** Limit of cards; infinite without one. */
  public double cardLimit() {
    return cardLimit;
  }

  /** Cards that attempts take. */
  public double usedCards() {
    return usedCards;
  }

  /** CPUs that attempts take. */
  public double usedCpus() {
    return usedCpus;
  }
}
