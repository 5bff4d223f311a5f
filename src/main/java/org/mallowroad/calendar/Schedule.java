package org.mallowroad.calendar;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.Optional;

/**
 * The instants of an expression in a time zone under a calendar.
 *
 * <p>Between two changes of the zone's offset local time and instants run alike, so the search goes
 * from one such stretch to the next and asks the expression for days and times of day only: no
 * minutes are walked. Local times that two rules put at the same instant are one firing.
 *
 * <p>"Never" is what does not come within {@link #HORIZON_YEARS} years: the longest gap between two
 * dates that do come, a 29 February on one day of the week around a year like 2100, is 40 years.
 */
public final class Schedule {
  /** How far is looked. */
  static final int HORIZON_YEARS = 41;

  /** A longer closure swallows what would be moved over it. */
  private static final int MOST_CLOSED_DAYS = 400;

  private final CronExpression cron;
  private final ZoneRules zone;
  private final OpenDays calendar;
  private final Rules rules;
  private final boolean moves;

  /** Of an expression. */
  public Schedule(CronExpression cron, ZoneId zone, OpenDays calendar, Rules rules) {
    this.cron = cron;
    this.zone = zone.getRules();
    this.calendar = calendar;
    this.rules = rules;
    this.moves =
        !calendar.alwaysOpen()
            && (rules.closed() == Rules.Closed.NEXT || rules.closed() == Rules.Closed.PREVIOUS);
  }

  /** The first firing after an instant; empty for never. */
  public Optional<Instant> next(Instant after) {
    // The stretch that begins at or before the instant, and its offset.
    ZoneOffsetTransition start = zone.previousTransition(after.plusNanos(1));
    ZoneOffset offset = zone.getOffset(after);
    LocalDateTime from = LocalDateTime.ofInstant(after, offset).plusNanos(1);
    while (true) {
      LocalDateTime l = firstFrom(later(from, second(start)));
      ZoneOffsetTransition end =
          start == null ? zone.nextTransition(after) : zone.nextTransition(start.getInstant());
      if (l != null && (end == null || l.toInstant(offset).isBefore(end.getInstant()))) {
        return Optional.of(l.toInstant(offset));
      }
      if (end != null && inGap(end)) {
        return Optional.of(end.getInstant());
      }
      if (l == null || end == null) {
        return Optional.empty();
      }
      // Nothing matches before l, so the stretches that end well before it have nothing.
      ZoneOffsetTransition near = zone.previousTransition(l.minusDays(2).toInstant(offset));
      start = near != null && near.getInstant().isAfter(end.getInstant()) ? near : end;
      offset = start.getOffsetAfter();
      from = start.getDateTimeAfter();
    }
  }

  /** The last firing before an instant; empty for none. */
  public Optional<Instant> previous(Instant before) {
    ZoneOffsetTransition start = zone.previousTransition(before);
    ZoneOffset offset = zone.getOffset(before.minusNanos(1));
    LocalDateTime to = LocalDateTime.ofInstant(before, offset);
    while (true) {
      LocalDateTime l = lastBefore(to);
      LocalDateTime least = start == null ? LocalDateTime.MIN : start.getDateTimeAfter();
      if (l != null && !l.isBefore(later(least, second(start)))) {
        return Optional.of(l.toInstant(offset));
      }
      if (start != null && inGap(start)) {
        return Optional.of(start.getInstant());
      }
      if (l == null || start == null) {
        return Optional.empty();
      }
      ZoneOffsetTransition near = zone.previousTransition(l.plusDays(2).toInstant(offset));
      if (near != null && near.getInstant().isBefore(start.getInstant())) {
        start = near;
        offset = near.getOffsetAfter();
        to = l.plusDays(1);
      } else {
        to = start.getDateTimeBefore();
        offset = start.getOffsetBefore();
        start = zone.previousTransition(start.getInstant());
      }
    }
  }

  private static LocalDateTime later(LocalDateTime a, LocalDateTime b) {
    return a.isBefore(b) ? b : a;
  }

  /** Until when a stretch repeats what the one before had, where that does not count. */
  private LocalDateTime second(ZoneOffsetTransition start) {
    return start != null && start.isOverlap() && rules.repeated() == Rules.Repeated.FIRST
        ? start.getDateTimeBefore()
        : LocalDateTime.MIN;
  }

  private boolean inGap(ZoneOffsetTransition t) {
    if (!t.isGap() || rules.skipped() == Rules.Skipped.SKIP) {
      return false;
    }
    LocalDateTime l = firstFrom(t.getDateTimeBefore());
    return l != null && l.isBefore(t.getDateTimeAfter());
  }

  /** The first local time of a firing that is not before this one, or null. */
  private LocalDateTime firstFrom(LocalDateTime from) {
    LocalDate day = from.toLocalDate();
    LocalTime time = from.toLocalTime();
    LocalDate end = day.plusYears(HORIZON_YEARS);
    while (day.isBefore(end)) {
      if (!moves && !cron.hasMonth(day.getMonthValue())) {
        day = day.withDayOfMonth(1).plusMonths(1);
        time = LocalTime.MIDNIGHT;
        continue;
      }
      if (has(day)) {
        LocalTime t = cron.from(time);
        if (t != null) {
          return day.atTime(t);
        }
      }
      day = day.plusDays(1);
      time = LocalTime.MIDNIGHT;
    }
    return null;
  }

  /** The last local time of a firing before this one, or null. */
  private LocalDateTime lastBefore(LocalDateTime to) {
    LocalDate day = to.toLocalDate();
    LocalTime t = has(day) ? cron.before(to.toLocalTime()) : null;
    LocalDate end = day.minusYears(HORIZON_YEARS);
    while (t == null) {
      day =
          moves || cron.hasMonth(day.getMonthValue())
              ? day.minusDays(1)
              : day.withDayOfMonth(1).minusDays(1);
      if (day.isBefore(end)) {
        return null;
      }
      t = has(day) ? cron.last() : null;
    }
    return day.atTime(t);
  }

  /** True when a day has firings, its own or moved ones. */
  private boolean has(LocalDate day) {
    boolean open = calendar.open(day);
    return switch (rules.closed()) {
      case RUN -> cron.has(day);
      case SKIP -> open && cron.has(day);
      case NEXT -> open && (cron.has(day) || closedBeside(day, -1));
      case PREVIOUS -> open && (cron.has(day) || closedBeside(day, 1));
    };
  }

  /**
   * True when one of the closed days that lie beside an open one, on one side, would have fired.
   */
  private boolean closedBeside(LocalDate day, int way) {
    LocalDate d = day.plusDays(way);
    for (int i = 0; i < MOST_CLOSED_DAYS && !calendar.open(d); i++) {
      if (cron.has(d)) {
        return true;
      }
      d = d.plusDays(way);
    }
    return false;
  }
}
