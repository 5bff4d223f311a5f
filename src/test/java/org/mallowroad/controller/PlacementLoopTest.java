package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.VirtualTimeHarness;

/** When placement passes run. */
final class PlacementLoopTest {
  private final VirtualTimeHarness clock = new VirtualTimeHarness();
  private final LeaderLifecycle lifecycle = new LeaderLifecycle();
  private final LoadStatistics load = new LoadStatistics();
  private final List<Long> passesMs = new ArrayList<>();
  private long passTakesMs;
  private final PlacementLoop placement =
      new PlacementLoop(clock.new Process(), lifecycle, load, this::pass);

  private void pass() {
    passesMs.add(clock.nowMs);
    clock.nowMs += passTakesMs;
  }

  @Test
  void runsOnlyWhileTheTermIsServing() {
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(), passesMs, "recovering");
    lifecycle.recovered();
    placement.requestPass();
    lifecycle.stop();
    clock.advance(1_000);
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(), passesMs, "stopped");
  }

  @Test
  void requestsShareAPassAndPassesAreSpaced() {
    lifecycle.recovered();
    for (int i = 0; i < 100; i++) {
      placement.requestPass();
      placement.requestPass();
      clock.advance(1);
    }
    clock.advance(100);
    assertEquals(List.of(1_000L, 1_040L, 1_080L, 1_120L), passesMs);
    assertEquals(4, load.placementPasses());
  }

  @Test
  void theNextPassWaitsTwiceAsLongAsTheLastOneTook() {
    lifecycle.recovered();
    passTakesMs = 100;
    placement.requestPass();
    clock.advance(150);
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(1_000L, 1_300L), passesMs);
    assertEquals(200, load.placementMs());
  }

  @Test
  void tasksRunOnceAfterTheNextPass() {
    lifecycle.recovered();
    List<Integer> passesBefore = new ArrayList<>();
    placement.afterNextPass(() -> passesBefore.add(passesMs.size()));
    placement.requestPass();
    clock.advance(100);
    placement.requestPass();
    clock.advance(100);
    assertEquals(List.of(1), passesBefore);
  }
}
