package org.mallowroad.core.autoscaling;

/**
 * Machines that are rented but have not sent a heartbeat yet. They will take waiting tasks.
 *
 * @param sinceMs when they were rented
 * @param gang id of the gang that they are reserved for; null when any waiting task may use them
 */
public record PendingMachines(MachineVariant variant, int count, long sinceMs, String gang) {
  /** Machines that any waiting task may use. */
  public PendingMachines(MachineVariant variant, int count, long sinceMs) {
    this(variant, count, sinceMs, null);
  }
}
