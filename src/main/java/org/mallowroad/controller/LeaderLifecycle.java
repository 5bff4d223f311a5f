package org.mallowroad.controller;

/**
 * The state of one term, shared by all parts of a {@link Leader}. Runs on the event loop only.
 *
 * <p>A term passes through the states in order and may be stopped in any of them.
 */
final class LeaderLifecycle {
  /** What the leader does in the term. */
  enum State {
    /** Reads the records of the term before; heartbeats are deferred, nothing is placed. */
    RECOVERING,

    /** Places tasks and answers heartbeats; machines are neither rented nor returned yet. */
    SERVING,

    /** Every worker had time to send a heartbeat: machines are rented and returned as well. */
    ACTIVE,

    /** The leadership ended; callbacks that are still on their way must do nothing. */
    STOPPED
  }

  private State state = State.RECOVERING;

  /** The records of the term before are read. */
  void recovered() {
    state = State.SERVING;
  }

  /** Every worker had time to send a heartbeat. */
  void activate() {
    state = State.ACTIVE;
  }

  /** The leadership ended. */
  void stop() {
    state = State.STOPPED;
  }

  /** True until the records of the term before are read. */
  boolean isRecovering() {
    return state == State.RECOVERING;
  }

  /** True while the leader serves, whether or not it rents and returns machines already. */
  boolean isServing() {
    return state == State.SERVING || state == State.ACTIVE;
  }

  /** True while machines are rented and returned. */
  boolean isActive() {
    return state == State.ACTIVE;
  }

  /** True once the leadership ended. */
  boolean isStopped() {
    return state == State.STOPPED;
  }
}
