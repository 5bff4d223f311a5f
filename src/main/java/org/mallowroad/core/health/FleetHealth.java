package org.mallowroad.core.health;

import java.util.ArrayList;
import java.util.List;

/**
 * Evidence about the health of the fleet and of this controller, for one leadership term.
 *
 * <p>The one entry point for the scheduler state, placement and the autoscaler, which report what
 * they see and ask for conclusions. Evidence may be wrong, so nothing here frees an attempt.
 *
 * <p>Times are in milliseconds of the caller's monotonic clock. Not thread-safe: confined to the
 * controller's event loop.
 */
public final class FleetHealth {
  /** Changes of suspicion that are kept for the log; further ones are only counted. */
  private static final int MAX_PENDING_CHANGES = 64;

  /**
   * A machine became suspect, or is trusted again.
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
  private final List<SuspicionChange> changes = new ArrayList<>();
  private long droppedChangeCount;
  private int fleetSize;

  /**
   * Creates the evidence of a new term.
   *
   * @param zones number of zones
   * @param heartbeatIntervalS the workers' heartbeat interval in seconds
   */
  public FleetHealth(HealthPolicy policy, int zones, double heartbeatIntervalS, long now) {
    this.policy = policy;
    this.failureDetector = new FailureDetector(zones, heartbeatIntervalS, policy, now);
    this.pauseDetector = new PauseDetector(policy.pauseMs(), now);
    this.stragglerDetector = new StragglerDetector(policy);
  }

  /** The operators' thresholds. */
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

  /** Adds a machine that was not learnt of by its heartbeat. */
  public void register(MachineHealth machine, long now) {
    failureDetector.register(machine, now);
    fleetSize++;
  }

  /**
   * Records a heartbeat of the machine that is read now.
   *
   * @return the time by which it had certainly arrived; see {@link PauseDetector#latestArrivalMs}
   */
  public long recordHeartbeat(MachineHealth machine, long now) {
    long arrivedMs = pauseDetector.latestArrivalMs(now);
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

  /** Records that a task ended well; see {@link StragglerDetector#recordTaskFinished}. */
  public void recordTaskFinished(
      MachineHealth machine,
      RunTimeBaseline job,
      int taskClass,
      long ranMs,
      double estimateS,
      long now) {
    if (stragglerDetector.recordTaskFinished(
        machine, job, taskClass, ranMs, estimateS, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  /** Records that a task failed; see {@link StragglerDetector#recordTaskFailed}. */
  public void recordTaskFailed(MachineHealth machine, int job, boolean jobAtFault, long now) {
    if (stragglerDetector.recordTaskFailed(machine, job, jobAtFault, fleetSize, now)) {
      recordSuspicionChange(machine);
    }
  }

  /** Sets how many tasks on the machine have run for several times as long as their peers. */
  public void setOverdueTasks(MachineHealth machine, int tasks, long now) {
    if (stragglerDetector.setOverdueTasks(machine, tasks, fleetSize, now)) {
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
    if (changes.size() < MAX_PENDING_CHANGES) {
      changes.add(new SuspicionChange(machine, machine.suspicion(), machine.slowdown()));
    } else {
      droppedChangeCount++;
    }
  }

  /** Takes the changes since the last call, {@link #MAX_PENDING_CHANGES} at the most. */
  public List<SuspicionChange> takeChanges() {
    List<SuspicionChange> taken = new ArrayList<>(changes);
    changes.clear();
    return taken;
  }

  /** Takes the number of changes since the last call that were counted but not kept. */
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
