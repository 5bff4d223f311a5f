package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Detects silent machines and partitioned zones from missing heartbeats.
 *
 * <p>The pattern of the silence indicates the cause:
 *
 * <ul>
 *   <li>A single silent machine is dead, hung or unreachable.
 *   <li>Many silent machines in a zone whose other machines still report were reclaimed by the
 *       cloud, or died.
 *   <li>A zone without any heartbeat, while the other zones report, is partitioned from this
 *       controller. In a zone of a hundred machines that report every few seconds, three seconds
 *       without a heartbeat reveal the partition before most of the machines are overdue.
 *   <li>Silence in all zones is more likely a fault of this controller ({@link #isLikelyIsolated}).
 * </ul>
 *
 * <p>Machines are kept in the order of their last heartbeats, so the cost of an evaluation is
 * proportional to the number of overdue machines. Times are in milliseconds of the caller's
 * monotonic clock. Not thread-safe: confined to the controller's event loop.
 */
public final class FailureDetector {
  /**
   * Time that a worker needs to find the leader: the timeout of its heartbeat and the redirection.
   */
  private static final long LEADER_SEARCH_MS = 2_500;

  /** Workers vary their heartbeat interval by up to a quarter. */
  private static final double INTERVAL_JITTER = 1.25;

  /** Allowance for the network and the event loop before a heartbeat is overdue. */
  private static final long OVERDUE_MARGIN_MS = 500;

  /**
   * Number of expected heartbeats that must all be missing before a zone is considered partitioned.
   * With random arrivals, twelve in a row are missing by chance once in 160,000 times.
   */
  private static final double MIN_MISSING_HEARTBEATS = 12;

  /**
   * Minimum length of a zone's silence, in heartbeat intervals, before the zone is considered
   * partitioned. Arrivals are not entirely random, since machines that booted together report
   * together.
   */
  private static final double MIN_SILENT_INTERVALS = 0.75;

  /**
   * A zone became partitioned, or ceased to be.
   *
   * @param zone index of the zone
   * @param partitioned true when the zone is considered partitioned now
   * @param overdueMachines number of machines of the zone whose heartbeats are overdue
   * @param knownMachines number of known machines of the zone
   * @param previousStateMs how long the previous state had lasted, in ms
   */
  public record ZoneStateChange(
      int zone,
      boolean partitioned,
      int overdueMachines,
      int knownMachines,
      long previousStateMs) {}

  private final HealthPolicy policy;
  private final long heartbeatIntervalMs;
  private final long overdueAfterMs;

  /** All known machines in the order of their last heartbeats, the oldest first. */
  private final ObjectLinkedOpenHashSet<MachineHealth> byLastHeartbeat =
      new ObjectLinkedOpenHashSet<>();

  // The arrays below are indexed by zone.
  private final int[] knownByZone;
  private final int[] overdueByZone;
  private final boolean[] partitionedZones;
  private final long[] zoneStateSinceMs;
  private final long[] lastHeartbeatMs;
  private final long[] listeningSinceMs;
  private int totalOverdue;
  private int totalKnown;
  private long examinedMachineCount;

  /**
   * Creates a detector that starts listening at {@code now}.
   *
   * @param zoneCount number of zones
   * @param heartbeatIntervalS the workers' heartbeat interval in seconds; it varies by a quarter
   */
  public FailureDetector(int zoneCount, double heartbeatIntervalS, HealthPolicy policy, long now) {
    this.policy = policy;
    this.heartbeatIntervalMs = (long) (heartbeatIntervalS * 1000);
    this.overdueAfterMs =
        (long) (heartbeatIntervalS * (1000 * INTERVAL_JITTER)) + OVERDUE_MARGIN_MS;
    this.knownByZone = new int[zoneCount];
    this.overdueByZone = new int[zoneCount];
    this.partitionedZones = new boolean[zoneCount];
    this.zoneStateSinceMs = new long[zoneCount];
    this.lastHeartbeatMs = new long[zoneCount];
    this.listeningSinceMs = new long[zoneCount];
    Arrays.fill(lastHeartbeatMs, now);
    Arrays.fill(zoneStateSinceMs, now);
    Arrays.fill(listeningSinceMs, now);
  }

  /**
   * Adds a machine that is known from another source than its heartbeat. Its worker gets the time
   * to find the leader before the machine's silence counts.
   */
  public void register(MachineHealth machine, long now) {
    if (!byLastHeartbeat.contains(machine)) {
      knownByZone[machine.zone]++;
      totalKnown++;
      machine.lastHeartbeatMs = now + LEADER_SEARCH_MS;
      byLastHeartbeat.addAndMoveToLast(machine);
    }
  }

  /** Records a heartbeat that arrived at {@code arrivedMs}. */
  public void recordHeartbeat(MachineHealth machine, long arrivedMs) {
    if (byLastHeartbeat.addAndMoveToLast(machine)) {
      knownByZone[machine.zone]++;
      totalKnown++;
    }
    machine.lastHeartbeatMs = arrivedMs;
    lastHeartbeatMs[machine.zone] = Math.max(lastHeartbeatMs[machine.zone], arrivedMs);
    setOverdue(machine, false);
  }

  /** Forgets a machine that no longer exists. */
  public void remove(MachineHealth machine) {
    if (byLastHeartbeat.remove(machine)) {
      setOverdue(machine, false);
      knownByZone[machine.zone]--;
      totalKnown--;
    }
  }

  /**
   * Resets the silence of all machines after a time in which this controller did not listen. Each
   * machine gets another heartbeat interval and the time to find this leader again, since its
   * worker may have been turned away or may have given this node up.
   */
  public void resetSilence(long now) {
    Arrays.fill(listeningSinceMs, now + LEADER_SEARCH_MS);
    for (MachineHealth machine : byLastHeartbeat) {
      setOverdue(machine, false);
    }
  }

  /**
   * Resets the silence of one zone's machines. Called when the zone's workers have lost their
   * direct route to this node and the first of their heartbeats has been relayed by a peer. The
   * other workers get the time to find the relayed route as well; otherwise half of a working fleet
   * would be deleted as silent in the meantime.
   */
  public void resetZoneSilence(int zone, long now) {
    listeningSinceMs[zone] = now + LEADER_SEARCH_MS;
    for (MachineHealth machine : byLastHeartbeat) {
      if (machine.zone == zone) {
        setOverdue(machine, false);
      }
    }
  }

  private void setOverdue(MachineHealth machine, boolean isOverdue) {
    if (machine.heartbeatOverdue != isOverdue) {
      machine.heartbeatOverdue = isOverdue;
      overdueByZone[machine.zone] += isOverdue ? 1 : -1;
      totalOverdue += isOverdue ? 1 : -1;
    }
  }

  /** How long the machine has been silent in ms, excluding times when this node did not listen. */
  public long silentMs(MachineHealth machine, long now) {
    return now - Math.max(machine.lastHeartbeatMs, listeningSinceMs[machine.zone]);
  }

  /** True when the machine's heartbeat was overdue at the latest evaluation. */
  public boolean isOverdue(MachineHealth machine) {
    return machine.heartbeatOverdue;
  }

  /** True while the zone is considered partitioned from this controller. */
  public boolean isPartitioned(int zone) {
    return partitionedZones[zone];
  }

  /** How long the zone has been considered partitioned, in ms; 0 while it is not. */
  public long partitionedForMs(int zone, long now) {
    return partitionedZones[zone] ? now - zoneStateSinceMs[zone] : 0;
  }

  /** Number of zones that are considered partitioned. */
  public int partitionedZoneCount() {
    int count = 0;
    for (boolean isPartitioned : partitionedZones) {
      count += isPartitioned ? 1 : 0;
    }
    return count;
  }

  /**
   * True when this controller itself is more likely at fault than the machines. That is the case
   * when most machines outside partitioned zones are overdue, or when no zone has sent a heartbeat
   * for longer than chance explains, even if few machines are overdue yet. The caller must not give
   * up any machine while this is true.
   */
  public boolean isLikelyIsolated(long now) {
    if (totalKnown >= policy.minPartitionMachines() && areAllZonesSilent(now)) {
      return true;
    }
    int reachableMachines = 0;
    int reachableOverdue = 0;
    for (int zone = 0; zone < partitionedZones.length; zone++) {
      if (!partitionedZones[zone]) {
        reachableMachines += knownByZone[zone];
        reachableOverdue += overdueByZone[zone];
      }
    }
    return 2 * reachableOverdue > reachableMachines;
  }

  /** Number of machines examined by all evaluations so far, a measure of their cost. */
  public long examinedMachineCount() {
    return examinedMachineCount;
  }

  /** Number of machines whose heartbeats are overdue. */
  public int overdueMachineCount() {
    return totalOverdue;
  }

  /** Number of known machines. */
  public int knownMachineCount() {
    return totalKnown;
  }

  /** Number of known machines of a zone. */
  public int knownMachineCount(int zone) {
    return knownByZone[zone];
  }

  /**
   * Evaluates which machines are overdue and which zones are partitioned.
   *
   * @return the zones whose state changed
   */
  public List<ZoneStateChange> evaluate(long now) {
    markOverdueMachines(now);
    List<ZoneStateChange> stateChanges = new ArrayList<>();
    for (int zone = 0; zone < partitionedZones.length; zone++) {
      boolean isPartitioned =
          partitionedZones[zone]
              ? isPartitionContinuing(zone, now)
              : isPartitionBeginning(zone, now);
      if (isPartitioned != partitionedZones[zone]) {
        partitionedZones[zone] = isPartitioned;
        long lastedMs = now - zoneStateSinceMs[zone];
        stateChanges.add(
            new ZoneStateChange(
                zone, isPartitioned, overdueByZone[zone], knownByZone[zone], lastedMs));
        zoneStateSinceMs[zone] = now;
      }
    }
    return stateChanges;
  }

  private void markOverdueMachines(long now) {
    for (MachineHealth machine : byLastHeartbeat) {
      examinedMachineCount++;
      if (now - machine.lastHeartbeatMs <= overdueAfterMs) {
        break; // The machines after this one reported more recently.
      }
      if (silentMs(machine, now) > overdueAfterMs) {
        setOverdue(machine, true);
      }
    }
  }

  private boolean isPartitionBeginning(int zone, long now) {
    return knownByZone[zone] >= policy.minPartitionMachines()
        && areOtherZonesReporting(zone, now)
        && (isSilent(zone, now)
            || overdueByZone[zone] >= policy.partitionShare() * knownByZone[zone]);
  }

  /**
   * True until the zone sends heartbeats again and at most half of its known machines are overdue,
   * because they report again or have been deleted.
   */
  private boolean isPartitionContinuing(int zone, long now) {
    return knownByZone[zone] >= policy.minPartitionMachines()
        && (isSilent(zone, now) || 2 * overdueByZone[zone] > knownByZone[zone]);
  }

  private boolean areAllZonesSilent(long now) {
    for (int zone = 0; zone < partitionedZones.length; zone++) {
      if (knownByZone[zone] > 0
          && !partitionedZones[zone]
          && now - lastHeartbeatMs[zone] <= silenceLimitMs(zone)) {
        return false;
      }
    }
    return true;
  }

  /** True when the zone has sent no heartbeat for longer than chance explains. */
  private boolean isSilent(int zone, long now) {
    long expectedMs = listeningSinceMs[zone] + (long) (INTERVAL_JITTER * heartbeatIntervalMs);
    return now - Math.max(lastHeartbeatMs[zone], expectedMs) > silenceLimitMs(zone);
  }

  private long silenceLimitMs(int zone) {
    return (long)
        Math.max(
            MIN_SILENT_INTERVALS * heartbeatIntervalMs,
            MIN_MISSING_HEARTBEATS * heartbeatIntervalMs / Math.max(1, knownByZone[zone]));
  }

  /**
   * True when most machines of the other zones report, and one of those zones sent a heartbeat
   * within the last third of the silence limit of this zone. When all zones fall silent together
   * the fault is on the controller's side, whichever zone sent the last heartbeat.
   */
  private boolean areOtherZonesReporting(int zone, long now) {
    int otherMachines = totalKnown - knownByZone[zone];
    int overdueOtherMachines = totalOverdue - overdueByZone[zone];
    for (int otherZone = 0; otherZone < partitionedZones.length; otherZone++) {
      if (otherZone != zone
          && !partitionedZones[otherZone]
          && 3 * (now - lastHeartbeatMs[otherZone]) < silenceLimitMs(zone)) {
        return otherMachines - overdueOtherMachines >= policy.minPartitionMachines()
            && 2 * overdueOtherMachines < otherMachines;
      }
    }
    return false;
  }
}
