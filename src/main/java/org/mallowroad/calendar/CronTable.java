package org.mallowroad.calendar;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A named table of cron entries.
 *
 * @param entries the entries, whose names must be unique
 */
public record CronTable(String name, List<Entry> entries) {

  /** An entry: when it fires, and which missed firings still fire. */
  public record Entry(String name, Schedule schedule, CatchupPolicy catchup) {}

  /** Copies the entries and checks that their names are unique. */
  public CronTable {
    entries = List.copyOf(entries);
    Set<String> names = new HashSet<>();
    for (Entry entry : entries) {
      if (!names.add(entry.name)) {
        throw new IllegalArgumentException(entry.name + ": two entries have this name");
      }
    }
  }
}
