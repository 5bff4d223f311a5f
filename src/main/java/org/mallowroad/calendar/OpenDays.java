package org.mallowroad.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.MonthDay;
import java.util.List;
import java.util.Set;

/**
 * On which days a place is open: not on weekly closures, holidays and in closed seasons, its own
 * and those of the calendar it is built on.
 *
 * @param base the calendar it is built on, or null
 * @param weekly closed days of the week
 * @param dates closed days
 * @param yearly days that are closed in each year
 * @param seasons closed from one day of the year to another, both closed, over the new year too
 * @param closures closed by the events of files
 */
public record OpenDays(
    String name,
    OpenDays base,
    Set<DayOfWeek> weekly,
    Set<LocalDate> dates,
    Set<MonthDay> yearly,
    List<Season> seasons,
    List<Closures> closures) {

  /** Of calendars that are built on one another; a longer chain is refused. */
  public static final int MOST_BASES = 16;

  /** A part of each year. */
  public record Season(MonthDay from, MonthDay to) {
    boolean has(MonthDay d) {
      return from.compareTo(to) <= 0
          ? d.compareTo(from) >= 0 && d.compareTo(to) <= 0
          : d.compareTo(from) >= 0 || d.compareTo(to) <= 0;
    }
  }

  /** Copies what it is given; the chain of bases is bounded. */
  public OpenDays {
    weekly = Set.copyOf(weekly);
    dates = Set.copyOf(dates);
    yearly = Set.copyOf(yearly);
    seasons = List.copyOf(seasons);
    closures = List.copyOf(closures);
    int depth = 0;
    for (OpenDays b = base; b != null; b = b.base) {
      if (++depth > MOST_BASES) {
        throw new IllegalArgumentException(name + ": built on more than " + MOST_BASES + " others");
      }
    }
  }

  /** Open on every day. */
  public static OpenDays always() {
    return new OpenDays("always", null, Set.of(), Set.of(), Set.of(), List.of(), List.of());
  }

  /** True on days that are not closed. */
  public boolean open(LocalDate day) {
    MonthDay d = MonthDay.from(day);
    return !weekly.contains(day.getDayOfWeek())
        && !dates.contains(day)
        && !yearly.contains(d)
        && seasons.stream().noneMatch(s -> s.has(d))
        && closures.stream().noneMatch(c -> c.closed(day))
        && (base == null || base.open(day));
  }

  /** True when no day is ever closed. */
  boolean alwaysOpen() {
    return weekly.isEmpty()
        && dates.isEmpty()
        && yearly.isEmpty()
        && seasons.isEmpty()
        && closures.isEmpty()
        && (base == null || base.alwaysOpen());
  }
}
