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
 * Places the tasks of jobs that are not gangs, first-fit. The candidates are the machines with room
 * for the smallest waiting task. They are found once per placement pass, so that each job scans few
 * machines.
 */
final class BinPacker {
  /**
   * Smallest machine type first, then the cheapest, then the machine with the fewest free CPUs.
   * This leaves other machines empty, for large tasks or to be returned to the cloud. Machines
   * suspected to be slow or faulty come last.
   */
  private static final Comparator<Machine> BEST_FIT_FIRST =
      Comparator.comparing((Machine machine) -> machine.health.isSuspect())
          .thenComparingDouble(machine -> machine.type.cpus())
          .thenComparingDouble(machine -> machine.type.price(machine.spot))
          .thenComparingDouble(machine -> machine.freeResources.cpus);

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

  /** Number of machines scanned so far. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Finds the candidates of this placement pass: machines with room for the smallest task. */
  void findCandidates(List<Job> waiting, long now) {
    double minCpus = Double.MAX_VALUE;
    double minMemGb = Double.MAX_VALUE;
    for (Job job : waiting) {
      minCpus = Math.min(minCpus, job.spec.cpus());
      minMemGb = Math.min(minMemGb, job.spec.memGb());
    }
    Machine[] machines = fleetOrder.machines();
    if (candidates.length != machines.length) {
      candidates = new Machine[machines.length];
    }
    candidateCount = 0;
    machinesScanned += machines.length;
    for (Machine machine : machines) {
      if (minCpus <= machine.freeResources.cpus + ResourceVector.EPSILON
          && minMemGb <= machine.freeResources.memGb + ResourceVector.EPSILON
          && machine.reservedFor == null
          && schedulerState.acceptsNewTasks(machine, now)) {
        candidates[candidateCount++] = machine;
      }
    }
    Arrays.sort(candidates, 0, candidateCount, BEST_FIT_FIRST);
  }

  /**
   * Places waiting tasks of a job on the candidates, first-fit.
   *
   * @param imageCached true to use only machines that have the job's image, false to use only
   *     machines that do not
   * @param started receives the attempts that were started
   */
  void placeTasks(Job job, boolean imageCached, List<Attempt> started, long now) {
    JobSpec spec = job.spec;
    for (int i = 0; i < candidateCount && !job.pendingTasks.isEmpty(); i++) {
      Machine machine = candidates[i];
      machinesScanned++;
      if (machine.freeResources.fits(spec)
          && machine.hasImage(spec.image()) == imageCached
          && fillMachine(job, machine, started, now) == StartRefusal.QUOTA) {
        return; // The team's limit is reached, whichever machine is tried.
      }
    }
  }

  /**
   * Starts tasks of the job on the machine until one is refused; returns the reason of the refusal,
   * or null when no task is left.
   */
  private StartRefusal fillMachine(Job job, Machine machine, List<Attempt> started, long now) {
    while (!job.pendingTasks.isEmpty()) {
      StartRefusal refusal = placementRules.placementRefusal(job, machine, now);
      if (refusal == StartRefusal.IMAGE_FETCH_LIMIT) {
        schedulerState.imageDistribution().recordHeldBackStart();
      }
      if (refusal != null) {
        return refusal;
      }
      started.add(schedulerState.start(job, job.pendingTasks.dequeueInt(), machine, now));
      machine.recordImageUse(job.spec.image(), job.spec.imageGb());
    }
    return null;
  }
}
