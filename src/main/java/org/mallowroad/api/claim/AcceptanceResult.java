package org.mallowroad.api.claim;

/**
 * The result of the attempt to accept a job.
 *
 * @param reason the reason that is returned to the user; empty if the job is accepted or a
 *     duplicate
 */
public record AcceptanceResult(Status status, String reason) {
  /** Whether the job was accepted, or why not. */
  public enum Status {
    /** The job is recorded with all its claims. */
    ACCEPTED,
    /** A job with this id was accepted before; it may have ended since. */
    DUPLICATE,
    /**
     * The job can never be accepted, for example because another job has folded one of its games.
     */
    REJECTED,
    /** A job that has not ended claims one of the games, or an earlier claim is being abandoned. */
    CONFLICT,
    /** The state service does not answer, or other jobs changed the same blocks too often. */
    UNAVAILABLE
  }
}
