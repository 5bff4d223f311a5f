package org.mallowroad.core.dependency;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mallowroad.core.fold.Block;

/**
 * Whether a job that is to be accepted would close a circle of jobs that wait for each other. A
 * circle has only held jobs in it, so the held ones are all that need be known; a job that is not
 * known yet may be submitted later, and is judged then.
 */
public final class DependencyCycles {
  private DependencyCycles() {}

  /**
   * The job through which the circle would close; null when none would.
   *
   * @param held all jobs that are accepted, held and not over
   */
  public static String closes(String id, JobDependencies own, Map<String, JobDependencies> held) {
    if (own.jobs().contains(id) || own.foldsFor(own, Block.GAMES)) {
      return id;
    }
    Set<String> seen = new HashSet<>();
    ArrayDeque<String> left = new ArrayDeque<>();
    follow(own, held, seen, left);
    String at;
    while ((at = left.poll()) != null) {
      JobDependencies t = held.get(at);
      if (t.jobs().contains(id) || own.foldsFor(t, Block.GAMES)) {
        return at;
      }
      follow(t, held, seen, left);
    }
    return null;
  }

  /** The held jobs that one waits for: by name, or since they fold what it waits for. */
  private static void follow(
      JobDependencies of,
      Map<String, JobDependencies> held,
      Set<String> seen,
      ArrayDeque<String> left) {
    for (String j : of.jobs()) {
      if (held.containsKey(j) && seen.add(j)) {
        left.add(j);
      }
    }
    if (!of.games().isEmpty()) {
      held.forEach(
          (j, t) -> {
            if (!t.folds().isEmpty() && t.foldsFor(of, Block.GAMES) && seen.add(j)) {
              left.add(j);
            }
          });
    }
  }
}
