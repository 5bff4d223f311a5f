package org.mallowroad.core;

/** A start was requested that the rules refuse; callers ask for the refusal before they start. */
public final class StartRefusedException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  private final StartRefusal refusal;

  StartRefusedException(StartRefusal refusal) {
    super("start refused: " + refusal);
    this.refusal = refusal;
  }

  /** The first rule that refuses the start. */
  public StartRefusal refusal() {
    return refusal;
  }
}
