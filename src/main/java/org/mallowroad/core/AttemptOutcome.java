package org.mallowroad.core;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** Completed. */
  COMPLETED,
  /** Stopped by command. */
  STOPPED,
  /** Failed by itself. */
  FAILED,
  /** The worker refused it for want of room. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused it for another reason. */
  LAUNCH_REFUSED,
  /** Gone with its machine or its session, or never started. */
  LOST
}
