package org.mallowroad.core.fold;

/** The outcome of a job that has claimed games, as far as it is known. */
public enum JobOutcome {
  /** Its submission may still be accepted, or rolled back. */
  CLAIMING,
  /** Accepted and not over. */
  OPEN,
  /** Done, which is final: the games that it claimed are folded. */
  DONE,
  /** Cancelled, which is final: its claims are void. */
  CANCELLED
}
