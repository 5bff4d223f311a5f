package org.mallowroad.console.view;

import java.util.List;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;

/**
 * What the state service has on record, read by the console itself.
 *
 * @param problem why it could not be read, in one line, or empty
 * @param partial true when the budget of reads ended before the records did
 * @param reads requests that it took
 * @param leader node of the leader's record, empty without one
 * @param leaderTerm its term
 * @param term the highest term that was given out
 * @param jobs open jobs; running tasks are not told from starting ones in a record
 * @param attempts attempts that are not resolved
 * @param hires rental requests that are not settled
 */
public record RecordedState(
    String address,
    String problem,
    boolean partial,
    int reads,
    String leader,
    long leaderTerm,
    long term,
    List<JobLine> jobs,
    int attempts,
    int hires) {

  /** Nothing was read. */
  public static RecordedState notRead(String address, String problem) {
    return new RecordedState(address, problem, false, 0, "", 0, 0, List.of(), 0, 0);
  }

  /** True when it was asked and answered. */
  public boolean wasRead() {
    return problem.isEmpty() && !address.isEmpty();
  }
}
