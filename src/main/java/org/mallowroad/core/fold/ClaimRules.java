package org.mallowroad.core.fold;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Decides whether a job may claim the games that it is to fold, based on the stored blocks of those
 * games and on the outcomes of the jobs that the blocks name.
 *
 * <p><b>Why a decision is not invalidated by changes between reading and writing.</b> The blocks
 * are written by compare-and-swap on the versions at which they were read, so a decision only takes
 * effect on the blocks for which it was made. A job's outcome contributes to granting or refusing a
 * claim only if it is final (done or cancelled). An outcome that may still change defers the claim.
 * So a decision that is correct when it is made remains correct.
 */
public final class ClaimRules {
  /** The decision about a claim. */
  public sealed interface Decision permits Granted, Refused, Deferred, OutcomesNeeded {}

  /**
   * The claim is granted by writing these blocks. There are none when the job has already claimed
   * all of the games.
   */
  public record Granted(Map<BlockKey, Block> blocks) implements Decision {}

  /** The claim is refused permanently: another job has folded one of the games. */
  public record Refused(String reason) implements Decision {}

  /** The claim cannot be granted yet: a job that has not ended has claimed one of the games. */
  public record Deferred(String reason) implements Decision {}

  /** The claim cannot be decided until the outcomes of these jobs are known. */
  public record OutcomesNeeded(Set<String> jobs) implements Decision {}

  private final String claimingJob;
  private final Map<BlockKey, Block> storedBlocks;
  private final Function<String, JobOutcome> jobOutcomes;
  private final Map<BlockKey, Block> changedBlocks = new TreeMap<>();
  private final Set<String> outcomesNeeded = new TreeSet<>();
  private String refusalReason;
  private String deferralReason;

  private ClaimRules(
      String claimingJob,
      Map<BlockKey, Block> storedBlocks,
      Function<String, JobOutcome> jobOutcomes) {
    this.claimingJob = claimingJob;
    this.storedBlocks = storedBlocks;
    this.jobOutcomes = jobOutcomes;
  }

  /**
   * Decides about a job's claim to games.
   *
   * @param claimingJob id of the job
   * @param storedBlocks the block of each game as it was read; an empty block where none is stored
   * @param jobOutcomes returns the outcome of a job, or null when it has not been looked up
   */
  public static Decision decide(
      String claimingJob,
      List<Game> games,
      Map<BlockKey, Block> storedBlocks,
      Function<String, JobOutcome> jobOutcomes) {
    return new ClaimRules(claimingJob, storedBlocks, jobOutcomes).claimAll(games);
  }

  private Decision claimAll(List<Game> games) {
    for (Game game : games) {
      for (String member : game.members()) {
        claimSide(game, member);
      }
    }
    if (refusalReason != null) {
      return new Refused(refusalReason);
    }
    if (!outcomesNeeded.isEmpty()) {
      return new OutcomesNeeded(outcomesNeeded);
    }
    return deferralReason != null ? new Deferred(deferralReason) : new Granted(changedBlocks);
  }

  private void claimSide(Game game, String member) {
    Block.Side side = new Block.Side(Block.gameIndex(game.number()), member);
    BlockKey key = game.blockKey();
    Fold current = changedBlocks.getOrDefault(key, storedBlocks.get(key)).get(side);
    if (current != null && current.job().equals(claimingJob)) {
      return; // An earlier attempt of the same submission has claimed this side.
    }
    if (current != null && !current.settled()) {
      JobOutcome jobOutcome = jobOutcomes.apply(current.job());
      if (jobOutcome == null) {
        outcomesNeeded.add(current.job());
        return;
      }
      switch (jobOutcome) {
        case DONE -> current = current.asSettled();
        case CANCELLED -> current = current.base();
        default -> {
          deferralReason = "folds: " + describeSide(game, member) + " is held by " + current.job();
          return;
        }
      }
    }
    if (current != null && current.revision() >= game.revision()) {
      refusalReason =
          "folds: "
              + describeSide(game, member)
              + (current.revision() == game.revision()
                  ? " is folded by "
                  : " is folded in revision " + current.revision() + " by ")
              + current.job();
      return;
    }
    changedBlocks
        .computeIfAbsent(key, k -> storedBlocks.get(k).copy())
        .set(side, new Fold(game.revision(), game.taken(), claimingJob, false, current));
  }

  private static String describeSide(Game game, String member) {
    return "game " + game.number() + " of " + game.league() + " for " + member;
  }

  /**
   * Returns the block without the job's claims; a claim to a correction is replaced by the revision
   * that counted before. Returns the same object when the job has no claims in the block. Must only
   * be called for a job that can no longer become done.
   */
  public static Block withoutClaimsOf(Block block, String jobId) {
    return rewrite(block, fold -> fold.job().equals(jobId) ? JobOutcome.CANCELLED : null);
  }

  /**
   * Returns the block with all final outcomes recorded: claims of done jobs are marked as settled,
   * and those of cancelled jobs are removed. Returns the same object when there are none. This does
   * not change the state of a side, which depends on the final outcomes alone, so any node may do
   * it at any time, or never.
   */
  public static Block withFinalOutcomes(Block block, Function<String, JobOutcome> jobOutcomes) {
    return rewrite(block, fold -> jobOutcomes.apply(fold.job()));
  }

  private static Block rewrite(Block block, Function<Fold, JobOutcome> jobOutcomes) {
    Block rewritten = block;
    for (Map.Entry<Block.Side, Fold> entry : List.copyOf(block.sides().entrySet())) {
      Fold fold = entry.getValue();
      JobOutcome jobOutcome = fold.settled() ? null : jobOutcomes.apply(fold);
      if (jobOutcome == JobOutcome.DONE || jobOutcome == JobOutcome.CANCELLED) {
        rewritten = rewritten == block ? block.copy() : rewritten;
        rewritten.set(
            entry.getKey(), jobOutcome == JobOutcome.DONE ? fold.asSettled() : fold.base());
      }
    }
    return rewritten;
  }
}
