package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.net.EventLoop;

/**
 * Paces the placement passes of a leader: a request for one runs it soon, and requests that come
 * meanwhile share it. Runs on the event loop only.
 */
final class PlacementLoop {
  /**
   * Passes are at least this far apart, and {@link #PAUSE_PER_PASS} times as far as the last one
   * took: their number must not grow with the number of heartbeats.
   */
  private static final long MIN_PASS_INTERVAL_MS = 40;

  private static final long PAUSE_PER_PASS = 2;

  private final EventLoop loop;
  private final LeaderLifecycle lifecycle;
  private final LoadStatistics load;
  private final Runnable pass;
  private final List<Runnable> afterNextPass = new ArrayList<>();
  private boolean isPassScheduled;
  private long lastPassEndNanos;
  private long lastPassNanos;

  /** Runs {@code pass} as often as requested and allowed. */
  PlacementLoop(EventLoop loop, LeaderLifecycle lifecycle, LoadStatistics load, Runnable pass) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.load = load;
    this.pass = pass;
  }

  /** Something may be placed or has to be committed: a pass runs soon. */
  void requestPass() {
    if (isPassScheduled || !lifecycle.isServing()) {
      return;
    }
    isPassScheduled = true;
    long sinceLastMs = (loop.nanos() - lastPassEndNanos) / 1_000_000;
    long waitMs =
        Math.max(MIN_PASS_INTERVAL_MS, PAUSE_PER_PASS * lastPassNanos / 1_000_000) - sinceLastMs;
    if (waitMs <= 0) {
      loop.soon(this::runPass);
    } else {
      loop.after(waitMs, this::runPass);
    }
  }

  /** Runs a task once, after the next pass. */
  void afterNextPass(Runnable task) {
    afterNextPass.add(task);
  }

  private void runPass() {
    isPassScheduled = false;
    if (lifecycle.isStopped()) {
      return;
    }
    long beganNanos = loop.nanos();
    pass.run();
    lastPassEndNanos = loop.nanos();
    lastPassNanos = lastPassEndNanos - beganNanos;
    load.placementPassEnded(lastPassNanos);
    List<Runnable> tasks = new ArrayList<>(afterNextPass);
    afterNextPass.clear();
    tasks.forEach(Runnable::run);
  }
}
