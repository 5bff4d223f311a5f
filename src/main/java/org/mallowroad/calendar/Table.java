package org.mallowroad.calendar;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A table of entries.
 *
 * @param entries by names that differ
 */
public record Table(String name, List<Entry> entries) {

  /** An entry. */
  public record Entry(String name, Schedule schedule, Catchup catchup) {}

  /** Copies what it is given. */
  public Table {
    entries = List.copyOf(entries);
    Set<String> names = new HashSet<>();
    for (Entry e : entries) {
      if (!names.add(e.name)) {
        throw new IllegalArgumentException(e.name + ": two entries of this name");
      }
    }
  }
}
