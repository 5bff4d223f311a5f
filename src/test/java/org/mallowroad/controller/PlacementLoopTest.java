package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.VirtualTimeHarness;

/**
 * Checks when placement passes run, so that their number does not grow with the number of requests
 * and none runs outside a serving term.
 */
final class PlacementLoopTest {
  private final VirtualTimeHarness clock = new VirtualTimeHarness();
  private final LeaderLifecycle lifecycle = new LeaderLifecycle();
  private final LoadStatistics load = new LoadStatistics();
  private final List<Long> passStartsMs = new ArrayList<>();
  private long passDurationMs;
  private final PlacementLoop placement =
      new PlacementLoop(clock.new Process(), lifecycle, load, this::runPlacement);

  private void runPlacement() {
    passStartsMs.add(clock.nowMs);
    clock.nowMs += passDurationMs;
  }

  @Test
  void passesRunOnlyWhileTheTermIsServing() {
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(), passStartsMs, "no pass runs while the term is recovering");
    lifecycle.completeRecovery();
    placement.requestPass();
    lifecycle.stop();
    clock.advance(1_000);
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(), passStartsMs, "no pass runs after the term has stopped");
  }

  @Test
  void requestsShareAPassAndPassesAreSpaced() {
    lifecycle.completeRecovery();
    for (int i = 0; i < 100; i++) {
      placement.requestPass();
      placement.requestPass();
      clock.advance(1);
    }
    clock.advance(100);
    assertEquals(List.of(1_000L, 1_040L, 1_080L, 1_120L), passStartsMs);
    assertEquals(4, load.placementPasses());
  }

  @Test
  void theNextPassWaitsTwiceAsLongAsTheLastOneTook() {
    lifecycle.completeRecovery();
    passDurationMs = 100;
    placement.requestPass();
    clock.advance(150);
    placement.requestPass();
    clock.advance(1_000);
    assertEquals(List.of(1_000L, 1_300L), passStartsMs);
    assertEquals(200, load.placementMs());
  }

  @Test
  void tasksRunOnceAfterTheNextPass() {
    lifecycle.completeRecovery();
    List<Integer> passCounts = new ArrayList<>();
    placement.runAfterNextPass(() -> passCounts.add(passStartsMs.size()));
    placement.requestPass();
    clock.advance(100);
    placement.requestPass();
    clock.advance(100);
    assertEquals(List.of(1), passCounts);
  }
}
