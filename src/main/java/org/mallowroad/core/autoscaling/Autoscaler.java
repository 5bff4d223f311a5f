package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.objective.ServiceLevelObjectives;

/**
 * Plans the size of the fleet. Scale out: requests machines of the cheapest suitable {@link
 * MachineVariant} when the average spare capacity is low, before machines saturate, and for tasks
 * that would start too late. Scale in: returns the most expensive empty machines, as far as the
 * remaining machines keep enough headroom.
 *
 * <p>Not thread-safe: confined to the event loop, as is the scheduler state.
 */
public final class Autoscaler {
  /**
   * Most tasks whose starts are forecast in a cycle, in the order of the queue. This is more than a
   * fleet of thousands of machines starts within minutes. Forecasting all tasks of a job array of
   * 100,000 blocked the event loop for over a second, and requested no further machines
   * (docs/incidents, huge-array).
   */
  public static final int MAX_FORECAST_TASKS = 16_000;

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private final VariantRefusals refusals = new VariantRefusals();
  private final VariantSelector variantSelector;
  private final SpareCapacityTrigger spareCapacityTrigger;
  private final ScaleInPlanner scaleInPlanner;
  private long machinesScanned;
  private long tasksForecast;

  /** Creates an autoscaler for the machines of one leader term. */
  public Autoscaler(
      SchedulerState schedulerState, AutoscalerPolicy policy, ServiceLevelObjectives objectives) {
    this.schedulerState = schedulerState;
    this.policy = policy;
    this.objectives = objectives;
    this.variantSelector = new VariantSelector(schedulerState.health().failureDetector(), refusals);
    this.spareCapacityTrigger = new SpareCapacityTrigger(schedulerState, policy);
    this.scaleInPlanner = new ScaleInPlanner(schedulerState, policy);
  }

  /** Number of tasks forecast so far. */
  public long tasksForecast() {
    return tasksForecast;
  }

  /** Number of machines scanned so far, as a measure of the cost of forecasts. */
  public long machinesScanned() {
    return machinesScanned;
  }

  /**
   * Records that the cloud provided fewer machines of the variant than were requested, or none. The
   * variant is not requested again until its backoff ends.
   */
  public void recordRefusal(MachineVariant variant, long now) {
    refusals.recordRefusal(variant, now);
  }

  /**
   * The time since which the cloud has provided fewer machines of the variant than requested, or
   * none; -1 if its last request was granted in full.
   */
  public long refusedSinceMs(MachineVariant variant) {
    return refusals.refusedSinceMs(variant);
  }

  /** Records that the cloud provided all requested machines of the variant. */
  public void recordGrant(MachineVariant variant) {
    refusals.recordGrant(variant);
  }

  /**
   * Returns the requests for machines to send now.
   *
   * <p>Average spare capacity shows neither bursts nor fragmentation that leaves no room for large
   * tasks, so the start of each waiting task is also forecast: the task is placed on the existing
   * or pending machine on which it would start first. A machine is requested for it only when that
   * start is later than its job's objective allows and a new machine would start it earlier. So
   * jobs that can wait do not cause requests for expensive machines.
   *
   * @param queue jobs with waiting tasks, in placement order
   * @param pending machines that were requested and have not booted yet
   * @param types the machine types that the cloud offers
   */
  public List<ScaleOutRequest> planScaleOut(
      List<Job> queue, List<PendingMachines> pending, List<MachineType> types, long now) {
    // Gangs are excluded, since their machines are requested by their reservations (core.gang). The
    // average and the forecast would treat each of their tasks on its own, and request machines one
    // by one and in any zone.
    List<Job> nonGangJobs = queue.stream().filter(j -> !j.spec.gang()).toList();
    List<PendingMachines> sharedPending = pending.stream().filter(p -> p.gangId() == null).toList();
    Object2IntLinkedOpenHashMap<MachineVariant> requested =
        forecastRequests(nonGangJobs, sharedPending, types, now);
    List<ScaleOutRequest> requests =
        new ArrayList<>(schedulerState.gangReservations().planScaleOut(pending, types, now));
    for (Object2IntMap.Entry<MachineVariant> entry : requested.object2IntEntrySet()) {
      int remaining = entry.getIntValue();
      for (; remaining > 0; remaining -= ScaleOutRequest.MAX_MACHINES) {
        int count = Math.min(ScaleOutRequest.MAX_MACHINES, remaining);
        requests.add(new ScaleOutRequest(entry.getKey(), count));
      }
    }
    return requests;
  }

  /**
   * The machines to request for tasks that would start too late; if there are none, and the spare
   * capacity is low, one machine.
   */
  private Object2IntLinkedOpenHashMap<MachineVariant> forecastRequests(
      List<Job> nonGangJobs, List<PendingMachines> pending, List<MachineType> types, long now) {
    StartForecast forecast =
        new StartForecast(schedulerState, policy, objectives, variantSelector, types, now);
    int waitingTasks = forecast.forecastStarts(nonGangJobs, pending);
    machinesScanned += forecast.machinesScanned();
    tasksForecast += forecast.tasksForecast();
    Object2IntLinkedOpenHashMap<MachineVariant> requested = forecast.requested();
    if (requested.isEmpty() && spareCapacityTrigger.isSpareLow(waitingTasks, pending)) {
      MachineVariant variant = variantSelector.cheapestForQueue(nonGangJobs, types, now);
      if (variant != null) {
        requested.addTo(variant, 1);
      }
    }
    return requested;
  }

  /** Returns the empty machines to return to the cloud now, the most expensive first. */
  public List<Machine> planScaleIn(boolean anyWaiting, long now) {
    return scaleInPlanner.machinesToReturn(anyWaiting, now);
  }
}
