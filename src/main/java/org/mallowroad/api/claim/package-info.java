/**
 * Acceptance of jobs that fold games or depend on other jobs. Either all games of a job are claimed
 * together with its acceptance, or none; see docs/folds.md for the records, the transactions and
 * the proof.
 *
 * <p>{@link org.mallowroad.api.claim.ClaimService} is the entry point. {@code JobAcceptance} runs
 * one acceptance; {@code DependencyCycleCheck}, {@code ClaimedLeagues} and {@code ClaimedBlocks}
 * hold the records that it has read, and {@code IntentRollback} abandons a claim that will not be
 * finished. {@link org.mallowroad.api.claim.JobRecordReader} reads the state of a job.
 *
 * <p>All classes are confined to the event loop.
 */
package org.mallowroad.api.claim;
