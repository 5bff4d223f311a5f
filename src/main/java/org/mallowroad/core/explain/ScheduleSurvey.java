package org.mallowroad.core.explain;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;

/**
 * Data that the explanations of all jobs share. It is collected once, in a single pass over the
 * machines and attempts, before the first job is explained.
 */
final class ScheduleSurvey {
  /** Number of job priorities, which range from 0 (critical) to 3 (idle). */
  static final int PRIORITY_COUNT = 4;

  private final SchedulerState schedulerState;
  private final AutoscalerView autoscaler;
  private final List<MachineGroup> groups = new ArrayList<>();
  private final List<MachineVariant> offeredVariants = new ArrayList<>();
  private final Reference2ObjectOpenHashMap<Job, UnstartedTasks> unstartedTasks =
      new Reference2ObjectOpenHashMap<>();
  private double[][][] waitingCpus = new double[0][0][0];
  private long surveyedAtMs;

  ScheduleSurvey(SchedulerState schedulerState, AutoscalerView autoscaler) {
    this.schedulerState = schedulerState;
    this.autoscaler = autoscaler;
  }

  /** Surveys the current state; {@code queue} contains the pending jobs in queue order. */
  void begin(List<Job> queue, long now) {
    surveyedAtMs = now;
    groups.clear();
    offeredVariants.clear();
    unstartedTasks.clear();
    waitingCpus = new double[schedulerState.teams().size()][PRIORITY_COUNT][2];
    for (Job job : queue) {
      waitingCpus[job.spec.team()][job.spec.priority()][job.isGuaranteed() ? 1 : 0] +=
          job.pendingTaskCount() * job.spec.cpus();
    }
    surveyMachines();
    for (MachineType type : autoscaler.machineTypes()) {
      for (int zone : type.zones()) {
        offeredVariants.add(new MachineVariant(type, zone, true));
        offeredVariants.add(new MachineVariant(type, zone, false));
      }
    }
  }

  private void surveyMachines() {
    Object2ObjectLinkedOpenHashMap<MachineVariant, MachineGroup> byVariant =
        new Object2ObjectLinkedOpenHashMap<>();
    for (Machine machine : schedulerState.machines()) {
      MachineGroup group =
          groupFor(byVariant, new MachineVariant(machine.type, machine.zone, machine.spot));
      group.machines.add(machine);
      boolean isSilent = isSilent(machine, surveyedAtMs);
      for (Attempt attempt : machine.attempts()) {
        group.usedCpus[attempt.job.spec.team()][attempt.job.spec.priority()] +=
            attempt.job.spec.cpus();
        addAttempt(attempt, machine, isSilent);
      }
    }
    for (PendingMachines pending : autoscaler.pendingMachines(surveyedAtMs)) {
      addBooting(groupFor(byVariant, pending.variant()), pending);
    }
    groups.addAll(byVariant.values());
  }

  private MachineGroup groupFor(
      Object2ObjectLinkedOpenHashMap<MachineVariant, MachineGroup> byVariant,
      MachineVariant variant) {
    return byVariant.computeIfAbsent(
        variant, key -> new MachineGroup(variant, schedulerState.teams().size(), PRIORITY_COUNT));
  }

  private void addAttempt(Attempt attempt, Machine machine, boolean isSilent) {
    if (UnstartedTasks.isCounted(attempt.phase, isSilent)) {
      long leaseExpiryMs = isSilent ? schedulerState.leaseExpiryMs(machine) : -1;
      unstartedTasks
          .computeIfAbsent(attempt.job, job -> new UnstartedTasks())
          .add(attempt, machine, isSilent, leaseExpiryMs);
    }
  }

  private static void addBooting(MachineGroup group, PendingMachines pending) {
    group.bootingCount += pending.count();
    long readyMs = pending.requestedMs() + (long) (pending.variant().type().bootS() * 1000);
    if (readyMs < group.earliestReadyMs) {
      group.earliestReadyMs = readyMs;
      group.earliestRequestedMs = pending.requestedMs();
    }
  }

  /**
   * True when the machine's heartbeat is overdue, the machine is in a partitioned zone, or it is
   * being deleted because its heartbeats stopped.
   */
  boolean isSilent(Machine machine, long now) {
    return schedulerState.machineRefusal(machine, now) == StartRefusal.HEARTBEAT_OVERDUE
        || schedulerState.health().isPartitionedAway(machine.health)
        || (machine.deleting && !machine.failed && machine.health.isHeartbeatOverdue());
  }

  /** Time in ms at which the survey was made. */
  long surveyedAtMs() {
    return surveyedAtMs;
  }

  /** The machines grouped by variant, in the order in which the survey found the variants. */
  List<MachineGroup> groups() {
    return groups;
  }

  /** All variants that the cloud offers. */
  List<MachineVariant> offeredVariants() {
    return offeredVariants;
  }

  /** The job's attempts that do not run yet or whose machine is silent; null if there are none. */
  UnstartedTasks unstartedTasks(Job job) {
    return unstartedTasks.get(job);
  }

  /** CPUs that a team's pending jobs of one priority request, within or beyond its guarantee. */
  double waitingCpus(int team, int priority, boolean isGuaranteed) {
    return waitingCpus[team][priority][isGuaranteed ? 1 : 0];
  }
}
