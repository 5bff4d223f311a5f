package org.mallowroad.core;

/**
 * What the cloud says of a machine type.
 *
 * @param index a dense number, for bit sets and arrays
 * @param cards accelerator cards
 * @param cacheGb size of the image cache
 * @param fetchGbPerS rate at which the machine fetches images
 * @param price of an ordinary machine an hour
 * @param spotPrice of a spot machine an hour
 * @param bootS usual boot time in seconds
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

  /** How many tasks of the job fit on an empty machine of this type. */
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

  /** The price of an ordinary or a spot machine an hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
