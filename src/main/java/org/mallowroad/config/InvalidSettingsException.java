package org.mallowroad.config;

/** Thrown for an invalid settings file or option; the message names the file and the field. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception with the message {@code file: field: reason}.
   *
   * @param file the settings file, or the command line option that is invalid
   * @param field the field of the file, or the option's value
   * @param reason what is wrong or what is expected
   */
  public InvalidSettingsException(String file, String field, String reason) {
    super(file + ": " + field + ": " + reason, null, false, false);
  }
}
