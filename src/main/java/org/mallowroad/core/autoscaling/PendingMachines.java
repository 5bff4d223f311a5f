package org.mallowroad.core.autoscaling;

/**
 * Machines of one variant that were requested from the cloud and have not sent a heartbeat yet.
 *
 * @param count number of machines
 * @param requestedMs when they were requested, in milliseconds
 * @param gangId id of the gang that they were requested for; null when any task may use them
 */
public record PendingMachines(MachineVariant variant, int count, long requestedMs, String gangId) {
  /** Creates pending machines that any task may use. */
  public PendingMachines(MachineVariant variant, int count, long sinceMs) {
    this(variant, count, sinceMs, null);
  }
}
