package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.BitSet;
import java.util.Collection;

/** The machines of one term by name, and the names of those that were deleted in it. */
final class MachineRegistry {
  /**
   * Deleted machines whose names are remembered: heartbeats and lists of the cloud that still have
   * them come minutes late at the most. A later one would be registered as an unexpected machine,
   * and deleted again.
   */
  static final int MAX_DELETED_NAMES = 10_000;

  private final long term;
  private final Object2ObjectLinkedOpenHashMap<String, Machine> machines =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<String> deletedNames = new ObjectLinkedOpenHashSet<>();
  private long version;

  /** Without machines; new ones get the term's first fencing token. */
  MachineRegistry(long term) {
    this.term = term;
  }

  /** All machines that are not proven deleted, in the order in which they became known. */
  Collection<Machine> all() {
    return machines.values();
  }

  /** A machine by name, or null. */
  Machine get(String name) {
    return machines.get(name);
  }

  /** True when the machine was deleted in this term, as far back as names are remembered. */
  boolean isDeleted(String name) {
    return deletedNames.contains(name);
  }

  /** How many names of deleted machines are remembered. */
  int deletedCount() {
    return deletedNames.size();
  }

  /** Changes with every machine that is added or deleted. */
  long version() {
    return version;
  }

  /** Marks the indices of the names that machines have. */
  void markUsedNames(BitSet images, BitSet types) {
    for (Machine machine : machines.values()) {
      types.set(machine.type.index());
      machine.cachedImages.keySet().forEach(images::set);
    }
  }

  /** Adds a machine that is neither known nor deleted. */
  Machine add(String name, MachineType type, int zone, boolean spot, long now) {
    Machine machine = new Machine(name, type, zone, spot, term, now);
    machines.put(name, machine);
    version++;
    return machine;
  }

  /** Drops a machine that is proven deleted; its name is remembered. */
  void delete(Machine machine) {
    machines.remove(machine.name);
    version++;
    deletedNames.add(machine.name);
    if (deletedNames.size() > MAX_DELETED_NAMES) {
      deletedNames.removeFirst();
    }
  }
}
