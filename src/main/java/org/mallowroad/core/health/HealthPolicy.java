package org.mallowroad.core.health;

/**
 * The operators' thresholds for health evidence (element {@code health} of the XML settings).
 *
 * @param slowFactor a machine is slow when its tasks take more than this many times as long as
 *     comparable tasks elsewhere
 * @param minSlowSamples minimum number of slow tasks on a machine before it is considered slow
 * @param maxSlowShare maximum share of the fleet that may be suspect at once; when more machines
 *     seem slow, the cause is a general slowdown and not the machines
 * @param suspicionExpiryMs time in ms after which a suspicion without new evidence expires and the
 *     machine gets tasks again
 * @param minFailedJobs number of jobs whose tasks must fail on a machine before it is considered
 *     faulty
 * @param partitionShare share of a zone's machines that must be overdue, while the rest of the
 *     fleet reports, before the zone is considered partitioned; a zone of which no machine reports
 *     is considered partitioned as well
 * @param minPartitionMachines zones with fewer machines are never considered partitioned
 * @param maxPartitionDeletionShare maximum share of a partitioned zone's machines that may be
 *     deleted before their leases expire
 * @param maxDeletionShare maximum share of the fleet that may be deleted for silence at once; the
 *     allowance refills within the length of a worker's lease
 * @param minDeletions number of machines that may be deleted at once whatever the size of the fleet
 * @param maxReplacementShare maximum share of a partitioned zone's capacity that is replaced in
 *     other zones
 * @param pauseMs a gap between two activities of the event loop that is longer than this, in ms,
 *     counts as a pause of the process
 */
public record HealthPolicy(
    double slowFactor,
    int minSlowSamples,
    double maxSlowShare,
    long suspicionExpiryMs,
    int minFailedJobs,
    double partitionShare,
    int minPartitionMachines,
    double maxPartitionDeletionShare,
    double maxDeletionShare,
    int minDeletions,
    double maxReplacementShare,
    long pauseMs) {

  /** The default values; docs/health.md gives the reason for each. */
  public static HealthPolicy defaults() {
    return new HealthPolicy(1.7, 5, 0.1, 90_000, 3, 0.8, 5, 0.5, 0.35, 8, 0.5, 1_500);
  }
}
