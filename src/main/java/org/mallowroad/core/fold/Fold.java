package org.mallowroad.core.fold;

/**
 * The record of one member's side of one game: which revision of the game is folded, by which job,
 * and whether that job is known to be done. Until the job has ended the record is a claim. When the
 * job has ended, its own record decides whether the claim was folded or is void.
 *
 * @param retracted true when the revision retracts the game, see {@link Game#taken}
 * @param settled true once the job is known to be done, so that its outcome need not be looked up
 *     again
 * @param base the settled lower revision that counts until this one is folded, or null
 */
public record Fold(long revision, boolean retracted, String job, boolean settled, Fold base) {
  /** Returns the record for a job known to be done, without the revision that it replaced. */
  Fold asSettled() {
    return new Fold(revision, retracted, job, true, null);
  }
}
