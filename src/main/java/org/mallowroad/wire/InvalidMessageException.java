package org.mallowroad.wire;

/** A message that is not what the protocol says; the text names the field. */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1;

  /** With a short reason. */
  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
