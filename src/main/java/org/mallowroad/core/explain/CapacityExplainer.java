package org.mallowroad.core.explain;

import org.mallowroad.core.Job;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.MachineVariant;

/**
 * Explains why a job lacks capacity: machines are booting, the cloud refuses requests for machines,
 * or jobs that have precedence use the machines.
 */
final class CapacityExplainer {
  private final SchedulerState schedulerState;
  private final AutoscalerView autoscaler;
  private final ScheduleSurvey survey;
  private final NameIndex zones;

  CapacityExplainer(
      SchedulerState schedulerState,
      AutoscalerView autoscaler,
      ScheduleSurvey survey,
      NameIndex zones) {
    this.schedulerState = schedulerState;
    this.autoscaler = autoscaler;
    this.survey = survey;
    this.zones = zones;
  }

  /**
   * Explains a lack of capacity by booting machines, refusals of the cloud or jobs with precedence.
   *
   * @param fallbackCause the cause when none of these applies; {@code GANG} is reported even if one
   *     of them applies
   * @param detail the evidence found so far, to which further evidence is appended
   */
  PendingReason explain(Job job, PendingCause fallbackCause, String detail) {
    PendingReason booting = explainBooting(job, fallbackCause, detail);
    if (booting != null) {
      return booting;
    }
    PendingReason refusedByCloud = explainCloudRefusal(job, fallbackCause, detail);
    if (refusedByCloud != null) {
      return refusedByCloud;
    }
    return fallbackCause == PendingCause.NO_ROOM
        ? explainPrecedence(job, detail)
        : PendingReason.of(job, fallbackCause, detail);
  }

  /** Returns the reason if machines that can run the job are booting, otherwise null. */
  private PendingReason explainBooting(Job job, PendingCause fallbackCause, String detail) {
    MachineGroup earliestGroup = null;
    int bootingCount = 0;
    for (MachineGroup group : survey.groups()) {
      if (group.bootingCount > 0 && group.canRun(job.spec)) {
        bootingCount += group.bootingCount;
        if (earliestGroup == null || group.earliestReadyMs < earliestGroup.earliestReadyMs) {
          earliestGroup = group;
        }
      }
    }
    if (earliestGroup == null) {
      return null;
    }
    return new PendingReason(
        fallbackCause == PendingCause.GANG ? PendingCause.GANG : PendingCause.BOOTING,
        earliestGroup.earliestRequestedMs,
        earliestGroup.earliestReadyMs,
        -1,
        detail
            + "; "
            + CountFormat.of(bootingCount, "machine")
            + " booting, the first a "
            + describeVariant(earliestGroup.variant));
  }

  /** Returns the reason if the cloud refuses all variants that can run the job, otherwise null. */
  private PendingReason explainCloudRefusal(Job job, PendingCause fallbackCause, String detail) {
    long earliestRefusalMs = Long.MAX_VALUE;
    MachineVariant longestRefusedVariant = null;
    for (MachineVariant variant : survey.offeredVariants()) {
      if (!MachineGroup.canRun(job.spec, variant)) {
        continue;
      }
      long sinceMs = autoscaler.refusedSinceMs(variant);
      if (sinceMs < 0) {
        return null;
      }
      if (sinceMs < earliestRefusalMs) {
        earliestRefusalMs = sinceMs;
        longestRefusedVariant = variant;
      }
    }
    if (longestRefusedVariant == null) {
      return null;
    }
    return new PendingReason(
        fallbackCause == PendingCause.GANG ? PendingCause.GANG : PendingCause.CLOUD_REFUSES,
        earliestRefusalMs,
        -1,
        -1,
        detail
            + "; the cloud refuses all it may run on, "
            + describeVariant(longestRefusedVariant)
            + " for longest");
  }

  /** Names the team whose jobs with precedence use or wait for the most CPUs. */
  private PendingReason explainPrecedence(Job job, String detail) {
    double[] cpusByTeam = cpusAheadByTeam(job);
    int topTeam = 0;
    for (int team = 1; team < cpusByTeam.length; team++) {
      if (cpusByTeam[team] > cpusByTeam[topTeam]) {
        topTeam = team;
      }
    }
    if (cpusByTeam.length == 0 || cpusByTeam[topTeam] <= 0) {
      return PendingReason.of(job, PendingCause.NO_ROOM, detail);
    }
    return PendingReason.of(
        job,
        PendingCause.BEHIND,
        detail
            + "; work of "
            + schedulerState.teams().get(topTeam).name
            + " that goes first runs on or waits for "
            + CountFormat.amount(cpusByTeam[topTeam])
            + " CPUs");
  }

  /**
   * CPUs per team that work with precedence uses or waits for. Jobs of a more urgent priority have
   * precedence, and so do waiting jobs of the same priority within their team's guarantee if this
   * job is not within one.
   */
  private double[] cpusAheadByTeam(Job job) {
    double[] cpusByTeam = new double[schedulerState.teams().size()];
    int jobPriority = job.spec.priority();
    for (MachineGroup group : survey.groups()) {
      if (group.canRun(job.spec)) {
        for (int team = 0; team < cpusByTeam.length; team++) {
          for (int priority = 0; priority < jobPriority; priority++) {
            cpusByTeam[team] += group.usedCpus[team][priority];
          }
        }
      }
    }
    for (int team = 0; team < cpusByTeam.length; team++) {
      for (int priority = 0; priority < jobPriority; priority++) {
        cpusByTeam[team] +=
            survey.waitingCpus(team, priority, false) + survey.waitingCpus(team, priority, true);
      }
      if (!job.isGuaranteed()) {
        cpusByTeam[team] += survey.waitingCpus(team, jobPriority, true);
      }
    }
    return cpusByTeam;
  }

  private String describeVariant(MachineVariant variant) {
    return variant.type().name()
        + (variant.spot() ? " (spot)" : "")
        + " in zone "
        + zones.name(variant.zone());
  }
}
