package org.mallowroad.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the build records for the archive is what a rehearsal comes by. */
final class RehearseTest {
  @Test
  void bothNodesLeadTakeOverRunningTasksAndEndTheJobs() throws Exception {
    assertTrue(Rehearse.play());
  }
}
