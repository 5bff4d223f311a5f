package org.mallowroad.controller.provisioning;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/**
 * Machines that were rented or listed by the cloud and have not sent a heartbeat in this term.
 * Confined to the event loop.
 */
final class BootingMachines {
  /** A machine counts as pending for this time for each second of its type's boot time. */
  private static final double PENDING_MS_PER_BOOT_S = 1800;

  private static final long PENDING_EXTRA_MS = 4_000;

  /** A machine is given up after this time for each second of its type's boot time. */
  private static final double TIMEOUT_MS_PER_BOOT_S = 2500;

  private static final long TIMEOUT_EXTRA_MS = 10_000;

  /** A leader gives no machine up before it knew it for this time, however old it is. */
  private static final long MIN_KNOWN_MS = 25_000;

  /**
   * One of the machines.
   *
   * @param requestedMs when it was requested
   * @param knownSinceMs when this leader learned of it
   * @param gang id of the gang that it is reserved for, or null
   */
  record BootingMachine(
      String name, MachineVariant variant, long requestedMs, long knownSinceMs, String gang) {}

  private final Object2ObjectLinkedOpenHashMap<String, BootingMachine> machines =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * A rental request brought the machine: replaces what the cloud's list said, which does not name
   * the gang.
   */
  void addRented(BootingMachine machine) {
    machines.put(machine.name(), machine);
  }

  /** The cloud lists the machine. */
  void addListed(BootingMachine machine) {
    machines.putIfAbsent(machine.name(), machine);
  }

  /** Removes the machine; null when it is not among them. */
  BootingMachine remove(String name) {
    return machines.remove(name);
  }

  boolean contains(String name) {
    return machines.containsKey(name);
  }

  /** How many of a variant are among them that the scheduler does not know. */
  int countUnknown(MachineVariant variant, SchedulerState schedulerState) {
    int count = 0;
    for (BootingMachine machine : machines.values()) {
      boolean same = machine.variant().key() == variant.key();
      count += same && schedulerState.machine(machine.name()) == null ? 1 : 0;
    }
    return count;
  }

  /**
   * Adds those to {@code pending} that should send a heartbeat soon. One that is long overdue may
   * never do so: it no longer holds back a replacement.
   */
  void addPending(List<PendingMachines> pending, long now) {
    for (BootingMachine machine : machines.values()) {
      long limitMs =
          (long) (machine.variant().type().bootS() * PENDING_MS_PER_BOOT_S) + PENDING_EXTRA_MS;
      if (now - machine.requestedMs() < limitMs) {
        pending.add(
            new PendingMachines(machine.variant(), 1, machine.requestedMs(), machine.gang()));
      }
    }
  }

  /**
   * Removes those whose boot timed out and marks them for deletion, except in zones that are
   * partitioned from this leader.
   *
   * @return their names
   */
  List<String> expire(SchedulerState schedulerState, long now) {
    List<String> expired = new ArrayList<>();
    for (BootingMachine booting : machines.values().toArray(new BootingMachine[0])) {
      MachineVariant variant = booting.variant();
      if (!isTimedOut(booting, now)
          || schedulerState.health().failureDetector().isPartitioned(variant.zone())) {
        continue;
      }
      Machine machine =
          schedulerState.registerMachine(
              booting.name(), variant.type(), variant.zone(), variant.spot(), now);
      if (machine != null) {
        machine.deleting = true;
      }
      machines.remove(booting.name());
      expired.add(booting.name());
    }
    return expired;
  }

  private static boolean isTimedOut(BootingMachine machine, long now) {
    long limitMs =
        (long) (machine.variant().type().bootS() * TIMEOUT_MS_PER_BOOT_S) + TIMEOUT_EXTRA_MS;
    return now - machine.requestedMs() > limitMs && now - machine.knownSinceMs() > MIN_KNOWN_MS;
  }
}
