package org.mallowroad.core.dependency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Tests the search for dependency cycles, and which events cause which gates to be evaluated. */
final class DependencyGatesTest {
  private static JobDependencies requiringJobs(String... jobs) {
    return new JobDependencies(Map.of(), List.of(jobs), List.of());
  }

  private static JobDependencies requiringGames(long lastGame, int... foldedBlocks) {
    Map<String, IntList> foldedByLeague =
        foldedBlocks.length == 0 ? Map.of() : Map.of("l", IntArrayList.wrap(foldedBlocks));
    return new JobDependencies(
        foldedByLeague, List.of(), List.of(new JobDependencies.RequiredGames("l", lastGame, null)));
  }

  private static JobDependencies foldingBlock(int block, String... jobs) {
    return new JobDependencies(Map.of("l", IntArrayList.of(block)), List.of(jobs), List.of());
  }

  private static DynamicTest testCase(
      String name,
      String lastJobOfCycle,
      JobDependencies dependencies,
      Map<String, JobDependencies> gatedJobs) {
    return DynamicTest.dynamicTest(
        name,
        () ->
            assertEquals(
                Optional.ofNullable(lastJobOfCycle),
                DependencyCycles.findCycle("job-1", dependencies, gatedJobs)));
  }

  @TestFactory
  Stream<DynamicTest> jobThatWouldCloseACycleIsFound() {
    return Stream.of(
        testCase(
            "a job that requires itself closes a cycle", "job-1", requiringJobs("job-1"), Map.of()),
        testCase(
            "a job that requires games that it folds itself closes a cycle",
            "job-1",
            requiringGames(40, 1),
            Map.of()),
        testCase(
            "a job that folds later games than it requires closes no cycle",
            null,
            requiringGames(40, 2),
            Map.of()),
        testCase(
            "a job that requires an unknown job closes no cycle",
            null,
            requiringJobs("job-7"),
            Map.of()),
        testCase(
            "two jobs that require each other form a cycle",
            "job-2",
            requiringJobs("job-2"),
            Map.of("job-2", requiringJobs("job-1"))),
        testCase(
            "a cycle through two other jobs is found",
            "job-3",
            requiringJobs("job-2"),
            Map.of("job-2", requiringJobs("job-3"), "job-3", requiringJobs("job-1"))),
        testCase(
            "a cycle through required games is found",
            "job-2",
            requiringGames(40),
            Map.of("job-2", foldingBlock(1, "job-1"), "job-4", foldingBlock(2, "job-1"))),
        testCase(
            "a cycle through games that the job folds is found",
            "job-2",
            foldingBlock(0, "job-2"),
            Map.of("job-2", requiringGames(5))),
        testCase(
            "a cycle of other jobs is not closed by the job",
            null,
            requiringJobs("job-2"),
            Map.of("job-2", requiringJobs("job-3"), "job-3", requiringJobs("job-2"))));
  }

  /**
   * Guards against a cost per ended job that grows with the number of gates: of a thousand gated
   * jobs that require ten jobs each, only those that require the ended job are visited.
   */
  @Test
  void endOfJobVisitsOnlyGatesThatRequireIt() {
    DependencyGates gates = new DependencyGates();
    for (int i = 0; i < 1_000; i++) {
      String[] jobs = new String[10];
      for (int j = 0; j < 10; j++) {
        jobs[j] = "job-" + (10 * i + j);
      }
      gates.add("job-9" + i, requiringJobs(jobs));
    }
    while (gates.pollGateToEvaluate() != null) {
      // Each gate is evaluated once after it is added.
    }
    long visitsBefore = gates.visitCount();
    for (int j = 0; j < 10; j++) {
      gates.recordJobEnded("job-" + (70 + j), true, Set.of());
    }
    DependencyGate gate = gates.pollGateToEvaluate();
    assertEquals("job-97", gate.jobId());
    assertEquals(List.of(), gate.incompleteJobs());
    assertNull(gates.pollGateToEvaluate());
    assertTrue(
        gates.visitCount() - visitsBefore <= 12, "visited " + (gates.visitCount() - visitsBefore));
    gates.remove("job-97");
    gates.recordJobEnded("job-70", true, Set.of());
    assertNull(gates.pollGateToEvaluate());
  }

  @Test
  void startedGateIsNotEvaluatedAgainAndClosedOneIs() {
    DependencyGates gates = new DependencyGates();
    DependencyGate started = gates.add("job-1", requiringGames(9));
    DependencyGate closed = gates.add("job-2", requiringGames(9));
    Map<String, Boolean> evaluated = new HashMap<>();
    for (DependencyGate gate = gates.pollGateToEvaluate();
        gate != null;
        gate = gates.pollGateToEvaluate()) {
      evaluated.put(gate.jobId(), true);
    }
    assertEquals(2, evaluated.size());
    started.start(1);
    gates.recordLeagueChanged("l");
    assertEquals(closed, gates.pollGateToEvaluate());
    assertNull(gates.pollGateToEvaluate());
  }
}
