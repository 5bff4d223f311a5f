/**
 * Records which league games count in which member's rating: each is claimed and folded by one job,
 * none twice and none skipped (docs/folds.md). Decisions only; {@code
 * org.mallowroad.api.claim.ClaimService} does the I/O.
 */
package org.mallowroad.core.fold;
