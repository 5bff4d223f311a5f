package org.mallowroad.api.claim;

/**
 * The result of an acceptance.
 *
 * @param reason for the user; empty when the job is accepted or known
 */
public record AcceptanceResult(Status status, String reason) {
  /** How an acceptance ended. */
  public enum Status {
    /** The job is recorded with all its claims. */
    ACCEPTED,
    /** The id was accepted before, or its job is over. */
    DUPLICATE,
    /** The job can never be accepted, such as one of whose games another job is folded. */
    REJECTED,
    /** A game is claimed by a job that is not over, or an earlier claim is being abandoned. */
    CONFLICT,
    /** The state service is not reached, or others changed the same blocks too often. */
    UNAVAILABLE
  }
}
