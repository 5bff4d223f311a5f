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
 * Checks that required games are folded, block by block in ascending order. Without a member every
 * game up to the last must be there; with one only the recorded games of that member count.
 */
public final class RequiredGamesCheck {
  private final RequiredGames required;
  private final UnmetDependencies unmet;

  /** The lowest game that no block so far has reached. */
  private long nextGame;

  /** Adds what it finds missing to {@code unmet}. */
  public RequiredGamesCheck(RequiredGames required, UnmetDependencies unmet) {
    this.required = required;
    this.unmet = unmet;
  }

  /** The league of the games. */
  public String league() {
    return required.league();
  }

  /** The index of the block with the last required game. */
  public int lastBlock() {
    return (int) (required.lastGame() / Block.GAMES_PER_BLOCK);
  }

  /** True when the blocks so far reach beyond the last required game. */
  public boolean hasReachedLastGame() {
    return nextGame > required.lastGame();
  }

  /** The jobs of the block's claims whose outcome is needed and not in {@code known}. */
  public static ArrayDeque<String> jobsWithUnknownOutcome(Block block, Set<String> known) {
    ArrayDeque<String> jobs = new ArrayDeque<>();
    for (Fold fold : block.sides().values()) {
      if (!fold.settled() && !known.contains(fold.job()) && !jobs.contains(fold.job())) {
        jobs.add(fold.job());
      }
    }
    return jobs;
  }

  /**
   * Checks one block.
   *
   * @param outcomes of each job that {@link #jobsWithUnknownOutcome} names
   */
  public void check(BlockKey key, Block block, Function<String, JobOutcome> outcomes) {
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
      checkSide(game, member, side.getValue(), outcomes);
    }
  }

  /** All blocks there are were checked: what follows them is missing. */
  public void finish() {
    if (required.member() == null && !hasReachedLastGame() && !unmet.isFull()) {
      unmet.add("game " + nextGame + " of " + league() + " and what follows is nobody's");
    }
  }

  private void requireNoGapBefore(long game) {
    if (required.member() == null && nextGame < game) {
      unmet.add("game " + nextGame + " of " + league() + " is nobody's");
    }
  }

  private void checkSide(
      long number, String member, Fold fold, Function<String, JobOutcome> outcomes) {
    JobOutcome outcome = fold.settled() ? JobOutcome.DONE : outcomes.apply(fold.job());
    String game = "game " + number + " of " + league() + " for " + member;
    if (outcome == JobOutcome.CANCELLED && fold.base() == null) {
      unmet.add(game + " was released by " + fold.job());
    } else if (outcome == JobOutcome.OPEN) {
      unmet.add(game + " is not folded yet by " + fold.job());
    } else if (outcome == JobOutcome.CLAIMING && fold.base() == null) {
      // A correction whose claim is not accepted yet leaves what counts as it is; when it is
      // accepted the league's record changes.
      unmet.add(game + " is being claimed by " + fold.job());
    }
  }
}
