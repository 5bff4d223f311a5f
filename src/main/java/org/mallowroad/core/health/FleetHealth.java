package org.mallowroad.core.health;

import java.util.ArrayList;
import java.util.List;

/**
 * Evidence about the health of the fleet and of this controller, collected during one leader term.
 *
 * <p>This is the only entry point to the detectors of this package. The scheduler state, placement
 * and the autoscaler report observations here and query the conclusions. Evidence may be wrong, so
 * nothing here frees an attempt.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class FleetHealth {
  /**
   * Maximum number of suspicion changes that are kept for the log; further ones are only counted.
   */
  private static final int MAX_PENDING_CHANGES = 64;

  /**
   * A machine became suspect or is trusted again.
   *
   * @param suspicion the new suspicion, {@link MachineHealth.Suspicion#NONE} when it is trusted
   * @param slowdown see {@link MachineHealth#slowdown}
   */
  public record SuspicionChange(
      MachineHealth machine, MachineHealth.Suspicion suspicion, double slowdown) {}

  private final HealthPolicy policy;
  private final FailureDetector failureDetector;
  private final PauseDetector pauseDetector;
  private final StragglerDetector stragglerDetector;
  private final List<SuspicionChange> pendingChanges = new ArrayList<>();
  private long droppedChangeCount;
  private int fleetSize;

  /**
   * Creates the detectors for a new leader term, without any evidence yet.
   *
   * @param zoneCount number of zones
   * @param heartbeatIntervalS the workers' heartbeat interval in seconds
   */
  public FleetHealth(HealthPolicy policy, int zoneCount, double heartbeatIntervalS, long now) {
    this.policy = policy;
    this.failureDetector = new FailureDetector(zoneCount, heartbeatIntervalS, policy, now);
    this.pauseDetector = new PauseDetector(policy.pauseMs(), now);
    this.stragglerDetector = new StragglerDetector(policy);
  }

  /** The thresholds that the operators configured. */
  public HealthPolicy policy() {
    return policy;
  }

  /** Detects silent machines and partitioned zones. */
  public FailureDetector failureDetector() {
    return failureDetector;
  }

  /** Detects pauses of this process. */
  public PauseDetector pauseDetector() {
    return pauseDetector;
  }

  /** Detects slow and faulty machines. */
  public StragglerDetector stragglerDetector() {
    return stragglerDetector;
  }

  /** Adds a machine to the fleet; see {@link FailureDetector#register}. */
  public void register(MachineHealth machine, long now) {
    failureDetector.register(machine, now);
    fleetSize++;
  }

  /**
   * Records a heartbeat of the machine that this node reads now.
   *
   * @return the time assumed for the heartbeat's arrival; see {@link
   *     PauseDetector#assumedArrivalMs}
   */
  public long recordHeartbeat(MachineHealth machine, long now) {
    long arrivedMs = pauseDetector.assumedArrivalMs(now);
    failureDetector.recordHeartbeat(machine, arrivedMs);
    if (stragglerDetector.expireSuspicion(machine, now)) {
      recordSuspicionChange(machine);
    }
    return arrivedMs;
  }

  /** Forgets a machine that is proven gone. */
  public void remove(MachineHealth machine) {
    failureDetector.remove(machine);
    stragglerDetector.remove(machine);
    fleetSize--;
  }

  /** Records that a task succeeded; see {@link StragglerDetector#recordTaskFinished}. */
  public void recordTaskFinished(
      MachineHealth machine,
      RunTimeBaseline jobBaseline,
      int taskClass,
      long ranMs,
      double estimateS,
      long now) {
    if (stragglerDetector.recordTaskFinished(
        machine, jobBaseline, taskClass, ranMs, estimateS, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  /** Records that a task failed; see {@link StragglerDetector#recordTaskFailed}. */
  public void recordTaskFailed(MachineHealth machine, int jobId, boolean jobAtFault, long now) {
    if (stragglerDetector.recordTaskFailed(machine, jobId, jobAtFault, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  /** Sets how many running tasks of the machine are overdue; see {@link StragglerDetector}. */
  public void setOverdueTasks(MachineHealth machine, int overdueTasks, long now) {
    if (stragglerDetector.setOverdueTasks(machine, overdueTasks, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  /** Records a task's wait for its image; see {@link StragglerDetector#recordImageWait}. */
  public void recordImageWait(MachineHealth machine, long waitedMs, double expectedMs, long now) {
    if (stragglerDetector.recordImageWait(machine, waitedMs, expectedMs, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  private void recordSuspicionChange(MachineHealth machine) {
    if (pendingChanges.size() < MAX_PENDING_CHANGES) {
      pendingChanges.add(new SuspicionChange(machine, machine.suspicion(), machine.slowdown()));
    } else {
      droppedChangeCount++;
    }
  }

  /** Returns and clears the changes since the last call, at most {@link #MAX_PENDING_CHANGES}. */
  public List<SuspicionChange> takeChanges() {
    List<SuspicionChange> taken = new ArrayList<>(pendingChanges);
    pendingChanges.clear();
    return taken;
  }

  /** Returns and resets the number of changes since the last call that were not kept. */
  public long takeDroppedChangeCount() {
    long taken = droppedChangeCount;
    droppedChangeCount = 0;
    return taken;
  }

  /** True when the machine is in a partitioned zone and its own heartbeat is overdue. */
  public boolean isPartitionedAway(MachineHealth machine) {
    return failureDetector.isPartitioned(machine.zone()) && failureDetector.isOverdue(machine);
  }
}
