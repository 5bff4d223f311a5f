package org.mallowroad.calendar.file;

/** A table's file that is wrong; the text names file, line and what was expected. */
public final class InvalidTableException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidTableException(String file, int line, String reason) {
    super(file + ": " + (line > 0 ? "line " + line + ": " : "") + reason, null, false, false);
  }
}
