package org.mallowroad.core.autoscaling;

import org.mallowroad.core.MachineType;

/** What the cloud offers for rent: a machine type in a zone, on demand or as a spot machine. */
public record MachineVariant(MachineType type, int zone, boolean spot) {
  /** Plans add a twentieth to the boot time that the type states; in ms for each second of it. */
  private static final int PLANNED_BOOT_MS_PER_S = 1050;

  /** A number that identifies the variant: equal for equal variants, different for others. */
  public long key() {
    return ((long) type.index() << 32) | ((long) zone << 1) | (spot ? 1 : 0);
  }

  /** The price of one machine for an hour. */
  public double price() {
    return type.price(spot);
  }

  /** Time from a rental to the first heartbeat that plans count on, in milliseconds. */
  public long plannedBootMs() {
    return (long) (type.bootS() * PLANNED_BOOT_MS_PER_S);
  }
}
