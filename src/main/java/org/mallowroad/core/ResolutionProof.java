package org.mallowroad.core;

import java.util.Locale;

/** What proves that an attempt is gone, see {@link AttemptTracker}. */
public enum ResolutionProof {
  /** The worker reported the exit of the task. */
  WORKER_REPORT,
  /** The worker showed a later session than the attempt's. */
  NEW_SESSION,
  /** The worker did not list the attempt, and no message can start it any more. */
  UNLISTED,
  /** The lease of the attempt's session must have expired. */
  LEASE_EXPIRED,
  /** The cloud confirmed the deletion of the machine. */
  MACHINE_DELETED,
  /** The cloud listed the machine as failed. */
  MACHINE_FAILED,
  /** The attempt was never committed, so it was never launched. */
  NEVER_COMMITTED;

  /** The name in logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
