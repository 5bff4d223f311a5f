package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.longs.Long2LongOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.List;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;

/** What the cloud can add for a gang: the cheapest variant, its boot time, and how many tasks. */
final class GangMachineOffers {
  /** No machine of a variant is requested for this long after the cloud refused one. */
  private static final long REFUSAL_MS = 20_000;

  /** The number of machines of a variant when it was refused is its limit for this long. */
  private static final long LIMIT_MS = 120_000;

  /** The most machines of a variant that the cloud is known to provide, valid until a time. */
  private record VariantLimit(long untilMs, long machines) {}

  private final MachinePool machinePool;
  private final Long2LongOpenHashMap refusedUntilMs = new Long2LongOpenHashMap();
  private final Long2ObjectOpenHashMap<VariantLimit> limits = new Long2ObjectOpenHashMap<>();
  private final SpotInterruptionRate interruptions = new SpotInterruptionRate();
  private List<MachineType> types = List.of();

  GangMachineOffers(MachinePool machinePool) {
    this.machinePool = machinePool;
  }

  /** Updates the machine types that the cloud offers. */
  void setTypes(List<MachineType> offered) {
    types = offered;
  }

  /** True once the offered machine types are known. */
  boolean isKnown() {
    return !types.isEmpty();
  }

  /** Counts spot interruptions since the last call. */
  void observeInterruptions(long now) {
    interruptions.observe(machinePool.machines(), now);
  }

  /** Records that the cloud had fewer machines than requested; {@code total} is what there is. */
  void recordRefusal(MachineVariant variant, int total, long now) {
    refusedUntilMs.put(variant.key(), now + REFUSAL_MS);
    limits.put(variant.key(), new VariantLimit(now + LIMIT_MS, total));
  }

  /** The boot time of a machine requested now for the gang; -1 where none can be requested. */
  long bootMs(JobSpec spec, int zone, long now) {
    MachineVariant variant = cheapestVariant(spec, zone, now);
    return variant == null ? -1 : variant.plannedBootMs();
  }

  /**
   * The most tasks that machines requested now could have room for. Of a variant that was refused
   * the cloud has no more than there were then: it may only replace what was lost since.
   */
  long attainablePlaces(JobSpec spec, int zone, long now) {
    long sum = 0;
    for (MachineType type : types) {
      for (int typeZone : type.zones()) {
        if ((zone >= 0 && typeZone != zone) || !type.fits(spec)) {
          continue;
        }
        sum += attainablePlaces(spec, new MachineVariant(type, typeZone, true), now);
        sum += attainablePlaces(spec, new MachineVariant(type, typeZone, false), now);
      }
    }
    return sum;
  }

  private long attainablePlaces(JobSpec spec, MachineVariant variant, long now) {
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
      boolean matches =
          machine.type.index() == variant.type().index()
              && machine.zone == variant.zone()
              && machine.spot == variant.spot();
      count += matches && !machine.failed && !machine.deleting ? 1 : 0;
    }
    return count;
  }

  /**
   * The variant on which the gang costs least, restarts after spot interruptions included; null
   * when none may be requested in the zone.
   */
  MachineVariant cheapestVariant(JobSpec spec, int zone, long now) {
    MachineVariant cheapest = null;
    double lowestCost = Double.MAX_VALUE;
    for (MachineType type : types) {
      if (!type.fits(spec)) {
        continue;
      }
      int capacity = Math.max(1, Math.min(spec.tasks(), type.capacityFor(spec)));
      // The interruption of one machine ends the run of all: spot may cost more in the end.
      double runs =
          interruptions.expectedRuns((spec.tasks() + capacity - 1) / capacity, spec.estimateS());
      for (int typeZone : type.zones()) {
        if ((zone >= 0 && typeZone != zone)
            || machinePool.health().failureDetector().isPartitioned(typeZone)) {
          continue;
        }
        for (int k = 0; k < 2; k++) {
          MachineVariant variant = new MachineVariant(type, typeZone, k == 0);
          double cost = variant.price() * (variant.spot() ? runs : 1) / capacity;
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
