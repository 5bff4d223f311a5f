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
 * The instants at which a cron expression fires in a time zone, under a calendar and firing rules.
 *
 * <p>Between two transitions of the zone's offset, local time and instants advance together. The
 * search therefore proceeds from one such period to the next and asks the expression only for
 * matching days and times of day, without iterating over minutes. Local times that the rules map to
 * the same instant are one firing.
 *
 * <p>A schedule is taken never to fire if it does not fire within {@link #HORIZON_YEARS} years. The
 * longest gap between two dates that do occur is 40 years: 29 February on a given day of the week,
 * around a year like 2100 that is not a leap year.
 */
public final class Schedule {
  /** How many years the search covers, before or after the given instant. */
  static final int HORIZON_YEARS = 41;

  /**
   * The longest closure, in days, over which a firing is moved. A firing that is further than this
   * from the next open day does not take place.
   */
  private static final int MAX_CLOSED_DAYS = 400;

  private final CronExpression expression;
  private final ZoneRules zone;
  private final BusinessCalendar calendar;
  private final FiringRules rules;
  private final boolean movesFirings;

  /** Creates the schedule of an expression. */
  public Schedule(
      CronExpression expression, ZoneId zone, BusinessCalendar calendar, FiringRules rules) {
    this.expression = expression;
    this.zone = zone.getRules();
    this.calendar = calendar;
    this.rules = rules;
    this.movesFirings =
        !calendar.isAlwaysOpen()
            && (rules.closed() == FiringRules.Closed.NEXT
                || rules.closed() == FiringRules.Closed.PREVIOUS);
  }

  /** The first firing after an instant; empty if it never fires again. */
  public Optional<Instant> next(Instant after) {
    // The offset period that contains the instant, and its offset.
    ZoneOffsetTransition periodStart = zone.previousTransition(after.plusNanos(1));
    ZoneOffset offset = zone.getOffset(after);
    LocalDateTime from = LocalDateTime.ofInstant(after, offset).plusNanos(1);
    while (true) {
      LocalDateTime localTime = firstAtOrAfter(max(from, repeatedUntil(periodStart)));
      ZoneOffsetTransition periodEnd =
          periodStart == null
              ? zone.nextTransition(after)
              : zone.nextTransition(periodStart.getInstant());
      if (localTime != null
          && (periodEnd == null || localTime.toInstant(offset).isBefore(periodEnd.getInstant()))) {
        return Optional.of(localTime.toInstant(offset));
      }
      if (periodEnd != null && firesInGap(periodEnd)) {
        return Optional.of(periodEnd.getInstant());
      }
      if (localTime == null || periodEnd == null) {
        return Optional.empty();
      }
      // Nothing matches before localTime, so periods that end well before it are skipped.
      ZoneOffsetTransition transition =
          zone.previousTransition(localTime.minusDays(2).toInstant(offset));
      periodStart =
          transition != null && transition.getInstant().isAfter(periodEnd.getInstant())
              ? transition
              : periodEnd;
      offset = periodStart.getOffsetAfter();
      from = periodStart.getDateTimeAfter();
    }
  }

  /** The last firing before an instant; empty if there is none. */
  public Optional<Instant> previous(Instant before) {
    ZoneOffsetTransition periodStart = zone.previousTransition(before);
    ZoneOffset offset = zone.getOffset(before.minusNanos(1));
    LocalDateTime to = LocalDateTime.ofInstant(before, offset);
    while (true) {
      LocalDateTime localTime = lastBefore(to);
      LocalDateTime earliest =
          periodStart == null ? LocalDateTime.MIN : periodStart.getDateTimeAfter();
      if (localTime != null && !localTime.isBefore(max(earliest, repeatedUntil(periodStart)))) {
        return Optional.of(localTime.toInstant(offset));
      }
      if (periodStart != null && firesInGap(periodStart)) {
        return Optional.of(periodStart.getInstant());
      }
      if (localTime == null || periodStart == null) {
        return Optional.empty();
      }
      ZoneOffsetTransition transition =
          zone.previousTransition(localTime.plusDays(2).toInstant(offset));
      if (transition != null && transition.getInstant().isBefore(periodStart.getInstant())) {
        periodStart = transition;
        offset = transition.getOffsetAfter();
        to = localTime.plusDays(1);
      } else {
        to = periodStart.getDateTimeBefore();
        offset = periodStart.getOffsetBefore();
        periodStart = zone.previousTransition(periodStart.getInstant());
      }
    }
  }

  private static LocalDateTime max(LocalDateTime a, LocalDateTime b) {
    return a.isBefore(b) ? b : a;
  }

  /**
   * The end of the local times at the start of a period that repeat those of the period before, if
   * repeated local times do not fire; otherwise the earliest possible time.
   */
  private LocalDateTime repeatedUntil(ZoneOffsetTransition periodStart) {
    return periodStart != null
            && periodStart.isOverlap()
            && rules.repeated() == FiringRules.Repeated.FIRST
        ? periodStart.getDateTimeBefore()
        : LocalDateTime.MIN;
  }

  private boolean firesInGap(ZoneOffsetTransition transition) {
    if (!transition.isGap() || rules.skipped() == FiringRules.Skipped.SKIP) {
      return false;
    }
    LocalDateTime localTime = firstAtOrAfter(transition.getDateTimeBefore());
    return localTime != null && localTime.isBefore(transition.getDateTimeAfter());
  }

  /** The first local time of a firing at or after the given time, or null if there is none. */
  private LocalDateTime firstAtOrAfter(LocalDateTime from) {
    LocalDate day = from.toLocalDate();
    LocalTime time = from.toLocalTime();
    LocalDate end = day.plusYears(HORIZON_YEARS);
    while (day.isBefore(end)) {
      if (!movesFirings && !expression.matchesMonth(day.getMonthValue())) {
        day = day.withDayOfMonth(1).plusMonths(1);
        time = LocalTime.MIDNIGHT;
        continue;
      }
      if (firesOn(day)) {
        LocalTime firingTime = expression.firstAtOrAfter(time);
        if (firingTime != null) {
          return day.atTime(firingTime);
        }
      }
      day = day.plusDays(1);
      time = LocalTime.MIDNIGHT;
    }
    return null;
  }

  /** The last local time of a firing before the given time, or null if there is none. */
  private LocalDateTime lastBefore(LocalDateTime to) {
    LocalDate day = to.toLocalDate();
    LocalTime firingTime = firesOn(day) ? expression.lastBefore(to.toLocalTime()) : null;
    LocalDate end = day.minusYears(HORIZON_YEARS);
    while (firingTime == null) {
      day =
          movesFirings || expression.matchesMonth(day.getMonthValue())
              ? day.minusDays(1)
              : day.withDayOfMonth(1).minusDays(1);
      if (day.isBefore(end)) {
        return null;
      }
      firingTime = firesOn(day) ? expression.lastOfDay() : null;
    }
    return day.atTime(firingTime);
  }

  /** Whether the day has firings, either its own or ones moved from closed days. */
  private boolean firesOn(LocalDate day) {
    boolean open = calendar.isOpen(day);
    return switch (rules.closed()) {
      case RUN -> expression.matches(day);
      case SKIP -> open && expression.matches(day);
      case NEXT -> open && (expression.matches(day) || firesOnAdjacentClosedDay(day, -1));
      case PREVIOUS -> open && (expression.matches(day) || firesOnAdjacentClosedDay(day, 1));
    };
  }

  /**
   * Whether the expression matches one of the consecutive closed days next to an open day.
   *
   * @param direction 1 for the closed days after the open day, -1 for those before it
   */
  private boolean firesOnAdjacentClosedDay(LocalDate day, int direction) {
    LocalDate closedDay = day.plusDays(direction);
    for (int i = 0; i < MAX_CLOSED_DAYS && !calendar.isOpen(closedDay); i++) {
      if (expression.matches(closedDay)) {
        return true;
      }
      closedDay = closedDay.plusDays(direction);
    }
    return false;
  }
}
