package org.mallowroad.core.autoscaling;

import org.mallowroad.core.MachineType;

/** A kind of machine that the cloud offers: a machine type in a zone, on-demand or spot. */
public record MachineVariant(MachineType type, int zone, boolean spot) {
  /** Planned boot time in ms for each second of the type's boot time: a margin of 5%. */
  private static final int PLANNED_BOOT_MS_PER_S = 1050;

  /** A number that is unique to the variant, for use as a hash table key. */
  public long key() {
    return ((long) type.index() << 32) | ((long) zone << 1) | (spot ? 1 : 0);
  }

  /** The price of one machine per hour. */
  public double price() {
    return type.price(spot);
  }

  /** Time from a request to the machine's first heartbeat that plans assume, in milliseconds. */
  public long plannedBootMs() {
    return (long) (type.bootS() * PLANNED_BOOT_MS_PER_S);
  }
}
