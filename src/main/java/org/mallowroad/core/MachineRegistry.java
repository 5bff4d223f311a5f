package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.BitSet;
import java.util.Collection;

/** The machines of one term by name, and the names of machines that were deleted in the term. */
final class MachineRegistry {
  /**
   * Maximum number of remembered names of deleted machines. Heartbeats and cloud lists that still
   * name a deleted machine arrive at most minutes late. One that arrives after the name was dropped
   * registers an unexpected machine, which is then deleted again.
   */
  static final int MAX_DELETED_NAMES = 10_000;

  private final long term;
  private final Object2ObjectLinkedOpenHashMap<String, Machine> machines =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<String> deletedNames = new ObjectLinkedOpenHashSet<>();
  private long version;

  /** Creates an empty registry; new machines get the term's first fencing token. */
  MachineRegistry(long term) {
    this.term = term;
  }

  /** All machines that are not proven deleted, in the order of registration. */
  Collection<Machine> all() {
    return machines.values();
  }

  /** A machine by name, or null. */
  Machine get(String name) {
    return machines.get(name);
  }

  /** True when the machine was deleted in this term and its name is still remembered. */
  boolean isDeleted(String name) {
    return deletedNames.contains(name);
  }

  /** Number of remembered names of deleted machines. */
  int deletedCount() {
    return deletedNames.size();
  }

  /** A counter that changes whenever a machine is added or deleted. */
  long version() {
    return version;
  }

  /** Marks the name indices that machines use. */
  void markUsedNames(BitSet images, BitSet types) {
    for (Machine machine : machines.values()) {
      types.set(machine.type.index());
      machine.cachedImages.keySet().forEach(images::set);
    }
  }

  /** Adds a machine that is neither registered nor remembered as deleted. */
  Machine add(String name, MachineType type, int zone, boolean spot, long now) {
    Machine machine = new Machine(name, type, zone, spot, term, now);
    machines.put(name, machine);
    version++;
    return machine;
  }

  /** Removes a machine that is proven deleted and remembers its name. */
  void delete(Machine machine) {
    machines.remove(machine.name);
    version++;
    deletedNames.add(machine.name);
    if (deletedNames.size() > MAX_DELETED_NAMES) {
      deletedNames.removeFirst();
    }
  }
}
