package org.mallowroad.core.gang;

import java.util.Collection;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Machine;
import org.mallowroad.core.health.FleetHealth;

/**
 * What gang reservations need to know of the cluster, and the one thing they do to it. The
 * scheduler's state implements it; so this package does not depend on the class that owns it.
 */
public interface MachinePool {
  /** All machines that are not proven deleted, in the order in which they became known. */
  Collection<Machine> machines();

  /** A machine by name, or null. */
  Machine machine(String name);

  /** The number of zones; zone indices are below it. */
  int zones();

  /** What is suspected of machines and zones. */
  FleetHealth health();

  /** True when new work may be started on the machine at all. */
  boolean acceptsNewTasks(Machine machine, long now);

  /**
   * Asks for a stop of an attempt.
   *
   * @param graceS seconds that it has to save its progress
   */
  void requestStop(Attempt attempt, double graceS, long now);
}
