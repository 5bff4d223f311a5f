/**
 * Acceptance of jobs that fold games or depend on other jobs. All games of a job are claimed
 * together with its acceptance, or none; docs/folds.md has the records, each transaction and the
 * proof.
 *
 * <p>{@link org.mallowroad.api.claim.ClaimService} is the entry. {@code JobAcceptance} runs one
 * acceptance; {@code DependencyCycleCheck}, {@code ClaimedLeagues} and {@code ClaimedBlocks} hold
 * what it has read, and {@code IntentRollback} abandons a claim that will not be finished. {@link
 * org.mallowroad.api.claim.JobRecordReader} reads what has become of a job.
 *
 * <p>All classes are confined to the event loop.
 */
package org.mallowroad.api.claim;
