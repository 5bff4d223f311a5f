package org.mallowroad.calendar;

/** A calendar file that is not one, or holds what is not supported; the text names it. */
public final class InvalidCalendarException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidCalendarException(String reason) {
    super(reason, null, false, false);
  }
}
