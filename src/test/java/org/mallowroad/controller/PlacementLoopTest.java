package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.SteppedClock;

/** When placement passes run. */
final class PlacementLoopTest {
  private final SteppedClock clock = new SteppedClock();
  private final LeaderLifecycle lifecycle = new LeaderLifecycle();
  private final LoadStatistics load = new LoadStatistics();
  private final List<Long> passesMs = new ArrayList<>();
  private long passTakesMs;
  private final PlacementLoop placement =
      new PlacementLoop(clock.new Process(), lifecycle, load, this::pass);

  private void pass() {
    passesMs.add(clock.now);
    clock.now += passTakesMs;
  }

  @Test
  void runsOnlyWhileTheTermIsServing() {
    placement.requestPass();
    clock.run(1_000);
    assertEquals(List.of(), passesMs, "recovering");
    lifecycle.recovered();
    placement.requestPass();
    lifecycle.stop();
    clock.run(1_000);
    placement.requestPass();
    clock.run(1_000);
    assertEquals(List.of(), passesMs, "stopped");
  }

  @Test
  void requestsShareAPassAndPassesAreSpaced() {
    lifecycle.recovered();
    for (int i = 0; i < 100; i++) {
      placement.requestPass();
      placement.requestPass();
      clock.run(1);
    }
    clock.run(100);
    assertEquals(List.of(1_000L, 1_040L, 1_080L, 1_120L), passesMs);
    assertEquals(4, load.placementPasses());
  }

  @Test
  void theNextPassWaitsTwiceAsLongAsTheLastOneTook() {
    lifecycle.recovered();
    passTakesMs = 100;
    placement.requestPass();
    clock.run(150);
    placement.requestPass();
    clock.run(1_000);
    assertEquals(List.of(1_000L, 1_300L), passesMs);
    assertEquals(200, load.placementMs());
  }

  @Test
  void tasksRunOnceAfterTheNextPass() {
    lifecycle.recovered();
    List<Integer> passesBefore = new ArrayList<>();
    placement.afterNextPass(() -> passesBefore.add(passesMs.size()));
    placement.requestPass();
    clock.run(100);
    placement.requestPass();
    clock.run(100);
    assertEquals(List.of(1), passesBefore);
  }
}
