package org.mallowroad.core.fold;

/**
 * The record of one member's side of one game: which revision, by which job, and whether that job
 * is known to be done. While the job is not over the record is a claim; afterwards the job's own
 * record says what it is.
 *
 * @param retracted true when the revision retracts the game, see {@link Game}
 * @param settled true once the job was seen to be done, which need not be looked up again
 * @param base the settled lower revision that counts until this one does, or null
 */
public record Fold(long revision, boolean retracted, String job, boolean settled, Fold base) {
  /** The same, with its job known to be done, and without the revision that it replaced. */
  Fold asSettled() {
    return new Fold(revision, retracted, job, true, null);
  }
}
