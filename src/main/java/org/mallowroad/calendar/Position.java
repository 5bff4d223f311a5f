package org.mallowroad.calendar;

import java.time.Instant;
import java.util.Comparator;

/**
 * A table's watermark: all firings up to an instant are decided, and of that instant those of the
 * entries up to a name. By name and not by number, so that it still holds when the table is edited.
 *
 * @param entry a name, or {@link #ALL}
 */
public record Position(Instant instant, String entry) implements Comparable<Position> {
  /** After every name. */
  public static final String ALL = "\uffff";

  private static final Comparator<Position> ORDER =
      Comparator.comparing(Position::instant).thenComparing(Position::entry);

  /** All firings up to an instant, itself included. */
  public static Position upTo(Instant instant) {
    return new Position(instant, ALL);
  }

  @Override
  public int compareTo(Position o) {
    return ORDER.compare(this, o);
  }
}
