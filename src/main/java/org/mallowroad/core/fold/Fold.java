package org.mallowroad.core.fold;

/**
 * One member's side of one game, as it is recorded: which revision, by which job, and whether that
 * job is known to be done. While the job is not over this is a claim; what it is then follows from
 * the job's own record.
 *
 * @param settled true once the job's end as done was seen: then nobody asks for it any more
 * @param base the settled lower revision that counts until this one does, or null
 */
public record Fold(long revision, boolean taken, String job, boolean settled, Fold base) {
  /** The same, with its job known to be done: what it replaced counts no more. */
  Fold asSettled() {
    return new Fold(revision, taken, job, true, null);
  }
}
