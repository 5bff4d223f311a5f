package org.mallowroad.state;

/** The outcome of a call to the state service. */
public enum CallResult {
  /** The call was executed. A read of a key that does not exist also has this result. */
  OK,

  /** The transaction was not executed because at least one of its conditions did not hold. */
  CONDITION_FAILED,

  /** The lease no longer exists, so it cannot be renewed. */
  LEASE_EXPIRED,

  /**
   * The requested start revision of a watch is older than the service's change history, so the keys
   * must be listed again.
   */
  REVISION_COMPACTED,

  /** The call was certainly not executed. A read without a usable response also has this result. */
  NOT_EXECUTED,

  /**
   * A write or a lease call received no usable response: it may have been executed, or may be
   * executed later.
   */
  UNKNOWN
}
