package org.mallowroad.core;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The task completed. For a service this is a failure, since its replicas must keep running. */
  COMPLETED,
  /** The task was stopped by a command, or gave up because its gang was incomplete. */
  STOPPED,
  /** The task exited with an error. */
  FAILED,
  /** The worker refused the launch because it lacked free resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused the launch for another reason. */
  LAUNCH_REFUSED,
  /** The attempt ended with its machine or worker session, or was never started. */
  LOST
}
