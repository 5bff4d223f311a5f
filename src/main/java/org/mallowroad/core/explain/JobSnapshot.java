package org.mallowroad.core.explain;

import java.util.List;

/**
 * One job's tasks and where they are.
 *
 * @param job its line, or null when the job is not open here
 * @param remedy what would let its waiting tasks go on, or empty
 * @param tasks unresolved attempts, {@link #MAX_TASKS} at the most
 * @param leftOut further attempts
 */
public record JobSnapshot(
    String id, NodeSnapshot.JobLine job, String remedy, List<TaskLine> tasks, int leftOut) {
  /** Tasks that are listed at the most. */
  public static final int MAX_TASKS = 500;

  /** An unresolved attempt and its machine. */
  public record TaskLine(
      int task,
      int attempt,
      String phase,
      String machine,
      String type,
      String zone,
      boolean spot,
      boolean silent,
      boolean stopping,
      double ageS) {}
}
