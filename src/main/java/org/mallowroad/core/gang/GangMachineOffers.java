package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.List;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;

/**
 * The machines that the cloud can provide for a gang: the cheapest variant, its boot time, and how
 * many tasks fit on the machines that are still available.
 *
 * <p>A negative zone means the whole fleet.
 */
final class GangMachineOffers {
  /** A variant is not requested for this long after the cloud refused it. */
  private static final long REFUSAL_BACKOFF_MS = 20_000;

  /** How long the number of machines at a refusal is used as the variant's limit. */
  private static final long VARIANT_LIMIT_TTL_MS = 120_000;

  /** Most machines of a variant that the cloud is assumed to provide, until a time. */
  private record VariantLimit(long untilMs, long machines) {}

  private final MachinePool machinePool;
  private final Long2LongOpenHashMap refusedUntilMs = new Long2LongOpenHashMap();
  private final Long2ObjectOpenHashMap<VariantLimit> limits = new Long2ObjectOpenHashMap<>();
  private final SpotInterruptionRate interruptions = new SpotInterruptionRate();
  private List<MachineType> types = List.of();

  GangMachineOffers(MachinePool machinePool) {
    this.machinePool = machinePool;
  }

  /** Sets the machine types that the cloud offers. */
  void setTypes(List<MachineType> offered) {
    types = offered;
  }

  /** True once the offered machine types are known. */
  boolean hasTypes() {
    return !types.isEmpty();
  }

  /** Updates the rate of spot interruptions. */
  void observeInterruptions(long now) {
    interruptions.observe(machinePool.machines(), now);
  }

  /**
   * Records that the cloud provided fewer machines than requested.
   *
   * @param total number of machines of the variant at that time, including pending ones
   */
  void recordRefusal(MachineVariant variant, int total, long now) {
    refusedUntilMs.put(variant.key(), now + REFUSAL_BACKOFF_MS);
    limits.put(variant.key(), new VariantLimit(now + VARIANT_LIMIT_TTL_MS, total));
  }

  /** Planned boot time of a machine requested now for the gang; -1 when none can be requested. */
  long bootMs(JobSpec spec, int zone, long now) {
    MachineVariant variant = cheapestVariant(spec, zone, now);
    return variant == null ? -1 : variant.plannedBootMs();
  }

  /**
   * Upper bound of the tasks that fit on machines requested now. For a variant that was refused the
   * cloud is assumed to provide only replacements of machines that were lost since the refusal.
   */
  long attainableSlots(JobSpec spec, int zone, long now) {
    long total = 0;
    for (MachineType type : types) {
      for (int typeZone : type.zones()) {
        if ((zone >= 0 && typeZone != zone) || !type.fits(spec)) {
          continue;
        }
        total += attainableSlots(spec, new MachineVariant(type, typeZone, true), now);
        total += attainableSlots(spec, new MachineVariant(type, typeZone, false), now);
      }
    }
    return total;
  }

  private long attainableSlots(JobSpec spec, MachineVariant variant, long now) {
    if (!spec.allows(variant.type().index(), variant.zone(), variant.spot())) {
      return 0;
    }
    VariantLimit limit = limits.get(variant.key());
    if (limit == null || limit.untilMs < now) {
      return spec.tasks();
    }
    long machines = Math.max(0, limit.machines - machineCount(variant));
    return machines * variant.type().capacityFor(spec);
  }

  private int machineCount(MachineVariant variant) {
    int count = 0;
    for (Machine machine : machinePool.machines()) {
      boolean isSameVariant =
          machine.type.index() == variant.type().index()
              && machine.zone == variant.zone()
              && machine.spot == variant.spot();
      count += isSameVariant && !machine.failed && !machine.deleting ? 1 : 0;
    }
    return count;
  }

  /**
   * The variant on which the gang costs least, including expected restarts after spot
   * interruptions; null when none may be requested in the zone.
   */
  MachineVariant cheapestVariant(JobSpec spec, int zone, long now) {
    MachineVariant cheapest = null;
    double lowestCost = Double.MAX_VALUE;
    for (MachineType type : types) {
      if (!type.fits(spec)) {
        continue;
      }
      int capacity = Math.max(1, Math.min(spec.tasks(), type.capacityFor(spec)));
      // One spot interruption restarts the whole gang, so spot machines may cost more in total.
      double expectedRuns =
          interruptions.expectedRuns((spec.tasks() + capacity - 1) / capacity, spec.estimateS());
      for (int typeZone : type.zones()) {
        if ((zone >= 0 && typeZone != zone)
            || machinePool.health().failureDetector().isPartitioned(typeZone)) {
          continue;
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant variant = new MachineVariant(type, typeZone, k == 0);
          double cost = variant.price() * (variant.spot() ? expectedRuns : 1) / capacity;
          if (spec.allows(type.index(), typeZone, variant.spot())
              && refusedUntilMs.get(variant.key()) <= now
              && cost < lowestCost) {
            lowestCost = cost;
            cheapest = variant;
          }
        }
      }
    }
    return cheapest;
  }
}
