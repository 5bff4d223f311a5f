package org.mallowroad.console.view;

import java.util.List;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;

/**
 * The records of the state service, which the console reads directly and not through a controller.
 *
 * @param address the address of the state service, or empty if it is not queried
 * @param problem why the records could not be read, in one line; empty if they were read
 * @param partial true if the request limit was reached before all records were read
 * @param reads the number of requests used
 * @param leader the node that the leader record names, or empty if there is no leader record
 * @param leaderTerm the term in the leader record, or 0 if there is none
 * @param term the highest term that was assigned
 * @param jobs the open jobs; their starting count includes running tasks, because the records do
 *     not distinguish the two
 * @param attempts the number of unresolved attempts
 * @param hires the number of unsettled rental requests
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

  /** No records were read, because of a problem or, without an address, by configuration. */
  public static RecordedState notRead(String address, String problem) {
    return new RecordedState(address, problem, false, 0, "", 0, 0, List.of(), 0, 0);
  }

  /** Returns whether the state service was queried and answered. */
  public boolean wasRead() {
    return problem.isEmpty() && !address.isEmpty();
  }
}
