package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.net.EventLoop;

/**
 * Paces the placement passes of a leader: a pass runs soon after it is requested, and requests that
 * arrive before it runs share that pass. Runs on the event loop only.
 */
final class PlacementLoop {
  /**
   * Minimum pause in milliseconds from the end of a pass to the start of the next one. The pause is
   * also at least {@link #PAUSE_TO_PASS_RATIO} times the duration of the last pass. Both bound the
   * number of passes, which must not grow with the number of heartbeats.
   */
  private static final long MIN_PASS_INTERVAL_MS = 40;

  private static final long PAUSE_TO_PASS_RATIO = 2;

  private final EventLoop loop;
  private final LeaderLifecycle lifecycle;
  private final LoadStatistics load;
  private final Runnable runPlacement;
  private final List<Runnable> runAfterNextPass = new ArrayList<>();
  private boolean isPassScheduled;
  private long lastPassEndNanos;
  private long lastPassDurationNanos;

  /** Creates a loop that calls {@code runPlacement} for each pass. */
  PlacementLoop(
      EventLoop loop, LeaderLifecycle lifecycle, LoadStatistics load, Runnable runPlacement) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.load = load;
    this.runPlacement = runPlacement;
  }

  /** Requests a pass, since tasks may be placed or records have to be committed. */
  void requestPass() {
    if (isPassScheduled || !lifecycle.isServing()) {
      return;
    }
    isPassScheduled = true;
    long sinceLastMs = (loop.nanoTime() - lastPassEndNanos) / 1_000_000;
    long waitMs =
        Math.max(MIN_PASS_INTERVAL_MS, PAUSE_TO_PASS_RATIO * lastPassDurationNanos / 1_000_000)
            - sinceLastMs;
    if (waitMs <= 0) {
      loop.submit(this::runPass);
    } else {
      loop.after(waitMs, this::runPass);
    }
  }

  /** Runs a task once, after the next pass. */
  void runAfterNextPass(Runnable task) {
    runAfterNextPass.add(task);
  }

  private void runPass() {
    isPassScheduled = false;
    if (lifecycle.isStopped()) {
      return;
    }
    long startNanos = loop.nanoTime();
    runPlacement.run();
    lastPassEndNanos = loop.nanoTime();
    lastPassDurationNanos = lastPassEndNanos - startNanos;
    load.recordPlacementPass(lastPassDurationNanos);
    List<Runnable> tasks = new ArrayList<>(runAfterNextPass);
    runAfterNextPass.clear();
    tasks.forEach(Runnable::run);
  }
}
