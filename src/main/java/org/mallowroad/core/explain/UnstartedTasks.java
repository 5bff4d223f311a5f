package org.mallowroad.core.explain;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.Machine;

/** Counts a job's attempts that do not run yet or whose machines are silent. */
final class UnstartedTasks {
  /** Number of attempts whose records are not committed yet. */
  int committingCount;

  /** Number of attempts that are committed and not reported by their workers yet. */
  int launchingCount;

  /** Number of attempts whose workers fetch the image. */
  int pullingCount;

  /** Number of committed attempts on silent machines. */
  int silentCount;

  /** The machine that has been silent for the longest time, or null without silent attempts. */
  Machine longestSilentMachine;

  /**
   * Time in ms of the latest heartbeat of {@link #longestSilentMachine}, or of its registration if
   * none was received.
   */
  long silentSinceMs = Long.MAX_VALUE;

  /** Creation time in ms of the oldest attempt that does not count as silent. */
  long oldestCreatedMs = Long.MAX_VALUE;

  /**
   * Time in ms at which the leases of all silent machines will have expired, which proves their
   * attempts gone; -1 when the lease of one of them proves nothing, 0 without silent attempts.
   */
  long leasesExpiredMs;

  /** Number of attempts that do not run yet and do not count as silent. */
  int startingCount() {
    return committingCount + launchingCount + pullingCount;
  }

  /** True when attempts of this phase have to be added with {@link #add}. */
  static boolean isCounted(Attempt.Phase phase, boolean onSilentMachine) {
    return onSilentMachine
        || phase == Attempt.Phase.RECORDING
        || phase == Attempt.Phase.READY
        || phase == Attempt.Phase.PULLING;
  }

  /**
   * Adds an attempt for which {@link #isCounted} is true.
   *
   * @param leaseExpiryMs time in ms at which the machine's lease expires, -1 when expiry cannot be
   *     proven; used for silent machines only
   */
  void add(Attempt attempt, Machine machine, boolean isSilent, long leaseExpiryMs) {
    if (isSilent && attempt.phase != Attempt.Phase.RECORDING) {
      addSilent(machine, leaseExpiryMs);
      return;
    }
    oldestCreatedMs = Math.min(oldestCreatedMs, attempt.createdMs);
    switch (attempt.phase) {
      case RECORDING -> committingCount++;
      case READY -> launchingCount++;
      default -> pullingCount++;
    }
  }

  private void addSilent(Machine machine, long leaseExpiryMs) {
    silentCount++;
    long lastSeenMs = machine.lastHeartbeatMs < 0 ? machine.firstSeenMs : machine.lastHeartbeatMs;
    if (lastSeenMs < silentSinceMs) {
      silentSinceMs = lastSeenMs;
      longestSilentMachine = machine;
    }
    // Without a lease expiry, an attempt is proven gone only when the cloud confirms the deletion.
    boolean hasNoLeaseProof = leaseExpiryMs < 0 || leasesExpiredMs < 0;
    leasesExpiredMs = hasNoLeaseProof ? -1 : Math.max(leasesExpiredMs, leaseExpiryMs);
  }
}
