package org.mallowroad.wire;

/**
 * Thrown when a message violates its protocol. The exception message names the invalid field and
 * may be returned to the sender. There is no stack trace, because any client may send invalid
 * messages at a high rate.
 */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates an exception that states the reason. */
  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
