package org.mallowroad.controller;

/**
 * The state of one term, shared by all components of a {@link Leader}. Runs on the event loop only.
 *
 * <p>A term passes through the states in order and may be stopped in any of them.
 */
final class LeaderLifecycle {
  /** The phases of a term. */
  enum State {
    /** Reads the records of the previous term; heartbeats are deferred and no task is placed. */
    RECOVERING,

    /** Places tasks and answers heartbeats; machines are neither rented nor returned yet. */
    SERVING,

    /**
     * Every worker has had time to send a heartbeat, so machines are rented and returned as well.
     */
    ACTIVE,

    /** The leadership has ended; callbacks that are still pending must do nothing. */
    STOPPED
  }

  private State state = State.RECOVERING;

  /** Called when the records of the previous term are read. */
  void completeRecovery() {
    state = State.SERVING;
  }

  /** Called when every worker has had time to send a heartbeat. */
  void activate() {
    state = State.ACTIVE;
  }

  /** Called when the leadership ends. */
  void stop() {
    state = State.STOPPED;
  }

  /** True until the records of the previous term are read. */
  boolean isRecovering() {
    return state == State.RECOVERING;
  }

  /**
   * True while the leader places tasks and answers heartbeats, whether or not it already rents and
   * returns machines.
   */
  boolean isServing() {
    return state == State.SERVING || state == State.ACTIVE;
  }

  /** True while machines are rented and returned. */
  boolean isActive() {
    return state == State.ACTIVE;
  }

  /** True once the leadership has ended. */
  boolean isStopped() {
    return state == State.STOPPED;
  }
}
