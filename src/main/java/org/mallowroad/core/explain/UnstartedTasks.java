package org.mallowroad.core.explain;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.Machine;

/** Attempts of one job that have not begun to run, or whose machines are silent. */
final class UnstartedTasks {
  /** Attempts whose records are not committed yet. */
  int committing;

  /** Attempts that are committed and to be launched. */
  int launching;

  /** Attempts that fetch their images. */
  int pulling;

  /** Attempts on silent machines. */
  int silent;

  /** The machine that has been silent for longest, or null without silent attempts. */
  Machine longestSilent;

  /** When {@link #longestSilent} sent its last heartbeat. */
  long silentSinceMs = Long.MAX_VALUE;

  /** Creation of the oldest attempt that is not on a silent machine. */
  long oldestMs = Long.MAX_VALUE;

  /** When the leases of all silent machines will have expired; -1 when no lease proves it. */
  long provenGoneMs;

  /** Attempts that exist but do not run yet. */
  int starting() {
    return committing + launching + pulling;
  }

  /** True when {@link #add} counts an attempt of this phase. */
  static boolean counts(Attempt.Phase phase, boolean onSilentMachine) {
    return onSilentMachine
        || phase == Attempt.Phase.RECORDING
        || phase == Attempt.Phase.READY
        || phase == Attempt.Phase.PULLING;
  }

  /**
   * Adds an attempt; see {@link #counts}.
   *
   * @param leaseExpiryMs when the machine's lease expires, -1 when it proves nothing; read for
   *     silent machines only
   */
  void add(Attempt attempt, Machine machine, boolean isSilent, long leaseExpiryMs) {
    if (isSilent && attempt.phase != Attempt.Phase.RECORDING) {
      addSilent(machine, leaseExpiryMs);
      return;
    }
    oldestMs = Math.min(oldestMs, attempt.createdMs);
    switch (attempt.phase) {
      case RECORDING -> committing++;
      case READY -> launching++;
      default -> pulling++;
    }
  }

  private void addSilent(Machine machine, long leaseExpiryMs) {
    silent++;
    long since = machine.lastHeartbeatMs < 0 ? machine.firstSeenMs : machine.lastHeartbeatMs;
    if (since < silentSinceMs) {
      silentSinceMs = since;
      longestSilent = machine;
    }
    // Where no lease proves it, an attempt is gone only when the cloud answers the deletion.
    boolean neverByLease = leaseExpiryMs < 0 || provenGoneMs < 0;
    provenGoneMs = neverByLease ? -1 : Math.max(provenGoneMs, leaseExpiryMs);
  }
}
