package org.mallowroad.core.explain;

import java.util.List;

/**
 * A job with its unresolved attempts and the machines to which they are assigned.
 *
 * @param id id of the job
 * @param job summary of the job, or null if this node has no open job with the id
 * @param remedy what would let the job's tasks run, or empty if all of them run
 * @param tasks unresolved attempts, at most {@link #MAX_TASKS}
 * @param leftOut number of unresolved attempts that are not listed
 */
public record JobSnapshot(
    String id, NodeSnapshot.JobLine job, String remedy, List<TaskLine> tasks, int leftOut) {
  /** Maximum number of attempts that are listed. */
  public static final int MAX_TASKS = 500;

  /**
   * An unresolved attempt and its machine.
   *
   * @param task index of the task
   * @param attempt number of the attempt
   * @param phase phase of the attempt in lower case
   * @param type machine type
   * @param silent true when the machine is silent
   * @param stopping true when the attempt is being stopped
   * @param ageS time since the attempt was created, in seconds
   */
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
