/**
 * Exactly-once accounting of league games in member ratings (docs/folds.md).
 *
 * <p>Folding a game means to include its result in the rating of one of its members. A job claims
 * the games that it is to fold when it is submitted, and has folded them when it is done. Each
 * member's side of a game is folded by one job: none twice, and none skipped. This package only
 * makes the decisions; {@code org.mallowroad.api.claim.ClaimService} does the I/O.
 */
package org.mallowroad.core.fold;
