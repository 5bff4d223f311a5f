package org.mallowroad.calendar;

/** Thrown for an invalid cron expression; the message names the column, from 1, and the error. */
public final class InvalidCronExpressionException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidCronExpressionException(int column, String reason) {
    super("column " + column + ": " + reason, null, false, false);
  }
}
