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

/** The search for cycles, and which gates are evaluated after which events. */
final class DependencyGatesTest {
  private static JobDependencies on(String... jobs) {
    return new JobDependencies(Map.of(), List.of(jobs), List.of());
  }

  private static JobDependencies games(long upTo, int... folds) {
    Map<String, IntList> f = folds.length == 0 ? Map.of() : Map.of("l", IntArrayList.wrap(folds));
    return new JobDependencies(
        f, List.of(), List.of(new JobDependencies.RequiredGames("l", upTo, null)));
  }

  private static JobDependencies folding(int block, String... jobs) {
    return new JobDependencies(Map.of("l", IntArrayList.of(block)), List.of(jobs), List.of());
  }

  private static DynamicTest row(
      String name, String through, JobDependencies own, Map<String, JobDependencies> held) {
    return DynamicTest.dynamicTest(
        name,
        () ->
            assertEquals(
                Optional.ofNullable(through), DependencyCycles.findCycle("job-1", own, held)));
  }

  @TestFactory
  Stream<DynamicTest> jobThatWouldCloseACycleIsFound() {
    return Stream.of(
        row("itself", "job-1", on("job-1"), Map.of()),
        row("games that it folds itself", "job-1", games(40, 1), Map.of()),
        row("later games of its league", null, games(40, 2), Map.of()),
        row("one that is not known yet", null, on("job-7"), Map.of()),
        row("one that waits for it", "job-2", on("job-2"), Map.of("job-2", on("job-1"))),
        row(
            "by way of two",
            "job-3",
            on("job-2"),
            Map.of("job-2", on("job-3"), "job-3", on("job-1"))),
        row(
            "by way of games",
            "job-2",
            games(40),
            Map.of("job-2", folding(1, "job-1"), "job-4", folding(2, "job-1"))),
        row(
            "others fold what waits for it",
            "job-2",
            folding(0, "job-2"),
            Map.of("job-2", games(5))),
        row(
            "a circle of others is not its own",
            null,
            on("job-2"),
            Map.of("job-2", on("job-3"), "job-3", on("job-2"))));
  }

  /** A thousand gated jobs that require ten thousand: an end visits those that require it. */
  @Test
  void endOfJobVisitsOnlyGatesThatRequireIt() {
    DependencyGates gates = new DependencyGates();
    for (int i = 0; i < 1_000; i++) {
      String[] jobs = new String[10];
      for (int j = 0; j < 10; j++) {
        jobs[j] = "job-" + (10 * i + j);
      }
      gates.add("job-9" + i, on(jobs));
    }
    while (gates.pollGateToEvaluate() != null) {
      // Each is evaluated once when it is added.
    }
    long before = gates.visitCount();
    for (int j = 0; j < 10; j++) {
      gates.recordJobEnded("job-" + (70 + j), true, Set.of());
    }
    DependencyGate gate = gates.pollGateToEvaluate();
    assertEquals("job-97", gate.jobId());
    assertEquals(List.of(), gate.incompleteJobs());
    assertNull(gates.pollGateToEvaluate());
    assertTrue(gates.visitCount() - before <= 12, "visited " + (gates.visitCount() - before));
    gates.remove("job-97");
    gates.recordJobEnded("job-70", true, Set.of());
    assertNull(gates.pollGateToEvaluate());
  }

  @Test
  void startedGateIsNotEvaluatedAgainAndClosedOneIs() {
    DependencyGates gates = new DependencyGates();
    DependencyGate a = gates.add("job-1", games(9));
    DependencyGate b = gates.add("job-2", games(9));
    Map<String, Boolean> seen = new HashMap<>();
    for (DependencyGate gate = gates.pollGateToEvaluate();
        gate != null;
        gate = gates.pollGateToEvaluate()) {
      seen.put(gate.jobId(), true);
    }
    assertEquals(2, seen.size());
    a.start(1);
    gates.recordLeagueChanged("l");
    assertEquals(b, gates.pollGateToEvaluate());
    assertNull(gates.pollGateToEvaluate());
  }
}
