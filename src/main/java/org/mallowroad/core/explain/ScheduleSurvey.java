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
 * One pass over all machines and attempts at the beginning of an explanation: what the explainers
 * of single jobs compare with.
 */
final class ScheduleSurvey {
  /** Priorities of jobs, 0 critical to 3 idle. */
  static final int PRIORITIES = 4;

  private final SchedulerState schedulerState;
  private final AutoscalerView autoscaler;
  private final List<MachineGroup> groups = new ArrayList<>();
  private final List<MachineVariant> offered = new ArrayList<>();
  private final Reference2ObjectOpenHashMap<Job, UnstartedTasks> unstarted =
      new Reference2ObjectOpenHashMap<>();
  private double[][][] waitingCpus = new double[0][0][0];
  private long now;

  ScheduleSurvey(SchedulerState schedulerState, AutoscalerView autoscaler) {
    this.schedulerState = schedulerState;
    this.autoscaler = autoscaler;
  }

  /** Surveys the state of this moment; {@code queue} are the waiting jobs in their order. */
  void begin(List<Job> queue, long at) {
    now = at;
    groups.clear();
    offered.clear();
    unstarted.clear();
    waitingCpus = new double[schedulerState.teams().size()][PRIORITIES][2];
    for (Job job : queue) {
      waitingCpus[job.spec.team()][job.spec.priority()][job.isGuaranteed() ? 1 : 0] +=
          job.pendingTaskCount() * job.spec.cpus();
    }
    surveyMachines();
    for (MachineType type : autoscaler.machineTypes()) {
      for (int zone : type.zones()) {
        offered.add(new MachineVariant(type, zone, true));
        offered.add(new MachineVariant(type, zone, false));
      }
    }
  }

  private void surveyMachines() {
    Object2ObjectLinkedOpenHashMap<MachineVariant, MachineGroup> byVariant =
        new Object2ObjectLinkedOpenHashMap<>();
    for (Machine machine : schedulerState.machines()) {
      MachineGroup group =
          group(byVariant, new MachineVariant(machine.type, machine.zone, machine.spot));
      group.machines.add(machine);
      boolean isSilent = isSilent(machine, now);
      for (Attempt attempt : machine.attempts()) {
        group.usedCpus[attempt.job.spec.team()][attempt.job.spec.priority()] +=
            attempt.job.spec.cpus();
        addAttempt(attempt, machine, isSilent);
      }
    }
    for (PendingMachines pending : autoscaler.pendingMachines(now)) {
      addBooting(group(byVariant, pending.variant()), pending);
    }
    groups.addAll(byVariant.values());
  }

  private MachineGroup group(
      Object2ObjectLinkedOpenHashMap<MachineVariant, MachineGroup> byVariant,
      MachineVariant variant) {
    return byVariant.computeIfAbsent(
        variant, key -> new MachineGroup(variant, schedulerState.teams().size(), PRIORITIES));
  }

  private void addAttempt(Attempt attempt, Machine machine, boolean isSilent) {
    if (UnstartedTasks.counts(attempt.phase, isSilent)) {
      long leaseExpiryMs = isSilent ? schedulerState.leaseExpiryMs(machine) : -1;
      unstarted
          .computeIfAbsent(attempt.job, job -> new UnstartedTasks())
          .add(attempt, machine, isSilent, leaseExpiryMs);
    }
  }

  private static void addBooting(MachineGroup group, PendingMachines pending) {
    group.booting += pending.count();
    long bootedMs = pending.requestedMs() + (long) (pending.variant().type().bootS() * 1000);
    if (bootedMs < group.firstBootedMs) {
      group.firstBootedMs = bootedMs;
      group.firstRentedMs = pending.requestedMs();
    }
  }

  /**
   * True when the machine's heartbeat is overdue, the machine is in a partitioned zone, or it is
   * being deleted for its silence.
   */
  boolean isSilent(Machine machine, long at) {
    return schedulerState.machineRefusal(machine, at) == StartRefusal.HEARTBEAT_OVERDUE
        || schedulerState.health().isPartitionedAway(machine.health)
        || (machine.deleting && !machine.failed && machine.health.isHeartbeatOverdue());
  }

  /** When the survey was made. */
  long now() {
    return now;
  }

  /** The machines by variant, in the order in which the variants were first seen. */
  List<MachineGroup> groups() {
    return groups;
  }

  /** All variants that the cloud offers. */
  List<MachineVariant> offered() {
    return offered;
  }

  /** The job's attempts that do not run yet or are silent; null when there are none. */
  UnstartedTasks unstarted(Job job) {
    return unstarted.get(job);
  }

  /** CPUs for which a team's jobs of a priority wait, with or without guarantee. */
  double waitingCpus(int team, int priority, boolean isGuaranteed) {
    return waitingCpus[team][priority][isGuaranteed ? 1 : 0];
  }
}
