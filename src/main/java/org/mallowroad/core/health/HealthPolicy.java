package org.mallowroad.core.health;

/**
 * The operators' thresholds for health evidence (XML, element {@code health}).
 *
 * @param slowFactor a machine is slow when its tasks take this many times as long as their peers
 * @param slowSamples least number of tasks that must show it
 * @param maxSlowShare at most this share of the fleet is suspected at once: when more machines seem
 *     slow the whole day is slow
 * @param suspicionExpiryMs without new evidence a suspicion expires after this time, in ms, and the
 *     machine is tried again
 * @param errors number of jobs whose tasks must fail on a machine to make it faulty
 * @param partitionShare a zone is partitioned when this share of its machines is overdue while the
 *     rest of the fleet reports; it also is when none of its machines reports
 * @param minPartitionMachines zones of fewer machines are never taken for partitioned
 * @param partitionReturnShare this share of a partitioned zone's machines may be deleted before
 *     their leases expire
 * @param returnShare this share of the fleet may be deleted for silence at once; the allowance
 *     refills in the time of a worker's lease
 * @param minReturns this many machines may be deleted at once whatever the size of the fleet
 * @param maxReplacementShare at most this share of a partitioned zone's capacity is replaced in
 *     other zones
 * @param pauseMs a gap of more than this between two activities of the event loop, in ms, is a
 *     pause of the process
 */
public record HealthPolicy(
    double slowFactor,
    int slowSamples,
    double maxSlowShare,
    long suspicionExpiryMs,
    int errors,
    double partitionShare,
    int minPartitionMachines,
    double partitionReturnShare,
    double returnShare,
    int minReturns,
    double maxReplacementShare,
    long pauseMs) {

  /** The values without settings; docs/health.md gives the reason for each. */
  public static HealthPolicy defaults() {
    return new HealthPolicy(1.7, 5, 0.1, 90_000, 3, 0.8, 5, 0.5, 0.35, 8, 0.5, 1_500);
  }
}
