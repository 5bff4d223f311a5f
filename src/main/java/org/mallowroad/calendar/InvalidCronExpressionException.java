package org.mallowroad.calendar;

/** A cron expression that is not one; the text names the column, from 1, and what was expected. */
public final class InvalidCronExpressionException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidCronExpressionException(int column, String reason) {
    super("column " + column + ": " + reason, null, false, false);
  }
}
