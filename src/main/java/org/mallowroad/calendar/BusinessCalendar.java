package org.mallowroad.calendar;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.MonthDay;
import java.util.List;
import java.util.Set;

/**
 * The days on which a place is open: all days except its own weekly closing days, holidays and
 * closed seasons, and those of its base calendar.
 *
 * @param base the calendar whose closed days are closed here too, or null
 * @param weekly closed days of the week
 * @param dates single closed dates
 * @param yearly days of the year that are closed every year
 * @param seasons closed periods of every year
 * @param closedDays closed days from iCalendar files
 */
public record BusinessCalendar(
    String name,
    BusinessCalendar base,
    Set<DayOfWeek> weekly,
    Set<LocalDate> dates,
    Set<MonthDay> yearly,
    List<Season> seasons,
    List<ClosedDays> closedDays) {

  /** The longest chain of base calendars; a longer one is rejected. */
  public static final int MAX_BASES = 16;

  /** A period of every year; both days are included, and it may extend over the new year. */
  public record Season(MonthDay from, MonthDay to) {
    boolean contains(MonthDay day) {
      return from.compareTo(to) <= 0
          ? day.compareTo(from) >= 0 && day.compareTo(to) <= 0
          : day.compareTo(from) >= 0 || day.compareTo(to) <= 0;
    }
  }

  /** Copies the collections and checks the length of the chain of base calendars. */
  public BusinessCalendar {
    weekly = Set.copyOf(weekly);
    dates = Set.copyOf(dates);
    yearly = Set.copyOf(yearly);
    seasons = List.copyOf(seasons);
    closedDays = List.copyOf(closedDays);
    int depth = 0;
    for (BusinessCalendar ancestor = base; ancestor != null; ancestor = ancestor.base) {
      if (++depth > MAX_BASES) {
        throw new IllegalArgumentException(
            name + ": has more than " + MAX_BASES + " base calendars");
      }
    }
  }

  /** A calendar without closed days. */
  public static BusinessCalendar alwaysOpen() {
    return new BusinessCalendar("always", null, Set.of(), Set.of(), Set.of(), List.of(), List.of());
  }

  /** Whether the day is neither closed here nor in a base calendar. */
  public boolean isOpen(LocalDate day) {
    MonthDay dayOfYear = MonthDay.from(day);
    return !weekly.contains(day.getDayOfWeek())
        && !dates.contains(day)
        && !yearly.contains(dayOfYear)
        && seasons.stream().noneMatch(season -> season.contains(dayOfYear))
        && closedDays.stream().noneMatch(closedDays -> closedDays.isClosed(day))
        && (base == null || base.isOpen(day));
  }

  /** Whether neither this calendar nor a base calendar defines any closed day. */
  boolean isAlwaysOpen() {
    return weekly.isEmpty()
        && dates.isEmpty()
        && yearly.isEmpty()
        && seasons.isEmpty()
        && closedDays.isEmpty()
        && (base == null || base.isAlwaysOpen());
  }
}
