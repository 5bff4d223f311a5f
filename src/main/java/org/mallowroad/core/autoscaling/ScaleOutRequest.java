package org.mallowroad.core.autoscaling;

/**
 * A request to the cloud for machines of one variant.
 *
 * @param count number of machines; at most {@link #MAX_MACHINES}
 * @param gangId id of the gang that the machines are for; null when any task may use them
 */
public record ScaleOutRequest(MachineVariant variant, int count, String gangId) {
  /** Most machines that the cloud provides in one call. */
  public static final int MAX_MACHINES = 50;

  /** Creates a request for machines that any task may use. */
  public ScaleOutRequest(MachineVariant variant, int count) {
    this(variant, count, null);
  }
}
