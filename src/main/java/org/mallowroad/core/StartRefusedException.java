package org.mallowroad.core;

/** Thrown for a start that {@link StartAdmission} refuses; callers should have checked before. */
public final class StartRefusedException extends IllegalStateException {
  private static final long serialVersionUID = 1L;

  private final StartRefusal refusal;

  StartRefusedException(StartRefusal refusal) {
    super("start refused: " + refusal);
    this.refusal = refusal;
  }

  /** The first rule that forbids the start. */
  public StartRefusal refusal() {
    return refusal;
  }
}
