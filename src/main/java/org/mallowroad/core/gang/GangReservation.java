package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;

/** The machines reserved for one gang, in one zone or the whole fleet, until it can start. */
final class GangReservation {
  /** The zone of a reservation whose scope is the whole fleet. */
  static final int ANY_ZONE = -1;

  final Job job;

  /** The only zone in which machines may be reserved, or {@link #ANY_ZONE}. */
  final int zone;

  final long sinceMs;

  /** Machines requested from the cloud for this reservation so far. */
  int requestedMachines;

  /** Tasks of the gang that have room on the reserved machines. */
  int slots;

  /** Tasks of the gang that have room on the pending machines requested for it. */
  int pendingSlots;

  /** When the machines were last selected among all candidates. */
  long lastSelectionMs = Long.MIN_VALUE / 2;

  private final ReferenceLinkedOpenHashSet<Machine> machines = new ReferenceLinkedOpenHashSet<>();

  GangReservation(Job job, int zone, long now) {
    this.job = job;
    this.zone = zone;
    this.sinceMs = now;
  }

  /** Tasks of the gang that wait to be started. */
  int neededSlots() {
    return job.pendingTaskCount();
  }

  /** True when machines of the zone may be reserved. */
  boolean covers(int machineZone) {
    return zone < 0 || machineZone == zone;
  }

  /** A copy of the reserved machines, in the order in which they were reserved. */
  Machine[] machines() {
    return machines.toArray(new Machine[0]);
  }

  /** Reserves a machine, which from then on refuses tasks of other jobs. */
  void add(Machine machine) {
    if (machines.add(machine)) {
      machine.reservedFor = job;
    }
  }

  /** Releases a machine; no effect when this reservation does not contain it. */
  void release(Machine machine) {
    if (machines.remove(machine) && machine.reservedFor == job) {
      machine.reservedFor = null;
    }
  }

  /** Releases all machines. */
  void releaseAll() {
    for (Machine machine : machines) {
      if (machine.reservedFor == job) {
        machine.reservedFor = null;
      }
    }
  }
}
