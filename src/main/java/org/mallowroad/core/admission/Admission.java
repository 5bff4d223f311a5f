package org.mallowroad.core.admission;

/**
 * One node's part of the new jobs while the leader's records lag: it falls by a part while they do,
 * and rises again once they do not. Without word of a lag everything is admitted.
 *
 * <p>Each accepted job takes several writes later on, and the state service's limit is one for all
 * nodes. Beyond it every further job makes all others later, so new ones are turned away at once,
 * with the time to come back, while what was accepted is still answered, recorded and run.
 */
public final class Admission {
  /** A decrease counts only once in that time, since its effect takes as long to be seen. */
  static final long STEP_MS = 3_000;

  /** After so long without word of a lag the rate rises again. */
  static final long QUIET_MS = 3_000;

  private static final double DECREASE = 0.7;

  /** The rate rises by so much a second, and by that part of itself where that is more. */
  private static final double INCREASE_PER_S = 0.1;

  private static final double INCREASE_SHARE = 0.25;

  /** The least that is admitted, in jobs a second. */
  private static final double LEAST_PER_S = 0.1;

  /** At so many times the offered rate nothing is limited any more. */
  private static final double ENOUGH = 2;

  /** Part of the newest second in the average of what is offered. */
  private static final double NEWEST = 0.3;

  private static final long SECOND_MS = 1_000;

  /** Refusals come with any burst; a service that refuses for longer is overloaded itself. */
  static final int LASTING_SECONDS = 8;

  private int refusedSeconds;
  private boolean limited;
  private double perSecond;
  private double tokens;
  private double offeredPerSecond;
  private int offered;
  private long secondMs;
  private long tokensMs;
  private long toldMs = Long.MIN_VALUE / 2;
  private long decreasedMs = Long.MIN_VALUE / 2;
  private long refused;

  /** Starts without a limit. */
  public Admission(long now) {
    this.secondMs = now;
    this.tokensMs = now;
  }

  /** True when a job that is not known yet may be accepted now. */
  public boolean admits(long now) {
    turn(now);
    offered++;
    if (!limited) {
      return true;
    }
    if (tokens < 1) {
      refused++;
      return false;
    }
    tokens--;
    return true;
  }

  /** The leader's records lag. */
  public void overloaded(long now) {
    turn(now);
    toldMs = now;
    if (now - decreasedMs < STEP_MS) {
      return;
    }
    decreasedMs = now;
    perSecond = DECREASE * (limited ? perSecond : offeredPerSecond);
    perSecond = Math.max(LEAST_PER_S, perSecond);
    limited = true;
  }

  /**
   * Call once a second.
   *
   * @param refused true when the state service refused a call for its limits in that second
   */
  public void stateService(boolean refused, long now) {
    refusedSeconds = refused ? refusedSeconds + 1 : Math.max(0, refusedSeconds - 1);
    if (refusedSeconds >= LASTING_SECONDS) {
      refusedSeconds = LASTING_SECONDS;
      overloaded(now);
    }
  }

  private void turn(long now) {
    if (limited) {
      // A second's worth and one more: what comes together may be admitted together.
      tokens = Math.min(perSecond + 1, tokens + perSecond * (now - tokensMs) / SECOND_MS);
    }
    tokensMs = now;
    while (now - secondMs >= SECOND_MS) {
      secondMs += SECOND_MS;
      offeredPerSecond += NEWEST * (offered - offeredPerSecond);
      offered = 0;
      if (limited && secondMs - toldMs > QUIET_MS) {
        perSecond += Math.max(INCREASE_PER_S, INCREASE_SHARE * perSecond);
        limited = perSecond < ENOUGH * offeredPerSecond + LEAST_PER_S;
      }
    }
  }

  /** True while new jobs are limited. */
  public boolean limited() {
    return limited;
  }

  /** Jobs turned away so far. */
  public long refused() {
    return refused;
  }
}
