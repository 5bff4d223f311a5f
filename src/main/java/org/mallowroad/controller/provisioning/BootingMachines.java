package org.mallowroad.controller.provisioning;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/**
 * Tracks machines that were rented or are listed by the cloud but have not sent a heartbeat in this
 * term. Confined to the event loop.
 */
final class BootingMachines {
  /** A machine counts as pending for this many milliseconds per second of its type's boot time. */
  private static final double PENDING_MS_PER_BOOT_S = 1800;

  private static final long PENDING_EXTRA_MS = 4_000;

  /**
   * The boot of a machine times out after this many milliseconds per second of its type's boot
   * time.
   */
  private static final double TIMEOUT_MS_PER_BOOT_S = 2500;

  private static final long TIMEOUT_EXTRA_MS = 10_000;

  /**
   * Minimum time for which a leader must have known a machine before its boot times out, regardless
   * of the machine's age.
   */
  private static final long MIN_KNOWN_MS = 25_000;

  /**
   * A machine that is booting.
   *
   * @param requestedMs when the machine was requested
   * @param knownSinceMs when this leader learned of the machine
   * @param gang ID of the gang for which the machine is reserved, or null
   */
  record BootingMachine(
      String name, MachineVariant variant, long requestedMs, long knownSinceMs, String gang) {}

  private final Object2ObjectLinkedOpenHashMap<String, BootingMachine> machines =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * Adds a machine that a rental request returned. Replaces an entry from the cloud's list, which
   * does not name the gang.
   */
  void addRented(BootingMachine machine) {
    machines.put(machine.name(), machine);
  }

  /** Adds a machine from the cloud's list, unless it is already known. */
  void addListed(BootingMachine machine) {
    machines.putIfAbsent(machine.name(), machine);
  }

  /** Removes the machine and returns it, or null if it is not booting. */
  BootingMachine remove(String name) {
    return machines.remove(name);
  }

  boolean contains(String name) {
    return machines.containsKey(name);
  }

  /**
   * Returns the number of booting machines of a variant that are not registered in the scheduler
   * state.
   */
  int countUnregistered(MachineVariant variant, SchedulerState schedulerState) {
    int count = 0;
    for (BootingMachine machine : machines.values()) {
      boolean isSameVariant = machine.variant().key() == variant.key();
      count += isSameVariant && schedulerState.machine(machine.name()) == null ? 1 : 0;
    }
    return count;
  }

  /**
   * Adds the machines that should send a heartbeat soon to {@code pending}. A machine that is long
   * overdue may never send one, so it is left out and no longer prevents a replacement.
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
   * Removes the machines whose boot timed out and marks them for deletion, except in zones that are
   * partitioned from this leader.
   *
   * @return the names of the removed machines
   */
  List<String> expireOverdue(SchedulerState schedulerState, long now) {
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
