package org.mallowroad.core.linkstate;

/**
 * The operators' values for links.
 *
 * @param rowMs a node tells the others its row this often
 * @param freshMs an older row, or an older use in it, is no evidence
 * @param hedgeMs a call that may be repeated also takes a detour after so long without an answer
 * @param steadyMs a direct way must work this long before the detour ends; doubled by each relapse
 * @param holdMs a carried worker is not sent to the leader before; doubled each time it comes back
 * @param canaryMs so often one carried worker of a zone is sent to the leader as a trial
 */
public record LinkPolicy(
    long rowMs, long freshMs, long hedgeMs, long steadyMs, long holdMs, long canaryMs) {
  /** The values that docs/links.md gives reasons for. */
  public static LinkPolicy defaults() {
    return new LinkPolicy(1_000, 3_500, 400, 1_000, 10_000, 5_000);
  }
}
