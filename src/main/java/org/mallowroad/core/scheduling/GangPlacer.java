package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;

/** Places the waiting tasks of a gang: either all of them in one pass, or none. */
final class GangPlacer {
  private static final int ALL_ZONES = -1;

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final PlacementRules placementRules;

  GangPlacer(SchedulerState schedulerState, FleetOrder fleetOrder, PlacementRules placementRules) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
    this.placementRules = placementRules;
  }

  /**
   * Starts all waiting tasks of the gang if there is room for all of them, and adds their attempts
   * to {@code started}.
   */
  void placeGang(Job job, List<Attempt> started, long now) {
    if (job.pendingTasks.isEmpty() || placementRules.exceedsTeamLimit(job)) {
      return;
    }
    List<Machine> placement = findPlacement(job, now);
    if (placement.size() < job.pendingTasks.size()) {
      return;
    }
    for (Machine machine : placement) {
      started.add(schedulerState.start(job, job.pendingTasks.dequeueInt(), machine, now));
      machine.recordImageUse(job.spec.image(), job.spec.imageGb());
    }
  }

  /**
   * Finds a machine for each of the gang's waiting tasks; returns fewer machines when there is no
   * room for all. A gang whose tasks must be in one zone gets machines of the first zone that has
   * room for all of them, or else of the zone that has room for the most.
   */
  List<Machine> findPlacement(Job job, long now) {
    fleetOrder.refresh();
    if (!job.spec.together()) {
      return schedulerState.zones() == 0 ? List.of() : findPlacement(job, ALL_ZONES, now);
    }
    int neededMachines = job.pendingTasks.size();
    List<Machine> largestPlacement = List.of();
    for (int zone = 0;
        zone < schedulerState.zones() && largestPlacement.size() < neededMachines;
        zone++) {
      List<Machine> placement = findPlacement(job, zone, now);
      if (placement.size() > largestPlacement.size()) {
        largestPlacement = placement;
      }
    }
    return largestPlacement;
  }

  private List<Machine> findPlacement(Job job, int zone, long now) {
    JobSpec spec = job.spec;
    int neededMachines = job.pendingTasks.size();
    List<Machine> placement = new ArrayList<>();
    int[] tasksByZone = job.copyLiveAttemptsByZone();
    for (Machine machine : fleetOrder.machines()) {
      if (zone != ALL_ZONES && machine.zone != zone) {
        continue;
      }
      ResourceVector room =
          new ResourceVector(
              machine.freeResources.cpus, machine.freeResources.cards, machine.freeResources.memGb);
      while (placement.size() < neededMachines
          && room.fits(spec)
          && tasksByZone[machine.zone] < spec.maxTasksPerZone()
          && placementRules.placementRefusal(job, machine, now) == null) {
        room.add(spec, -1);
        tasksByZone[machine.zone]++;
        placement.add(machine);
      }
    }
    return placement;
  }
}
