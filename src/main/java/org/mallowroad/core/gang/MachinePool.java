package org.mallowroad.core.gang;

import java.util.Collection;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Machine;
import org.mallowroad.core.health.FleetHealth;

/**
 * The operations on the cluster's machines that gang reservations need. The scheduler state
 * implements this interface, so that this package does not depend on the class that uses it.
 */
public interface MachinePool {
  /** All machines that are not proven deleted, in the order in which they became known. */
  Collection<Machine> machines();

  /** The machine of this name, or null. */
  Machine machine(String name);

  /** The number of zones; zone indices range from 0 to this number less one. */
  int zones();

  /** The evidence about the health of machines and zones. */
  FleetHealth health();

  /** True when the machine currently accepts new tasks of any job. */
  boolean acceptsNewTasks(Machine machine, long now);

  /**
   * Requests that an attempt be stopped.
   *
   * @param graceS seconds that the attempt has to save its progress
   */
  void requestStop(Attempt attempt, double graceS, long now);
}
