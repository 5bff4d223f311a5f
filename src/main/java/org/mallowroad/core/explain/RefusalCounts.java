package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.StartRefusal;

/** Counts why a job's tasks may not start on the machines that the job allows. */
final class RefusalCounts {
  /**
   * Refusals that are the only obstacle on the machines where they occur, so they are reported
   * before all others.
   */
  private static final List<StartRefusal> SOLE_OBSTACLES =
      List.of(
          StartRefusal.ZONE_RULES,
          StartRefusal.FAILED_ON_MACHINE,
          StartRefusal.SUSPECTED_SLOW_OR_FAULTY,
          StartRefusal.IMAGE_FETCH_LIMIT,
          StartRefusal.QUOTA);

  private final int[] countByRefusal = new int[StartRefusal.values().length];
  private final int[] silentCountByZone;
  private int evaluatedMachineCount;
  private boolean hasStartableMachine;

  RefusalCounts(int zoneCount) {
    silentCountByZone = new int[zoneCount];
  }

  /** Adds the refusal for a machine; null means that a task may start on it. */
  void add(Machine machine, StartRefusal refusal) {
    evaluatedMachineCount++;
    if (refusal == null) {
      hasStartableMachine = true;
      return;
    }
    countByRefusal[refusal.ordinal()]++;
    if (refusal == StartRefusal.HEARTBEAT_OVERDUE) {
      silentCountByZone[machine.zone]++;
    }
  }

  /** True when a task may start on at least one machine. */
  boolean hasStartableMachine() {
    return hasStartableMachine;
  }

  /** Number of machines that were evaluated. */
  int evaluatedMachineCount() {
    return evaluatedMachineCount;
  }

  /** Number of machines with this refusal. */
  int count(StartRefusal refusal) {
    return countByRefusal[refusal.ordinal()];
  }

  /** The refusal to report: a sole obstacle if there is one, otherwise the most frequent. */
  StartRefusal mainRefusal() {
    for (StartRefusal refusal : SOLE_OBSTACLES) {
      if (count(refusal) > 0) {
        return refusal;
      }
    }
    StartRefusal mostFrequent = StartRefusal.RESOURCES;
    for (StartRefusal refusal : StartRefusal.values()) {
      if (count(refusal) > count(mostFrequent)) {
        mostFrequent = refusal;
      }
    }
    return mostFrequent;
  }

  /** Index of the zone with the most silent machines. */
  int mostSilentZone() {
    int zoneWithMost = 0;
    for (int zone = 1; zone < silentCountByZone.length; zone++) {
      if (silentCountByZone[zone] > silentCountByZone[zoneWithMost]) {
        zoneWithMost = zone;
      }
    }
    return zoneWithMost;
  }

  /** Number of silent machines in a zone. */
  int silentCount(int zone) {
    return silentCountByZone[zone];
  }
}
