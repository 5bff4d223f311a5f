package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.mallowroad.core.fold.Block;

/**
 * A job's edges in the dependency graph: the games that it folds, on which other jobs may depend,
 * and the jobs and games that must be complete before any of its own tasks starts. Immutable.
 *
 * @param foldedBlocks the numbers of the blocks with the games that the job folds, in ascending
 *     order, by league
 * @param requiredJobs ids of the jobs that must be done before this one starts
 * @param requiredGames the games that must be folded before this job starts
 */
public record JobDependencies(
    Map<String, IntList> foldedBlocks,
    List<String> requiredJobs,
    List<RequiredGames> requiredGames) {
  /** The dependencies of a job that neither folds nor requires anything, like most jobs. */
  public static final JobDependencies NONE = new JobDependencies(Map.of(), List.of(), List.of());

  /**
   * Requires the games of a league from 0 to {@code lastGame}, inclusive.
   *
   * @param member restricts the requirement to the recorded games of this member; null requires all
   *     games, without a gap
   */
  public record RequiredGames(String league, long lastGame, String member) {}

  /** True when the job requires jobs or games, so that it starts only through a dependency gate. */
  public boolean isGated() {
    return !requiredJobs.isEmpty() || !requiredGames.isEmpty();
  }

  /** The highest required game of each league with required games, ordered by league. */
  public Map<String, Long> highestRequiredGames() {
    Map<String, Long> highest = new TreeMap<>();
    requiredGames.forEach(games -> highest.merge(games.league(), games.lastGame(), Math::max));
    return highest;
  }

  /** The leagues of which the job folds games. */
  public Set<String> foldedLeagues() {
    return foldedBlocks.keySet();
  }

  /**
   * True when this job may fold a game that the dependent job requires. The comparison is by
   * blocks, so the result is also true for a block that contains required games and folded games
   * but none that is both.
   */
  boolean foldsGameRequiredBy(JobDependencies dependent) {
    for (Map.Entry<String, Long> required : dependent.highestRequiredGames().entrySet()) {
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
