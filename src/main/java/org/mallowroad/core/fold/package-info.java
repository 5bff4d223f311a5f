/**
 * Which league games are in which member's rating: claimed by one job, folded by one job, none
 * twice, none skipped (docs/folds.md). Decisions only; {@code
 * org.mallowroad.api.claim.ClaimService} does the I/O.
 */
package org.mallowroad.core.fold;
