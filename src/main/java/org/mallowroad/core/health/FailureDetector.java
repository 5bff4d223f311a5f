package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Detects silent machines and partitioned zones from missing heartbeats.
 *
 * <p>The pattern of the silence tells the cause:
 *
 * <ul>
 *   <li>A single silent machine is dead, hung or unreachable.
 *   <li>Many silent machines in a zone whose other machines still report were taken away or died.
 *   <li>A zone without any heartbeat, while the other zones report, is partitioned from this
 *       controller. With a hundred machines that report every few seconds, three seconds without
 *       one heartbeat show it before most of the machines are overdue.
 *   <li>Silence in all zones is more likely a fault of this controller ({@link #isLikelyIsolated}).
 * </ul>
 *
 * <p>Machines are kept in the order of their last heartbeats, so an evaluation costs only as many
 * steps as machines are overdue. Times are in milliseconds of the caller's monotonic clock. Not
 * thread-safe: confined to the controller's event loop.
 */
public final class FailureDetector {
  /** Time for a worker to find the leader: time-out of its heartbeat, and the redirection. */
  private static final long LEADER_SEARCH_MS = 2_500;

  /** A heartbeat interval varies by up to a quarter. */
  private static final double INTERVAL_JITTER = 1.25;

  /** Allowance for the network and the event loop before a heartbeat is overdue. */
  private static final long OVERDUE_MARGIN_MS = 500;

  /**
   * Heartbeats expected from a zone that must all be missing before the zone is taken for
   * partitioned: with random arrivals that many are missing once in 160,000 times.
   */
  private static final double MIN_MISSING_HEARTBEATS = 12;

  /**
   * Least length of a zone's silence, in heartbeat intervals, before the zone is taken for
   * partitioned: arrivals are not quite random, since machines that booted together report
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

  /** All known machines, the longest silent first. */
  private final ObjectLinkedOpenHashSet<MachineHealth> byLastHeartbeat =
      new ObjectLinkedOpenHashSet<>();

  // The arrays below are indexed by zone.
  private final int[] known;
  private final int[] overdue;
  private final boolean[] partitioned;
  private final long[] verdictSinceMs;
  private final long[] lastHeartbeatMs;
  private final long[] listeningSinceMs;
  private int totalOverdue;
  private int totalKnown;
  private long examinedMachineCount;

  /**
   * Creates a detector that has been listening since {@code now}.
   *
   * @param zones number of zones
   * @param heartbeatIntervalS the workers' heartbeat interval in seconds; it varies by a quarter
   */
  public FailureDetector(int zones, double heartbeatIntervalS, HealthPolicy policy, long now) {
    this.policy = policy;
    this.heartbeatIntervalMs = (long) (heartbeatIntervalS * 1000);
    this.overdueAfterMs =
        (long) (heartbeatIntervalS * (1000 * INTERVAL_JITTER)) + OVERDUE_MARGIN_MS;
    this.known = new int[zones];
    this.overdue = new int[zones];
    this.partitioned = new boolean[zones];
    this.verdictSinceMs = new long[zones];
    this.lastHeartbeatMs = new long[zones];
    this.listeningSinceMs = new long[zones];
    Arrays.fill(lastHeartbeatMs, now);
    Arrays.fill(verdictSinceMs, now);
    Arrays.fill(listeningSinceMs, now);
  }

  /** Adds a machine that was not learnt of by its heartbeat; it is given time to send one. */
  public void register(MachineHealth machine, long now) {
    if (!byLastHeartbeat.contains(machine)) {
      known[machine.zone]++;
      totalKnown++;
      machine.lastHeartbeatMs = now + LEADER_SEARCH_MS;
      byLastHeartbeat.addAndMoveToLast(machine);
    }
  }

  /** Records a heartbeat that arrived at {@code arrivedMs}. */
  public void recordHeartbeat(MachineHealth machine, long arrivedMs) {
    if (byLastHeartbeat.addAndMoveToLast(machine)) {
      known[machine.zone]++;
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
      known[machine.zone]--;
      totalKnown--;
    }
  }

  /**
   * Starts anew after a time in which this controller did not listen. Each machine gets another
   * heartbeat interval, and the time to find this leader again: its worker was turned away or gave
   * this node up.
   */
  public void resetSilence(long now) {
    Arrays.fill(listeningSinceMs, now + LEADER_SEARCH_MS);
    for (MachineHealth machine : byLastHeartbeat) {
      setOverdue(machine, false);
    }
  }

  /**
   * Starts anew for one zone, whose workers lost their direct route to this node and of which the
   * first heartbeat came by way of a peer. The other workers get the time to find that route too;
   * otherwise half of a working fleet would be deleted as silent meanwhile.
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
    if (machine.overdue != isOverdue) {
      machine.overdue = isOverdue;
      overdue[machine.zone] += isOverdue ? 1 : -1;
      totalOverdue += isOverdue ? 1 : -1;
    }
  }

  /** How long the machine has been silent, without the time in which this node did not listen. */
  public long silentMs(MachineHealth machine, long now) {
    return now - Math.max(machine.lastHeartbeatMs, listeningSinceMs[machine.zone]);
  }

  /** True when the machine's heartbeat was overdue at the newest evaluation. */
  public boolean isOverdue(MachineHealth machine) {
    return machine.overdue;
  }

  /** True while the zone is taken for partitioned from this controller. */
  public boolean isPartitioned(int zone) {
    return partitioned[zone];
  }

  /** How long the zone has been taken for partitioned, in ms; 0 while it is not. */
  public long partitionedForMs(int zone, long now) {
    return partitioned[zone] ? now - verdictSinceMs[zone] : 0;
  }

  /** Number of zones that are taken for partitioned. */
  public int partitionedZoneCount() {
    int count = 0;
    for (boolean isPartitioned : partitioned) {
      count += isPartitioned ? 1 : 0;
    }
    return count;
  }

  /**
   * True when this controller itself is more likely at fault than the machines: most machines
   * outside partitioned zones are overdue, or no zone has sent a heartbeat for longer than chance
   * explains, though few machines may be overdue yet. No machine is to be given up then.
   */
  public boolean isLikelyIsolated(long now) {
    if (totalKnown >= policy.minPartitionMachines() && areAllZonesSilent(now)) {
      return true;
    }
    int reachableMachines = 0;
    int reachableOverdue = 0;
    for (int zone = 0; zone < partitioned.length; zone++) {
      if (!partitioned[zone]) {
        reachableMachines += known[zone];
        reachableOverdue += overdue[zone];
      }
    }
    return 2 * reachableOverdue > reachableMachines;
  }

  /** Machines examined by all evaluations so far: a measure of their cost. */
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
    return known[zone];
  }

  /**
   * Evaluates which machines are overdue and which zones are partitioned.
   *
   * @return the zones whose state changed
   */
  public List<ZoneStateChange> evaluate(long now) {
    markOverdueMachines(now);
    List<ZoneStateChange> changed = new ArrayList<>();
    for (int zone = 0; zone < partitioned.length; zone++) {
      boolean isPartitioned =
          partitioned[zone] ? partitionLasts(zone, now) : partitionBegins(zone, now);
      if (isPartitioned != partitioned[zone]) {
        partitioned[zone] = isPartitioned;
        long lastedMs = now - verdictSinceMs[zone];
        changed.add(new ZoneStateChange(zone, isPartitioned, overdue[zone], known[zone], lastedMs));
        verdictSinceMs[zone] = now;
      }
    }
    return changed;
  }

  private void markOverdueMachines(long now) {
    for (MachineHealth machine : byLastHeartbeat) {
      examinedMachineCount++;
      if (now - machine.lastHeartbeatMs <= overdueAfterMs) {
        break; // The machines behind it sent their heartbeats later.
      }
      if (silentMs(machine, now) > overdueAfterMs) {
        setOverdue(machine, true);
      }
    }
  }

  private boolean partitionBegins(int zone, long now) {
    return known[zone] >= policy.minPartitionMachines()
        && otherZonesReport(zone, now)
        && (isSilent(zone, now) || overdue[zone] >= policy.partitionShare() * known[zone]);
  }

  /** A partition ends when the zone reports again and most of its machines do, or are deleted. */
  private boolean partitionLasts(int zone, long now) {
    return known[zone] >= policy.minPartitionMachines()
        && (isSilent(zone, now) || 2 * overdue[zone] > known[zone]);
  }

  private boolean areAllZonesSilent(long now) {
    for (int zone = 0; zone < partitioned.length; zone++) {
      if (known[zone] > 0
          && !partitioned[zone]
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
            MIN_MISSING_HEARTBEATS * heartbeatIntervalMs / Math.max(1, known[zone]));
  }

  /**
   * True when most machines of the other zones report, and one of them did in the last third of the
   * zone's silence. When all zones fall silent together the fault is on this side, whichever of
   * them sent the last heartbeat.
   */
  private boolean otherZonesReport(int zone, long now) {
    int others = totalKnown - known[zone];
    int overdueOthers = totalOverdue - overdue[zone];
    for (int other = 0; other < partitioned.length; other++) {
      if (other != zone
          && !partitioned[other]
          && 3 * (now - lastHeartbeatMs[other]) < silenceLimitMs(zone)) {
        return others - overdueOthers >= policy.minPartitionMachines()
            && 2 * overdueOthers < others;
      }
    }
    return false;
  }
}
