package org.mallowroad.core.dependency;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds cycles in the dependency graph before a job is accepted.
 *
 * <p>Every job of a cycle depends on another job and is therefore gated, so it is sufficient to
 * search the gated jobs. A required job that is not known yet may be submitted later; a cycle
 * through it is then found when it is submitted.
 */
public final class DependencyCycles {
  private final Map<String, JobDependencies> gatedJobs;
  private final Set<String> reached = new HashSet<>();
  private final ArrayDeque<String> toVisit = new ArrayDeque<>();

  private DependencyCycles(Map<String, JobDependencies> gatedJobs) {
    this.gatedJobs = gatedJobs;
  }

  /**
   * Searches for a cycle that accepting the job would close.
   *
   * @param jobId id of the job to be accepted
   * @param dependencies the games that the job folds, and the jobs and games that it requires
   * @param gatedJobs the dependencies of all accepted gated jobs that have not ended, by job id
   * @return the job of the cycle that depends on {@code jobId}, which is {@code jobId} itself when
   *     the job depends on itself; empty when there is no cycle
   */
  public static Optional<String> findCycle(
      String jobId, JobDependencies dependencies, Map<String, JobDependencies> gatedJobs) {
    return new DependencyCycles(gatedJobs).searchFrom(jobId, dependencies);
  }

  private Optional<String> searchFrom(String jobId, JobDependencies dependencies) {
    if (dependsOn(dependencies, jobId, dependencies)) {
      return Optional.of(jobId);
    }
    addRequired(dependencies);
    String visited;
    while ((visited = toVisit.poll()) != null) {
      JobDependencies visitedDependencies = gatedJobs.get(visited);
      if (dependsOn(visitedDependencies, jobId, dependencies)) {
        return Optional.of(visited);
      }
      addRequired(visitedDependencies);
    }
    return Optional.empty();
  }

  /**
   * True when the dependent job requires the other one, by its id or through a game that the other
   * one folds.
   */
  private static boolean dependsOn(
      JobDependencies dependent, String requiredId, JobDependencies required) {
    return dependent.requiredJobs().contains(requiredId) || required.foldsGameRequiredBy(dependent);
  }

  /** Adds the gated jobs that a job depends on and that the search has not reached before. */
  private void addRequired(JobDependencies dependent) {
    for (String required : dependent.requiredJobs()) {
      if (gatedJobs.containsKey(required)) {
        addUnseen(required);
      }
    }
    if (dependent.requiredGames().isEmpty()) {
      return;
    }
    gatedJobs.forEach(
        (id, dependencies) -> {
          if (dependencies.foldsGameRequiredBy(dependent)) {
            addUnseen(id);
          }
        });
  }

  private void addUnseen(String jobId) {
    if (reached.add(jobId)) {
      toVisit.add(jobId);
    }
  }
}
