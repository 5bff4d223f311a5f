package org.mallowroad.config;

/** A settings file that cannot be used; the text names file and field. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1;

  /** For a file and field. */
  public InvalidSettingsException(String file, String field, String reason) {
    super(file + ": " + field + ": " + reason, null, false, false);
  }
}
