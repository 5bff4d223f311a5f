package org.mallowroad.controller;

/**
 * Counters of the leader's work in a logging interval: how near the machine is to its limit. Runs
 * on the event loop only.
 */
final class LoadStatistics {
  private long lastTickMs;
  private long loopLagMs;
  private long previousLoopLagMs;
  private long heartbeats;
  private long directCommands;
  private long placementPasses;
  private long placementNanos;

  /** Regular ticks begin; the first one is measured from now. */
  void ticksBegin(long now) {
    lastTickMs = now;
  }

  /** A regular tick, due {@code intervalMs} after the one before. */
  void tick(long now, long intervalMs) {
    loopLagMs = Math.max(loopLagMs, now - lastTickMs - intervalMs);
    lastTickMs = now;
  }

  /** A heartbeat of a known machine came. */
  void heartbeatReceived() {
    heartbeats++;
  }

  /** Commands were sent to a worker without waiting for its heartbeat. */
  void directCommandsSent() {
    directCommands++;
  }

  /** A placement pass ended after so many nanoseconds. */
  void placementPassEnded(long nanos) {
    placementPasses++;
    placementNanos += nanos;
  }

  /**
   * How late the loop ran at worst since the interval before this one began, in milliseconds: the
   * first sign of too much work.
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

  /** The interval's figures are logged: a new interval begins. */
  void beginInterval() {
    previousLoopLagMs = loopLagMs;
    loopLagMs = 0;
    heartbeats = 0;
    directCommands = 0;
    placementPasses = 0;
    placementNanos = 0;
  }
}
