package org.mallowroad.state;

/** How a call to the state service ended. */
public enum CallResult {
  /** Executed; a read of a key that does not exist is this as well. */
  OK,

  /** A transaction was not executed, since at least one of its conditions did not hold. */
  CONDITION_FAILED,

  /** The lease does not exist any more, so it cannot be renewed. */
  LEASE_EXPIRED,

  /**
   * The revision to watch from is older than what the service remembers: the keys must be read
   * again.
   */
  REVISION_COMPACTED,

  /** Certainly not executed. A read without a usable response is this as well. */
  NOT_EXECUTED,

  /** A write or a lease call without a response: it may have been executed, or still may be. */
  UNKNOWN
}
