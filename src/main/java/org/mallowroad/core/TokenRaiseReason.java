package org.mallowroad.core;

import java.util.Locale;

/** Why the leader raised the fencing token of a machine, see {@link HeartbeatReconciler}. */
public enum TokenRaiseReason {
  /** Exited tasks wait to be cleared. */
  EXITS_TO_CLEAR,
  /** The worker may have restarted and forgotten attempts that late commands could start again. */
  RESTARTED_WORKER,
  /** A direct launch of an attempt that the worker does not list must not be executed any more. */
  UNLISTED_LAUNCH,
  /** The leader checks whether its responses reach the worker. */
  REACHABILITY_PROBE;

  /** The name in logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
