package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.mallowroad.core.fold.Block;

/**
 * A job's edges in the dependency graph: the games that it folds, on which others may depend, and
 * what has to be complete before any of its own tasks starts. Immutable.
 *
 * @param foldedBlocks the numbers of the blocks that hold the games it folds, ascending, by league
 * @param requiredJobs ids of the jobs that must be done
 * @param requiredGames the games that must be folded
 */
public record JobDependencies(
    Map<String, IntList> foldedBlocks,
    List<String> requiredJobs,
    List<RequiredGames> requiredGames) {
  /** Of a job that neither folds games nor depends on anything, as most jobs. */
  public static final JobDependencies NONE = new JobDependencies(Map.of(), List.of(), List.of());

  /**
   * All games of a league from 0 to {@code upTo}.
   *
   * @param member only the recorded games of this member; null requires every game, without a gap
   */
  public record RequiredGames(String league, long lastGame, String member) {}

  /** True when the job depends on something: then it starts only through a dependency gate. */
  public boolean isGated() {
    return !requiredJobs.isEmpty() || !requiredGames.isEmpty();
  }

  /** The highest required game of each league with required games, leagues in order. */
  public Map<String, Long> highestRequiredGames() {
    Map<String, Long> highest = new TreeMap<>();
    requiredGames.forEach(g -> highest.merge(g.league(), g.lastGame(), Math::max));
    return highest;
  }

  /** The leagues of which the job folds games. */
  public Set<String> foldedLeagues() {
    return foldedBlocks.keySet();
  }

  /**
   * True when this job folds a game that the other one requires. Blocks are all that is compared,
   * so the answer may be true where a block holds required and folded games, but none that is both.
   */
  boolean foldsGameRequiredBy(JobDependencies other) {
    for (Map.Entry<String, Long> required : other.highestRequiredGames().entrySet()) {
      IntList blocks = foldedBlocks.get(required.getKey());
      if (blocks == null || blocks.isEmpty()) {
        continue;
      }
      long lowestFolded = Block.gameNumber(blocks.getInt(0), 0);
      if (lowestFolded <= required.getValue()) {
        return true;
      }
    }
    return false;
  }
}
