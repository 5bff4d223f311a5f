package org.mallowroad.calendar.file;

/** Thrown for an invalid cron table file; the message names the file, the line and the error. */
public final class InvalidCronTableException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidCronTableException(String file, int line, String reason) {
    super(file + ": " + (line > 0 ? "line " + line + ": " : "") + reason, null, false, false);
  }
}
