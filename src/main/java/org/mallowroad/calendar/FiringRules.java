package org.mallowroad.calendar;

/**
 * The rules by which an entry fires when its local time does not occur, occurs twice, or falls on a
 * closed day.
 *
 * @param skipped the rule for local times that are skipped when clocks go forward
 * @param repeated the rule for local times that occur twice when clocks go back
 * @param closed the rule for days that the calendar has closed
 */
public record FiringRules(Skipped skipped, Repeated repeated, Closed closed) {
  /** The rule for a local time that is skipped when clocks go forward. */
  public enum Skipped {
    /** Fires at the first instant after the gap. */
    RUN,
    /** Does not fire. */
    SKIP
  }

  /** The rule for a local time that occurs twice when clocks go back. */
  public enum Repeated {
    /** Fires at the first occurrence only. */
    FIRST,
    /** Fires at both occurrences. */
    BOTH
  }

  /** The rule for a firing on a day that the calendar has closed. */
  public enum Closed {
    /** Fires as on an open day. */
    RUN,
    /** Does not fire. */
    SKIP,
    /** Fires on the next open day, at the same time of day. */
    NEXT,
    /** Fires on the previous open day, at the same time of day. */
    PREVIOUS
  }

  /**
   * The default rules for an expression. If the hour field names hours, each local time fires
   * exactly once even when clocks change. If it begins with a star, the expression fires at
   * intervals of elapsed time.
   */
  public static FiringRules defaultsFor(CronExpression expression) {
    return expression.hasStarHour()
        ? new FiringRules(Skipped.SKIP, Repeated.BOTH, Closed.SKIP)
        : new FiringRules(Skipped.RUN, Repeated.FIRST, Closed.SKIP);
  }
}
