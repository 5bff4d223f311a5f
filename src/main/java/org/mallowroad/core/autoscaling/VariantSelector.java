package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.health.FailureDetector;

/** Selects the machine variant to request by price, without variants that the cloud refused. */
final class VariantSelector {
  /** A variant is cheap when its price per CPU is at most this multiple of the lowest one. */
  private static final double CHEAP_PRICE_FACTOR = 2;

  /** Relative cost added for each requested machine, to spread equal prices over the zones. */
  private static final double SPREAD_FACTOR = 1e-5;

  private final FailureDetector failureDetector;
  private final VariantRefusals refusals;

  VariantSelector(FailureDetector failureDetector, VariantRefusals refusals) {
    this.failureDetector = failureDetector;
    this.refusals = refusals;
  }

  /** True when a machine of the type may be requested in any of its zones, on-demand or spot. */
  boolean isObtainable(MachineType type, long now) {
    for (int zone : type.zones()) {
      if (!failureDetector.isPartitioned(zone)
          && (!refusals.isBackingOff(new MachineVariant(type, zone, true), now)
              || !refusals.isBackingOff(new MachineVariant(type, zone, false), now))) {
        return true;
      }
    }
    return false;
  }

  /** True when the variant's price per CPU is close to the lowest one of all types. */
  static boolean isCheap(MachineVariant variant, List<MachineType> types) {
    double lowestPrice = Double.MAX_VALUE;
    for (MachineType type : types) {
      lowestPrice = Math.min(lowestPrice, Math.min(type.price(), type.spotPrice()) / type.cpus());
    }
    return variant.price() / variant.type().cpus() <= CHEAP_PRICE_FACTOR * lowestPrice;
  }

  /**
   * The available variant with the lowest cost per task; null when none is available. The cost of a
   * machine is divided by the number of the job's waiting tasks that fit on it.
   *
   * @param tasks number of waiting tasks of the job
   * @param requested number of machines already requested in this cycle, by variant
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
          // Equal prices are spread over the zones, so that the failure of one zone costs less.
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
   * The cheapest variant that fits any job of the queue; null while that variant backs off, since
   * low spare capacity alone does not justify requesting a more expensive one.
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
          continue; // Machines in a partitioned zone could not reach this leader.
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant variant = new MachineVariant(type, zone, k == 0);
          if (variant.price() < lowestPrice
              || (variant.price() == lowestPrice && refusals.isBackingOff(cheapest, now))) {
            lowestPrice = variant.price();
            cheapest = variant;
          }
        }
      }
    }
    return cheapest == null || refusals.isBackingOff(cheapest, now) ? null : cheapest;
  }
}
