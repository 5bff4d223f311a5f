package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;

/** Places the waiting tasks of a gang all at once, or none of them. */
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
   * Starts all waiting tasks of the gang if there is room for all; adds them to {@code started}.
   */
  void placeGang(Job job, List<Attempt> started, long now) {
    if (job.pendingTasks.isEmpty() || placementRules.exceedsTeamLimit(job)) {
      return;
    }
    List<Machine> placement = findPlacement(job, now);
    if (placement.size() < job.pendingTasks.size()) {
      return;
    }
    for (Machine m : placement) {
      started.add(schedulerState.start(job, job.pendingTasks.dequeueInt(), m, now));
      m.recordImageUse(job.spec.image(), job.spec.imageGb());
    }
  }

  /**
   * A machine for each of the gang's waiting tasks; fewer, when there is no room for all. A gang
   * whose tasks have to be together gets the machines of the first zone that holds all of it, or of
   * the zone that holds most.
   */
  List<Machine> findPlacement(Job job, long now) {
    fleetOrder.refresh();
    if (!job.spec.together()) {
      return schedulerState.zones() == 0 ? List.of() : findPlacement(job, ALL_ZONES, now);
    }
    int needed = job.pendingTasks.size();
    List<Machine> largest = List.of();
    for (int zone = 0; zone < schedulerState.zones() && largest.size() < needed; zone++) {
      List<Machine> placement = findPlacement(job, zone, now);
      if (placement.size() > largest.size()) {
        largest = placement;
      }
    }
    return largest;
  }

  private List<Machine> findPlacement(Job job, int zone, long now) {
    JobSpec s = job.spec;
    int needed = job.pendingTasks.size();
    List<Machine> placement = new ArrayList<>();
    int[] tasksByZone = job.copyLiveAttemptsByZone();
    for (Machine m : fleetOrder.machines()) {
      if (zone != ALL_ZONES && m.zone != zone) {
        continue;
      }
      ResourceVector room =
          new ResourceVector(m.freeResources.cpus, m.freeResources.cards, m.freeResources.memGb);
      while (placement.size() < needed
          && room.fits(s)
          && tasksByZone[m.zone] < s.maxTasksPerZone()
          && placementRules.refusal(job, m, now) == null) {
        room.add(s, -1);
        tasksByZone[m.zone]++;
        placement.add(m);
      }
    }
    return placement;
  }
}
