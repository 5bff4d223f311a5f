package org.mallowroad.core.fold;

/** What has become of a job that a side of a game names. */
public enum JobOutcome {
  /** Its submission is not accepted yet: it may be, or be undone. */
  CLAIMING,
  /** Accepted, not over. */
  OPEN,
  /** Done: what it claims is folded. Final. */
  DONE,
  /** Cancelled: what it claims is nobody's. Final. */
  CANCELLED
}
