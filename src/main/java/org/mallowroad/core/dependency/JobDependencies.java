package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What ties a job to others: the blocks of games that it folds, and what it waits for before any
 * task of it starts.
 *
 * @param folds block numbers by league
 * @param jobs jobs that must be done
 * @param games games that must be folded
 */
public record JobDependencies(Map<String, IntList> folds, List<String> jobs, List<UpTo> games) {
  /** Of most jobs. */
  public static final JobDependencies NONE = new JobDependencies(Map.of(), List.of(), List.of());

  /**
   * All games of a league up to one.
   *
   * @param member only those of this member; null: each game, and none missing
   */
  public record UpTo(String league, long game, String member) {}

  /** True when it waits for something. */
  public boolean held() {
    return !jobs.isEmpty() || !games.isEmpty();
  }

  /** The highest game of each league that it waits for. */
  public Map<String, Long> highest() {
    Map<String, Long> out = new TreeMap<>();
    games.forEach(g -> out.merge(g.league(), g.game(), Math::max));
    return out;
  }

  /** True when it folds a game that the other waits for, as far as blocks tell. */
  boolean foldsFor(JobDependencies other, int gamesOfBlock) {
    for (Map.Entry<String, Long> e : other.highest().entrySet()) {
      IntList own = folds.get(e.getKey());
      if (own != null && !own.isEmpty() && (long) own.getInt(0) * gamesOfBlock <= e.getValue()) {
        return true;
      }
    }
    return false;
  }

  /** The leagues that it folds in. */
  public Set<String> leagues() {
    return folds.keySet();
  }
}
