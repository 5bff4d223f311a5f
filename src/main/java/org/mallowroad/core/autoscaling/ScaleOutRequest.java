package org.mallowroad.core.autoscaling;

/**
 * Machines of one variant that are to be rented.
 *
 * @param count number of machines; at most {@link #MAX_MACHINES}
 * @param gang id of the gang that they are reserved for; null when any waiting task may use them
 */
public record ScaleOutRequest(MachineVariant variant, int count, String gang) {
  /** The cloud rents no more machines in one call. */
  public static final int MAX_MACHINES = 50;

  /** Machines that any waiting task may use. */
  public ScaleOutRequest(MachineVariant variant, int count) {
    this(variant, count, null);
  }
}
