package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;

/** The machines reserved for one gang in one place, until all of its tasks can start. */
final class GangReservation {
  /** The zone of a reservation that may take machines of the whole fleet. */
  static final int ANY_ZONE = -1;

  final Job job;

  /** The zone in which machines are reserved, or {@link #ANY_ZONE}. */
  final int zone;

  final long sinceMs;

  /** Machines requested from the cloud for this reservation so far. */
  int requestedMachines;

  /** Tasks that have room on the reserved machines. */
  int places;

  /** Tasks that will have room on the pending machines requested for this gang. */
  int pendingPlaces;

  /** When the machines were last chosen among all candidates. */
  long lastSelectionMs = Long.MIN_VALUE / 2;

  private final ReferenceLinkedOpenHashSet<Machine> machines = new ReferenceLinkedOpenHashSet<>();

  GangReservation(Job job, int zone, long now) {
    this.job = job;
    this.zone = zone;
    this.sinceMs = now;
  }

  /** Tasks of the gang that have not been started. */
  int neededPlaces() {
    return job.pendingTaskCount();
  }

  /** True when machines of the zone may be reserved. */
  boolean covers(int machineZone) {
    return zone < 0 || machineZone == zone;
  }

  /** The reserved machines in the order of their reservation; a copy. */
  Machine[] machines() {
    return machines.toArray(new Machine[0]);
  }

  /** Reserves a machine; other jobs are refused on it from now on. */
  void add(Machine machine) {
    if (machines.add(machine)) {
      machine.reservedFor = job;
    }
  }

  /** Releases a machine; no effect when it is not reserved here. */
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
