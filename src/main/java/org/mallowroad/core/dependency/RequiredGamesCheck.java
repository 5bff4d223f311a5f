package org.mallowroad.core.dependency;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.mallowroad.core.dependency.JobDependencies.RequiredGames;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.core.fold.JobOutcome;

/**
 * Checks that required games are folded, block by block in ascending order. If the requirement
 * names no member, every game up to the last required one must be recorded and folded. If it names
 * a member, only the recorded games of that member are checked.
 */
public final class RequiredGamesCheck {
  private final RequiredGames required;
  private final UnmetDependencies unmetDependencies;

  /** The number after the highest game that the blocks checked so far contain. */
  private long nextGame;

  /** Creates a check that adds what it finds missing to {@code unmetDependencies}. */
  public RequiredGamesCheck(RequiredGames required, UnmetDependencies unmetDependencies) {
    this.required = required;
    this.unmetDependencies = unmetDependencies;
  }

  /** The league of the required games. */
  public String league() {
    return required.league();
  }

  /** The index of the block with the last required game. */
  public int lastBlock() {
    return (int) (required.lastGame() / Block.GAMES_PER_BLOCK);
  }

  /** True when the blocks checked so far include the last required game or a later one. */
  public boolean hasReachedLastGame() {
    return nextGame > required.lastGame();
  }

  /**
   * The jobs that have claims in the block and are not in {@code knownJobs}, without duplicates.
   */
  public static ArrayDeque<String> jobsWithUnknownOutcome(Block block, Set<String> knownJobs) {
    ArrayDeque<String> jobs = new ArrayDeque<>();
    for (Fold fold : block.sides().values()) {
      if (!fold.settled() && !knownJobs.contains(fold.job()) && !jobs.contains(fold.job())) {
        jobs.add(fold.job());
      }
    }
    return jobs;
  }

  /**
   * Checks one block.
   *
   * @param jobOutcomes returns the outcome of each job that has a claim in the block; see {@link
   *     #jobsWithUnknownOutcome}
   */
  public void check(BlockKey key, Block block, Function<String, JobOutcome> jobOutcomes) {
    long firstGame = Block.gameNumber(key.index(), 0);
    requireNoGapBefore(firstGame);
    nextGame = Math.max(nextGame, firstGame);
    for (Map.Entry<Block.Side, Fold> side : block.sides().entrySet()) {
      long game = Block.gameNumber(key.index(), side.getKey().gameIndex());
      if (game > required.lastGame()) {
        return;
      }
      String member = side.getKey().member();
      if (required.member() != null && !required.member().equals(member)) {
        continue;
      }
      requireNoGapBefore(game);
      nextGame = Math.max(nextGame, game + 1);
      checkSide(game, member, side.getValue(), jobOutcomes);
    }
  }

  /** Must be called after the last stored block: adds the games that follow it as missing. */
  public void finish() {
    if (required.member() == null && !hasReachedLastGame() && !unmetDependencies.isFull()) {
      unmetDependencies.add(
          "game " + nextGame + " of " + league() + " and what follows is nobody's");
    }
  }

  private void requireNoGapBefore(long game) {
    if (required.member() == null && nextGame < game) {
      unmetDependencies.add("game " + nextGame + " of " + league() + " is nobody's");
    }
  }

  private void checkSide(
      long number, String member, Fold fold, Function<String, JobOutcome> jobOutcomes) {
    JobOutcome jobOutcome = fold.settled() ? JobOutcome.DONE : jobOutcomes.apply(fold.job());
    String sideName = "game " + number + " of " + league() + " for " + member;
    if (jobOutcome == JobOutcome.CANCELLED && fold.base() == null) {
      unmetDependencies.add(sideName + " was released by " + fold.job());
    } else if (jobOutcome == JobOutcome.OPEN) {
      unmetDependencies.add(sideName + " is not folded yet by " + fold.job());
    } else if (jobOutcome == JobOutcome.CLAIMING && fold.base() == null) {
      // A correction with a lower settled revision is no obstacle: until the claiming job is
      // accepted, the lower revision counts, and its acceptance changes the league's record.
      unmetDependencies.add(sideName + " is being claimed by " + fold.job());
    }
  }
}
