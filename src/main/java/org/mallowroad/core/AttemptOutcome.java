package org.mallowroad.core;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The task completed; of a service this is a failure, since its replicas are to run on. */
  COMPLETED,
  /** It was stopped by command, or gave up because its gang was not complete. */
  STOPPED,
  /** The task failed by itself. */
  FAILED,
  /** The worker refused the launch for want of resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused the launch for another reason. */
  LAUNCH_REFUSED,
  /** It is gone with its machine or its session, or was never started. */
  LOST
}
