package org.mallowroad.calendar;

/**
 * The class of firing of an entry.
 *
 * @param skipped a local time that the clocks leave out
 * @param repeated a local time that comes twice
 * @param closed a day that the calendar has closed
 */
public record Rules(Skipped skipped, Repeated repeated, Closed closed) {
  /** What becomes of a local time that the clocks leave out. */
  public enum Skipped {
    /** At the first instant after the gap. */
    RUN,
    /** Not at all. */
    SKIP
  }

  /** What becomes of a local time that comes twice. */
  public enum Repeated {
    /** The first time only. */
    FIRST,
    /** Both times. */
    BOTH
  }

  /** What becomes of a day that the calendar has closed. */
  public enum Closed {
    /** As if it were open. */
    RUN,
    /** Not at all. */
    SKIP,
    /** On the next open day, at the same time of day. */
    NEXT,
    /** On the open day before, at the same time of day. */
    PREVIOUS
  }

  /**
   * What an expression gets that says nothing: a time of day runs once whatever the clocks do, and
   * "every so often" (a star in the hours) goes on by true time.
   */
  public static Rules usual(CronExpression e) {
    return e.anyHour()
        ? new Rules(Skipped.SKIP, Repeated.BOTH, Closed.SKIP)
        : new Rules(Skipped.RUN, Repeated.FIRST, Closed.SKIP);
  }
}
