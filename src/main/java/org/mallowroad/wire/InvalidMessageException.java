package org.mallowroad.wire;

/**
 * A message does not follow its protocol. The text names the wrong field and may be told to the
 * sender. It has no stack trace, since anybody may send wrong messages at a high rate.
 */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1;

  /** With a short reason. */
  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
