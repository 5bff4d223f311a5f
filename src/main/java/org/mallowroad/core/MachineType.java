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
    return job.cpus() <= cpus + Room.EPS
        && job.cards() <= cards + Room.EPS
        && job.memGb() <= memGb + Room.EPS;
  }

  /** How many tasks of the job an empty machine of this type holds. */
  public int holds(JobSpec job) {
    double n = 1e6;
    if (job.cpus() > 0) {
      n = Math.min(n, (cpus + Room.EPS) / job.cpus());
    }
    if (job.cards() > 0) {
      n = Math.min(n, (cards + Room.EPS) / job.cards());
    }
    if (job.memGb() > 0) {
      n = Math.min(n, (memGb + Room.EPS) / job.memGb());
    }
    return (int) n;
  }

  /** True when machines of this type are rented in the zone. */
  public boolean in(int zone) {
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
