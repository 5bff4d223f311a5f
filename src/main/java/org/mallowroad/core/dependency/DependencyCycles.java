package org.mallowroad.core.dependency;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds cycles in the dependency graph before a job is accepted.
 *
 * <p>Every job of a cycle depends on another, so the gated jobs are all that has to be searched. A
 * required job that is not known yet may be submitted later; the cycle is then found with its own
 * submission.
 */
public final class DependencyCycles {
  private final Map<String, JobDependencies> gatedJobs;
  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<String> toVisit = new ArrayDeque<>();

  private DependencyCycles(Map<String, JobDependencies> gatedJobs) {
    this.gatedJobs = gatedJobs;
  }

  /**
   * Searches for a cycle that would be closed by accepting the job.
   *
   * @param jobId the job to be accepted
   * @param dependencies what it folds and requires
   * @param gatedJobs the dependencies of all accepted, gated jobs that have not ended, by job id
   * @return the last job of the cycle, which is {@code jobId} itself when the job depends on
   *     itself; empty when there is no cycle
   */
  public static Optional<String> findCycle(
      String jobId, JobDependencies dependencies, Map<String, JobDependencies> gatedJobs) {
    return new DependencyCycles(gatedJobs).search(jobId, dependencies);
  }

  private Optional<String> search(String jobId, JobDependencies dependencies) {
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

  /** True when a job depends on another one: by its id, or through the games that it folds. */
  private static boolean dependsOn(
      JobDependencies dependent, String requiredId, JobDependencies required) {
    return dependent.requiredJobs().contains(requiredId) || required.foldsGameRequiredBy(dependent);
  }

  /** Adds the gated jobs that a job depends on and that were not seen before. */
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
    if (seen.add(jobId)) {
      toVisit.add(jobId);
    }
  }
}
