package org.mallowroad.core.fold;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Decides whether a job may claim the games that it wants to fold, by the blocks as read and by the
 * outcomes of the jobs that they name.
 *
 * <p><b>Why a decision holds whatever happens between reading and writing.</b> The blocks are
 * written by compare-and-swap on the versions they were read with, so the decision is about the
 * blocks as they are. A job's outcome enters a decision to grant or to refuse only where it is
 * final (done, cancelled); one that may still change defers the claim. So a decision that is right
 * when it is made stays right.
 */
public final class ClaimRules {
  /** The decision about a claim. */
  public sealed interface Decision permits Granted, Refused, Deferred, OutcomesNeeded {}

  /** Granted by writing these blocks; none when this job has claimed all of it already. */
  public record Granted(Map<BlockKey, Block> blocks) implements Decision {}

  /** Refused for good: another job has folded one of the games. */
  public record Refused(String reason) implements Decision {}

  /** Not possible now: another job, which is not over, has claimed one of the games. */
  public record Deferred(String reason) implements Decision {}

  /** Undecided until the outcomes of these jobs are known. */
  public record OutcomesNeeded(Set<String> jobs) implements Decision {}

  private final String job;
  private final Map<BlockKey, Block> read;
  private final Function<String, JobOutcome> jobOutcomes;
  private final Map<BlockKey, Block> changed = new TreeMap<>();
  private final Set<String> outcomesNeeded = new TreeSet<>();
  private String refused;
  private String deferred;

  private ClaimRules(
      String job, Map<BlockKey, Block> read, Function<String, JobOutcome> jobOutcomes) {
    this.job = job;
    this.read = read;
    this.jobOutcomes = jobOutcomes;
  }

  /**
   * Decides about a job's claim to games.
   *
   * @param read the block of each game, as read; an empty one where there is no record
   * @param jobOutcomes gives the outcome of a job, or null where it has not been looked up
   */
  public static Decision decide(
      String job,
      List<Game> games,
      Map<BlockKey, Block> read,
      Function<String, JobOutcome> jobOutcomes) {
    return new ClaimRules(job, read, jobOutcomes).claimAll(games);
  }

  private Decision claimAll(List<Game> games) {
    for (Game game : games) {
      for (String member : game.members()) {
        claimSide(game, member);
      }
    }
    if (refused != null) {
      return new Refused(refused);
    }
    if (!outcomesNeeded.isEmpty()) {
      return new OutcomesNeeded(outcomesNeeded);
    }
    return deferred != null ? new Deferred(deferred) : new Granted(changed);
  }

  private void claimSide(Game game, String member) {
    Block.Side side = new Block.Side(Block.gameIndex(game.number()), member);
    BlockKey key = game.blockKey();
    Fold current = changed.getOrDefault(key, read.get(key)).get(side);
    if (current != null && current.job().equals(job)) {
      return; // Claimed by an earlier attempt of the same submission.
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
          deferred = "folds: " + name(game, member) + " is held by " + current.job();
          return;
        }
      }
    }
    if (current != null && current.revision() >= game.revision()) {
      refused =
          "folds: "
              + name(game, member)
              + (current.revision() == game.revision()
                  ? " is folded by "
                  : " is folded in revision " + current.revision() + " by ")
              + current.job();
      return;
    }
    changed
        .computeIfAbsent(key, k -> read.get(k).copy())
        .set(side, new Fold(game.revision(), game.taken(), job, false, current));
  }

  private static String name(Game game, String member) {
    return "game " + game.number() + " of " + game.league() + " for " + member;
  }

  /**
   * The block without the job's claims, with what they would have replaced restored; the same
   * object when there are none. Only for a job that can no longer become done.
   */
  public static Block withoutClaimsOf(Block block, String job) {
    return rewrite(block, fold -> fold.job().equals(job) ? JobOutcome.CANCELLED : null);
  }

  /**
   * The block with all final outcomes recorded: claims of done jobs are folded, those of cancelled
   * ones are removed; the same object when there are none. This does not change what a side means,
   * which follows from final outcomes alone: so any node may do it at any time, or never.
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
