package org.mallowroad.controller;

/**
 * Counts the work of the leader in a logging interval, which shows how close the node is to its
 * capacity. Runs on the event loop only.
 */
final class LoadStatistics {
  private long lastTickMs;
  private long loopLagMs;
  private long previousLoopLagMs;
  private long heartbeats;
  private long directCommands;
  private long placementPasses;
  private long placementNanos;

  /** Called when periodic ticks start; the lag of the first tick is measured from now. */
  void startTicks(long now) {
    lastTickMs = now;
  }

  /** Records a periodic tick, which was due {@code intervalMs} after the previous one. */
  void recordTick(long now, long intervalMs) {
    loopLagMs = Math.max(loopLagMs, now - lastTickMs - intervalMs);
    lastTickMs = now;
  }

  /** Counts a heartbeat of a known machine. */
  void recordHeartbeat() {
    heartbeats++;
  }

  /**
   * Counts a message with commands that was sent directly to a worker, without waiting for its
   * heartbeat.
   */
  void recordDirectCommands() {
    directCommands++;
  }

  /** Counts a placement pass with its duration in nanoseconds. */
  void recordPlacementPass(long durationNanos) {
    placementPasses++;
    placementNanos += durationNanos;
  }

  /**
   * Maximum event loop lag, in milliseconds, since the beginning of the previous interval. Event
   * loop lag is the first sign of overload.
   */
  long worstLoopLagMs() {
    return Math.max(previousLoopLagMs, loopLagMs);
  }

  long loopLagMs() {
    return loopLagMs;
  }

  long heartbeats() {
    return heartbeats;
  }

  long directCommands() {
    return directCommands;
  }

  long placementPasses() {
    return placementPasses;
  }

  long placementMs() {
    return placementNanos / 1_000_000;
  }

  /** Resets the counters for a new interval, once those of the last one are logged. */
  void startInterval() {
    previousLoopLagMs = loopLagMs;
    loopLagMs = 0;
    heartbeats = 0;
    directCommands = 0;
    placementPasses = 0;
    placementNanos = 0;
  }
}
