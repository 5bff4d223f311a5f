package org.mallowroad.core.scheduling;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;

/**
 * Places tasks of ordinary jobs first-fit on the machines that have room for the smallest waiting
 * task. Those candidates are found once in a pass, so that each job looks at few machines.
 */
final class BinPacker {
  /**
   * Among machines of one price the fullest come first: what is left stays in one piece, for large
   * tasks or to be returned. Slow or faulty machines come last of all.
   */
  private static final Comparator<Machine> BEST_FIT_FIRST =
      Comparator.comparing((Machine m) -> m.health.isSuspect())
          .thenComparingDouble(m -> m.type.cpus())
          .thenComparingDouble(m -> m.type.price(m.spot))
          .thenComparingDouble(m -> m.freeResources.cpus);

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final PlacementRules placementRules;
  private Machine[] candidates = new Machine[0];
  private int candidateCount;
  private long machinesScanned;

  BinPacker(SchedulerState schedulerState, FleetOrder fleetOrder, PlacementRules placementRules) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
    this.placementRules = placementRules;
  }

  /** Machines looked at so far. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Finds the machines that have room for the smallest of the waiting tasks. */
  void findCandidates(List<Job> waiting, long now) {
    double leastCpus = Double.MAX_VALUE;
    double leastMemGb = Double.MAX_VALUE;
    for (Job j : waiting) {
      leastCpus = Math.min(leastCpus, j.spec.cpus());
      leastMemGb = Math.min(leastMemGb, j.spec.memGb());
    }
    Machine[] machines = fleetOrder.machines();
    if (candidates.length != machines.length) {
      candidates = new Machine[machines.length];
    }
    candidateCount = 0;
    machinesScanned += machines.length;
    for (Machine m : machines) {
      if (leastCpus <= m.freeResources.cpus + ResourceVector.EPSILON
          && leastMemGb <= m.freeResources.memGb + ResourceVector.EPSILON
          && m.reservedFor == null
          && schedulerState.acceptsNewTasks(m, now)) {
        candidates[candidateCount++] = m;
      }
    }
    Arrays.sort(candidates, 0, candidateCount, BEST_FIT_FIRST);
  }

  /**
   * Places waiting tasks of a job on the candidates, first-fit.
   *
   * @param cached whether to use the machines that have its image, or those that have not
   * @param started receives the attempts that were started
   */
  void placeTasks(Job job, boolean cached, List<Attempt> started, long now) {
    JobSpec s = job.spec;
    for (int i = 0; i < candidateCount && !job.pendingTasks.isEmpty(); i++) {
      Machine m = candidates[i];
      machinesScanned++;
      if (m.freeResources.fits(s)
          && m.hasImage(s.image()) == cached
          && fillMachine(job, m, started, now) == StartRefusal.QUOTA) {
        return; // No other machine helps.
      }
    }
  }

  /** Starts tasks on the machine until one is refused; null when no task is left. */
  private StartRefusal fillMachine(Job job, Machine m, List<Attempt> started, long now) {
    while (!job.pendingTasks.isEmpty()) {
      StartRefusal refusal = placementRules.refusal(job, m, now);
      if (refusal == StartRefusal.IMAGE_FETCH_LIMIT) {
        schedulerState.imageDistribution().recordHeldBackStart();
      }
      if (refusal != null) {
        return refusal;
      }
      started.add(schedulerState.start(job, job.pendingTasks.dequeueInt(), m, now));
      m.recordImageUse(job.spec.image(), job.spec.imageGb());
    }
    return null;
  }
}
