package org.mallowroad.core;

/**
 * A machine type as the cloud offers it.
 *
 * @param index dense index, for bit sets and arrays
 * @param name name in the cloud's API
 * @param cpus number of CPUs
 * @param cards number of accelerator cards
 * @param memGb memory in GB
 * @param cacheGb size of the image cache in GB
 * @param fetchGbPerS rate at which the machine fetches images, in GB/s
 * @param price price of an on-demand machine per hour
 * @param spotPrice price of a spot machine per hour
 * @param bootS typical boot time in seconds
 * @param zones indices of the zones where the type is offered
 */
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

  /** True when one task of the job fits on an empty machine of this type. */
  public boolean fits(JobSpec job) {
    return job.cpus() <= cpus + ResourceVector.EPSILON
        && job.cards() <= cards + ResourceVector.EPSILON
        && job.memGb() <= memGb + ResourceVector.EPSILON;
  }

  /** Number of the job's tasks that fit on an empty machine of this type. */
  public int capacityFor(JobSpec job) {
    return new ResourceVector(cpus, cards, memGb).capacityFor(job, 1_000_000);
  }

  /** True when the cloud offers the type in the zone. */
  public boolean isOfferedIn(int zone) {
    for (int offered : zones) {
      if (offered == zone) {
        return true;
      }
    }
    return false;
  }

  /** Price per hour of an on-demand or spot machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
