package org.mallowroad.core.explain;

import org.mallowroad.core.Job;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.MachineVariant;

/**
 * Explains why there is no more capacity for a job: machines are booting, the cloud refuses them,
 * or jobs of a better rank go first.
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
   * Explains a lack of capacity.
   *
   * @param otherwise the cause when none of the above applies; a gang keeps its own in any case
   * @param detail the evidence so far
   */
  PendingReason explain(Job job, PendingCause otherwise, String detail) {
    PendingReason booting = explainBooting(job, otherwise, detail);
    if (booting != null) {
      return booting;
    }
    PendingReason refused = explainCloudRefusal(job, otherwise, detail);
    if (refused != null) {
      return refused;
    }
    return otherwise == PendingCause.NO_ROOM
        ? explainRank(job, detail)
        : PendingReason.of(job, otherwise, detail);
  }

  /** The reason when machines for the job are booting, else null. */
  private PendingReason explainBooting(Job job, PendingCause otherwise, String detail) {
    MachineGroup first = null;
    int booting = 0;
    for (MachineGroup group : survey.groups()) {
      if (group.booting > 0 && group.allows(job.spec)) {
        booting += group.booting;
        if (first == null || group.firstBootedMs < first.firstBootedMs) {
          first = group;
        }
      }
    }
    if (first == null) {
      return null;
    }
    return new PendingReason(
        otherwise == PendingCause.GANG ? PendingCause.GANG : PendingCause.BOOTING,
        first.firstRentedMs,
        first.firstBootedMs,
        -1,
        detail
            + "; "
            + CountFormat.of(booting, "machine")
            + " booting, the first a "
            + describe(first.variant));
  }

  /** The reason when the cloud refuses all variants on which the job may run, else null. */
  private PendingReason explainCloudRefusal(Job job, PendingCause otherwise, String detail) {
    long longestSinceMs = Long.MAX_VALUE;
    MachineVariant longestRefused = null;
    for (MachineVariant variant : survey.offered()) {
      if (!MachineGroup.allows(job.spec, variant)) {
        continue;
      }
      long sinceMs = autoscaler.refusedSinceMs(variant);
      if (sinceMs < 0) {
        return null;
      }
      if (sinceMs < longestSinceMs) {
        longestSinceMs = sinceMs;
        longestRefused = variant;
      }
    }
    if (longestRefused == null) {
      return null;
    }
    return new PendingReason(
        otherwise == PendingCause.GANG ? PendingCause.GANG : PendingCause.CLOUD_REFUSES,
        longestSinceMs,
        -1,
        -1,
        detail
            + "; the cloud refuses all it may run on, "
            + describe(longestRefused)
            + " for longest");
  }

  /** Names the team whose jobs of a better rank use or wait for most CPUs. */
  private PendingReason explainRank(Job job, String detail) {
    double[] cpus = cpusAheadByTeam(job);
    int most = 0;
    for (int team = 1; team < cpus.length; team++) {
      if (cpus[team] > cpus[most]) {
        most = team;
      }
    }
    if (cpus.length == 0 || cpus[most] <= 0) {
      return PendingReason.of(job, PendingCause.NO_ROOM, detail);
    }
    return PendingReason.of(
        job,
        PendingCause.BEHIND,
        detail
            + "; work of "
            + schedulerState.teams().get(most).name
            + " that goes first runs on or waits for "
            + CountFormat.amount(cpus[most])
            + " CPUs");
  }

  private double[] cpusAheadByTeam(Job job) {
    double[] cpus = new double[schedulerState.teams().size()];
    int rank = job.spec.priority();
    for (MachineGroup group : survey.groups()) {
      if (group.allows(job.spec)) {
        for (int team = 0; team < cpus.length; team++) {
          for (int priority = 0; priority < rank; priority++) {
            cpus[team] += group.usedCpus[team][priority];
          }
        }
      }
    }
    for (int team = 0; team < cpus.length; team++) {
      for (int priority = 0; priority < rank; priority++) {
        cpus[team] +=
            survey.waitingCpus(team, priority, false) + survey.waitingCpus(team, priority, true);
      }
      if (!job.isGuaranteed()) {
        cpus[team] += survey.waitingCpus(team, rank, true);
      }
    }
    return cpus;
  }

  private String describe(MachineVariant variant) {
    return variant.type().name()
        + (variant.spot() ? " (spot)" : "")
        + " in zone "
        + zones.name(variant.zone());
  }
}
