package org.mallowroad.core.explain;

import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.StartRefusal;

/** How placement answered for the machines on which a job may run. */
final class RefusalCounts {
  /** Refusals that are the only obstacle where they occur: they are named before all others. */
  private static final List<StartRefusal> SOLE_OBSTACLES =
      List.of(
          StartRefusal.ZONE_RULES,
          StartRefusal.FAILED_ON_MACHINE,
          StartRefusal.SUSPECTED_SLOW_OR_FAULTY,
          StartRefusal.IMAGE_FETCH_LIMIT,
          StartRefusal.QUOTA);

  private final int[] byRefusal = new int[StartRefusal.values().length];
  private final int[] silentByZone;
  private int allowedMachines;
  private boolean startable;

  RefusalCounts(int zones) {
    silentByZone = new int[zones];
  }

  /** Adds the answer for a machine; null means that a task may start there. */
  void add(Machine machine, StartRefusal refusal) {
    allowedMachines++;
    if (refusal == null) {
      startable = true;
      return;
    }
    byRefusal[refusal.ordinal()]++;
    if (refusal == StartRefusal.HEARTBEAT_OVERDUE) {
      silentByZone[machine.zone]++;
    }
  }

  /** True when a task may start on one of the machines. */
  boolean isStartable() {
    return startable;
  }

  /** Number of machines that were asked for. */
  int allowedMachines() {
    return allowedMachines;
  }

  /** Number of machines with this refusal. */
  int count(StartRefusal refusal) {
    return byRefusal[refusal.ordinal()];
  }

  /** The refusal to report: a sole obstacle if there is one, else the most frequent. */
  StartRefusal main() {
    for (StartRefusal refusal : SOLE_OBSTACLES) {
      if (count(refusal) > 0) {
        return refusal;
      }
    }
    StartRefusal most = StartRefusal.RESOURCES;
    for (StartRefusal refusal : StartRefusal.values()) {
      if (count(refusal) > count(most)) {
        most = refusal;
      }
    }
    return most;
  }

  /** The zone with most silent machines. */
  int mostSilentZone() {
    int most = 0;
    for (int zone = 1; zone < silentByZone.length; zone++) {
      if (silentByZone[zone] > silentByZone[most]) {
        most = zone;
      }
    }
    return most;
  }

  /** Number of silent machines in a zone. */
  int silentIn(int zone) {
    return silentByZone[zone];
  }
}
