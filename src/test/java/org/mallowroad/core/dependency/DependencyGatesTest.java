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

/** Circles are refused when they would close; what a commit causes follows what it touches. */
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
  Stream<DynamicTest> circles() {
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

  /** A thousand held jobs that wait for ten thousand: a commit looks at those that it touches. */
  @Test
  void whatACommitCausesFollowsWhatItTouches() {
    DependencyGates holds = new DependencyGates();
    for (int i = 0; i < 1_000; i++) {
      String[] jobs = new String[10];
      for (int j = 0; j < 10; j++) {
        jobs[j] = "job-" + (10 * i + j);
      }
      holds.add("job-9" + i, on(jobs));
    }
    while (holds.next() != null) {
      // Each is looked at once when it comes.
    }
    long before = holds.looked();
    for (int j = 0; j < 10; j++) {
      holds.ended("job-" + (70 + j), true, Set.of());
    }
    DependencyGates.Hold h = holds.next();
    assertEquals("job-97", h.job);
    assertEquals(List.of(), h.left());
    assertNull(holds.next());
    assertTrue(holds.looked() - before <= 12, "looked at " + (holds.looked() - before));
    holds.remove("job-97");
    holds.ended("job-70", true, Set.of());
    assertNull(holds.next());
  }

  @Test
  void whatIsPrintedIsNotLookedAtAgainAndWhatIsClosedIs() {
    DependencyGates holds = new DependencyGates();
    DependencyGates.Hold a = holds.add("job-1", games(9));
    DependencyGates.Hold b = holds.add("job-2", games(9));
    Map<String, Boolean> seen = new HashMap<>();
    for (DependencyGates.Hold h = holds.next(); h != null; h = holds.next()) {
      seen.put(h.job, true);
    }
    assertEquals(2, seen.size());
    a.state = DependencyGates.State.PRINTED;
    holds.league("l");
    assertEquals(b, holds.next());
    assertNull(holds.next());
  }
}
