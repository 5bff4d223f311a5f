package org.mallowroad.calendar;

/** Thrown for an iCalendar file that is malformed or has unsupported content, which it names. */
public final class InvalidCalendarException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidCalendarException(String reason) {
    super(reason, null, false, false);
  }
}
