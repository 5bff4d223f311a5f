package org.mallowroad.wire;

/** A message that is not what the protocol says; the text names the field. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1;

  /** With a short reason. */
  public BadMessage(String message) {
    super(message, null, false, false);
  }
}
