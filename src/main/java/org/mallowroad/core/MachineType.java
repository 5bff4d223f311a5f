package org.mallowroad.core;

/** What the cloud says of a machine type; prices are per hour. */
public record MachineType(
    int index,
    String name,
    double cpus,
    double cards,
    double memGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    int[] zones) {

  /** True when an empty machine of this type has room for one task of the job. */
  public boolean fits(JobSpec job) {
    return job.cpus() <= cpus + ResourceVector.EPSILON
        && job.cards() <= cards + ResourceVector.EPSILON
        && job.memGb() <= memGb + ResourceVector.EPSILON;
  }

  /** How many tasks of the job an empty machine of this type holds. */
  public int capacityFor(JobSpec job) {
    return new ResourceVector(cpus, cards, memGb).capacityFor(job, 1_000_000);
  }

  /** True when machines of this type are rented in the zone. */
  public boolean isOfferedIn(int zone) {
    for (int z : zones) {
      if (z == zone) {
        return true;
      }
    }
    return false;
  }

  /** Price an hour of an ordinary or a spot machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
