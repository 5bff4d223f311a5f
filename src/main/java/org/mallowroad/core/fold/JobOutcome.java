package org.mallowroad.core.fold;

/** The known outcome of a job that has claimed games. */
public enum JobOutcome {
  /** The job's submission may still be accepted or rolled back. */
  CLAIMING,
  /** The job has been accepted and has not ended. */
  OPEN,
  /** The job is done, which is final: the games that it claimed are folded. */
  DONE,
  /** The job was cancelled, which is final: its claims are void. */
  CANCELLED
}
