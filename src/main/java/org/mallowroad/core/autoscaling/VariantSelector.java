package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.health.FailureDetector;

/** Chooses the machine variant to request, by price and by what the cloud refused lately. */
final class VariantSelector {
  /** A variant is cheap when a CPU costs up to this multiple of the cheapest CPU there is. */
  private static final double CHEAP_PRICE_FACTOR = 2;

  /** Raises the cost for each requested machine, to spread equal prices over the zones. */
  private static final double SPREAD_FACTOR = 1e-5;

  private final FailureDetector failureDetector;
  private final VariantRefusals refusals;

  VariantSelector(FailureDetector failureDetector, VariantRefusals refusals) {
    this.failureDetector = failureDetector;
    this.refusals = refusals;
  }

  /** True when a machine of the type may be requested in any of its zones. */
  boolean isObtainable(MachineType type, long now) {
    for (int zone : type.zones()) {
      if (!failureDetector.isPartitioned(zone)
          && (!refusals.isActive(new MachineVariant(type, zone, true), now)
              || !refusals.isActive(new MachineVariant(type, zone, false), now))) {
        return true;
      }
    }
    return false;
  }

  /** True when a CPU of the variant costs little more than the cheapest one of all types. */
  static boolean isCheap(MachineVariant variant, List<MachineType> types) {
    double lowestPrice = Double.MAX_VALUE;
    for (MachineType type : types) {
      lowestPrice = Math.min(lowestPrice, Math.min(type.price(), type.spotPrice()) / type.cpus());
    }
    return variant.price() / variant.type().cpus() <= CHEAP_PRICE_FACTOR * lowestPrice;
  }

  /**
   * The variant on which the job's waiting tasks cost least, as far as they fill a machine; null
   * when none is available.
   *
   * @param requested machines requested in this cycle
   */
  MachineVariant cheapestFor(
      Job job,
      int tasks,
      List<MachineType> types,
      Object2IntLinkedOpenHashMap<MachineVariant> requested,
      long now) {
    MachineVariant cheapest = null;
    double lowestCost = Double.MAX_VALUE;
    for (MachineType type : types) {
      if (!type.fits(job.spec)) {
        continue;
      }
      int capacity = Math.min(tasks, type.capacityFor(job.spec));
      for (int zone : type.zones()) {
        for (int k = 0; k < 2; k++) {
          MachineVariant variant = new MachineVariant(type, zone, k == 0);
          int count = requested.getInt(variant);
          if (!job.spec.allows(type.index(), zone, variant.spot())
              || isUnavailable(variant, count, now)
              || !job.allowsZone(zone)) {
            continue;
          }
          // Equal prices spread over the zones, so that the loss of one zone costs less.
          double cost = variant.price() / capacity * (1 + SPREAD_FACTOR * count);
          if (cost < lowestCost) {
            lowestCost = cost;
            cheapest = variant;
          }
        }
      }
    }
    return cheapest;
  }

  private boolean isUnavailable(MachineVariant variant, int requested, long now) {
    return failureDetector.isPartitioned(variant.zone())
        || refusals.isUnavailable(variant, requested, now);
  }

  /**
   * The cheapest variant that fits any job of the queue; null while it is refused, since low spare
   * capacity alone is no reason to request a more expensive one.
   */
  MachineVariant cheapestForQueue(List<Job> queue, List<MachineType> types, long now) {
    MachineVariant cheapest = null;
    double lowestPrice = Double.MAX_VALUE;
    for (MachineType type : types) {
      if (!queue.isEmpty() && queue.stream().noneMatch(j -> type.fits(j.spec))) {
        continue;
      }
      for (int zone : type.zones()) {
        if (failureDetector.isPartitioned(zone)) {
          continue; // Machines there could not reach this leader.
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant variant = new MachineVariant(type, zone, k == 0);
          if (variant.price() < lowestPrice
              || (variant.price() == lowestPrice && refusals.isActive(cheapest, now))) {
            lowestPrice = variant.price();
            cheapest = variant;
          }
        }
      }
    }
    return cheapest == null || refusals.isActive(cheapest, now) ? null : cheapest;
  }
}
