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
 * Sizes the fleet. Scale out: requests the cheapest fitting {@link MachineVariant} on low average
 * spare capacity, before machines saturate, and for tasks that would start too late. Scale in:
 * returns the most expensive empty machines as far as the headroom test allows.
 *
 * <p>Confined to the thread of the event loop, as the state is.
 */
public final class Autoscaler {
  /**
   * Tasks that are forecast in a cycle, in the order of the queue. More than a fleet of thousands
   * starts in minutes; what an array of 100,000 has beyond that requests nothing more, and
   * forecasting it held the loop up for over a second (docs/incidents, huge-array).
   */
  public static final int MAX_FORECAST_TASKS = 16_000;

  private final SchedulerState schedulerState;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private final VariantRefusals refusals = new VariantRefusals();
  private final VariantSelector variants;
  private final SpareCapacityTrigger spareCapacityTrigger;
  private final ScaleInPlanner scaleInPlanner;
  private long machinesScanned;
  private long tasksForecast;

  /** An autoscaler for the machines of one leader's term. */
  public Autoscaler(
      SchedulerState schedulerState, AutoscalerPolicy policy, ServiceLevelObjectives objectives) {
    this.schedulerState = schedulerState;
    this.policy = policy;
    this.objectives = objectives;
    this.variants = new VariantSelector(schedulerState.health().failureDetector(), refusals);
    this.spareCapacityTrigger = new SpareCapacityTrigger(schedulerState, policy);
    this.scaleInPlanner = new ScaleInPlanner(schedulerState, policy);
  }

  /** Tasks forecast so far. */
  public long tasksForecast() {
    return tasksForecast;
  }

  /** Machines scanned so far: the cost of the forecasts. */
  public long machinesScanned() {
    return machinesScanned;
  }

  /**
   * Records that the cloud provided fewer machines of the variant than were requested, or none:
   * other variants are tried for a while.
   */
  public void recordRefusal(MachineVariant variant, long now) {
    refusals.recordRefusal(variant, now);
  }

  /**
   * Since when the cloud has refused the variant, or provided fewer machines than requested; -1
   * while it has not.
   */
  public long refusedSinceMs(MachineVariant variant) {
    return refusals.sinceMs(variant);
  }

  /** Records that the cloud provided all that was requested: there may be more. */
  public void recordGrant(MachineVariant variant) {
    refusals.recordGrant(variant);
  }

  /**
   * The machines to request now, given the queue and the pending machines.
   *
   * <p>Average spare capacity hides bursts, and pieces of capacity too small for large tasks, so
   * waiting tasks are also counted one by one: each is placed where it would start first, on an
   * existing or a pending machine. Only when that is later than its job's objective allows, and a
   * machine requested now would be sooner, is one requested for it. So work that can wait does not
   * cause expensive machines to be requested.
   */
  public List<ScaleOutRequest> planScaleOut(
      List<Job> queue, List<PendingMachines> pending, List<MachineType> types, long now) {
    // Gangs request machines by their reservations (core.gang): in the averages and the forecast
    // their tasks would request one machine after the other, in each zone, without waiting for the
    // rest of the gang.
    List<Job> jobs = queue.stream().filter(j -> !j.spec.gang()).toList();
    List<PendingMachines> shared = pending.stream().filter(p -> p.gangId() == null).toList();
    Object2IntLinkedOpenHashMap<MachineVariant> requested = forecast(jobs, shared, types, now);
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

  /** Machines for tasks that would start too late, or else one for low spare capacity. */
  private Object2IntLinkedOpenHashMap<MachineVariant> forecast(
      List<Job> jobs, List<PendingMachines> pending, List<MachineType> types, long now) {
    StartForecast forecast =
        new StartForecast(schedulerState, policy, objectives, variants, types, now);
    int waiting = forecast.run(jobs, pending);
    machinesScanned += forecast.machinesScanned();
    tasksForecast += forecast.tasksForecast();
    Object2IntLinkedOpenHashMap<MachineVariant> requested = forecast.requested();
    if (requested.isEmpty() && spareCapacityTrigger.isSpareLow(waiting, pending)) {
      MachineVariant variant = variants.cheapestForQueue(jobs, types, now);
      if (variant != null) {
        requested.addTo(variant, 1);
      }
    }
    return requested;
  }

  /** Empty machines to return now, most expensive first, as far as the headroom test allows. */
  public List<Machine> planScaleIn(boolean anyWaiting, long now) {
    return scaleInPlanner.machinesToReturn(anyWaiting, now);
  }
}
