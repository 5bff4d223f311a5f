package org.mallowroad.calendar;

import java.time.Instant;
import java.util.Comparator;

/**
 * The position of a firing in the order of instants and, at the same instant, of entry names. As a
 * table's watermark, it says that all firings up to and including this position are decided.
 * Entries are ordered by name and not by number, so that a watermark stays valid when the table is
 * edited.
 *
 * @param entry an entry's name, or {@link #AFTER_ALL_ENTRIES}
 */
public record Position(Instant instant, String entry) implements Comparable<Position> {
  /** Sorts after every entry name. */
  public static final String AFTER_ALL_ENTRIES = "\uffff";

  private static final Comparator<Position> ORDER =
      Comparator.comparing(Position::instant).thenComparing(Position::entry);

  /** The position after all firings up to and including the instant. */
  public static Position upTo(Instant instant) {
    return new Position(instant, AFTER_ALL_ENTRIES);
  }

  @Override
  public int compareTo(Position other) {
    return ORDER.compare(this, other);
  }
}
