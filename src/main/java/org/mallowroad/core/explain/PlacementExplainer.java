package org.mallowroad.core.explain;

import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.core.scheduling.TaskScheduler;

/** Explains why pending tasks of a job are not placed. */
final class PlacementExplainer {
  private final SchedulerState schedulerState;
  private final TaskScheduler taskScheduler;
  private final AutoscalerView autoscaler;
  private final NameIndex zones;
  private final ScheduleSurvey survey;
  private final PlacementEvaluator evaluator;
  private final CapacityExplainer capacityExplainer;

  PlacementExplainer(
      SchedulerState schedulerState,
      TaskScheduler taskScheduler,
      AutoscalerView autoscaler,
      NameIndex zones,
      ScheduleSurvey survey,
      PlacementEvaluator evaluator) {
    this.schedulerState = schedulerState;
    this.taskScheduler = taskScheduler;
    this.autoscaler = autoscaler;
    this.zones = zones;
    this.survey = survey;
    this.evaluator = evaluator;
    this.capacityExplainer = new CapacityExplainer(schedulerState, autoscaler, survey, zones);
  }

  /** Explains a job that has startable tasks. */
  PendingReason explain(Job job) {
    PendingReason commonReason = explainCommonObstacle(job);
    if (commonReason != null) {
      return commonReason;
    }
    RefusalCounts counts = evaluator.evaluate(job);
    if (counts.evaluatedMachineCount() == 0) {
      return capacityExplainer.explain(
          job, PendingCause.NO_MACHINES, "none of the types, zones and kinds it allows");
    }
    if (counts.hasStartableMachine()) {
      return job.spec.gang() ? explainGang(job) : startingReason(job);
    }
    return explainRefusal(job, counts);
  }

  /** Returns the reason if an obstacle does not depend on the machines, otherwise null. */
  private PendingReason explainCommonObstacle(Job job) {
    JobSpec spec = job.spec;
    if (!autoscaler.isLeaseValid()) {
      return new PendingReason(
          PendingCause.STATE_AWAY,
          autoscaler.lastRenewalSentMs(),
          -1,
          -1,
          "the lease is not renewed: nothing is placed");
    }
    if (job.isBackingOff(survey.surveyedAtMs())) {
      return new PendingReason(
          PendingCause.HELD_BACK,
          job.waitingSinceMs(),
          job.retryNotBeforeMs(),
          -1,
          CountFormat.of(job.consecutiveFailures(), "failure") + " in a row");
    }
    if (taskScheduler.exceedsTeamLimit(job)) {
      return PendingReason.of(job, PendingCause.TEAM_LIMIT, describeTeamLimit(spec));
    }
    if (spec.isUnsatisfiable(zones.size())) {
      return PendingReason.of(
          job,
          PendingCause.ZONE_RULES,
          "never: all "
              + spec.tasks()
              + " tasks of the gang have to be in one zone, and scatter lets "
              + spec.maxTasksPerZone()
              + " be there");
    }
    return null;
  }

  /** Explains a job whose tasks may not start on any of the machines that it allows. */
  private PendingReason explainRefusal(Job job, RefusalCounts counts) {
    StartRefusal refusal = counts.mainRefusal();
    String machineCount = CountFormat.of(counts.count(refusal), "machine");
    return switch (refusal) {
      case RESOURCES ->
          capacityExplainer.explain(job, PendingCause.NO_ROOM, machineCount + " full");
      case ZONE_RULES -> PendingReason.of(job, PendingCause.ZONE_RULES, describeZoneRules(job));
      case HEARTBEAT_OVERDUE -> explainSilence(job, counts);
      case SUSPECTED_SLOW_OR_FAULTY ->
          PendingReason.of(job, PendingCause.SLOW_MACHINES, machineCount);
      case FAILED_ON_MACHINE -> PendingReason.of(job, PendingCause.FAILED_THERE, machineCount);
      case IMAGE_FETCH_LIMIT ->
          PendingReason.of(job, PendingCause.STAGED, describeImageFetches(job));
      case RESERVED_FOR_GANG -> PendingReason.of(job, PendingCause.HELD, machineCount);
      case OUTBOUND_UNREACHABLE -> PendingReason.of(job, PendingCause.MACHINES_DEAF, machineCount);
      case QUOTA -> PendingReason.of(job, PendingCause.TEAM_LIMIT, describeTeamLimit(job.spec));
      default ->
          PendingReason.of(
              job, PendingCause.LEAVING, CountFormat.of(counts.evaluatedMachineCount(), "machine"));
    };
  }

  private static PendingReason startingReason(Job job) {
    return PendingReason.of(job, PendingCause.STARTING, "there is room");
  }

  private PendingReason explainGang(Job job) {
    int availableSlots = taskScheduler.findGangPlacement(job, survey.surveyedAtMs()).size();
    evaluator.addEvaluations(schedulerState.machines().size());
    if (availableSlots >= job.pendingTaskCount()) {
      return startingReason(job);
    }
    String detail = "places for " + availableSlots + " of " + job.pendingTaskCount() + " tasks";
    GangReservations.ReservationStatus reservation =
        schedulerState.gangReservations().status(job, survey.surveyedAtMs());
    if (reservation == null) {
      return capacityExplainer.explain(
          job, PendingCause.GANG, detail + "; waits for its turn to gather");
    }
    return new PendingReason(
        PendingCause.GANG,
        job.waitingSinceMs(),
        reservation.endsAtMs(),
        reservation.zone(),
        detail + "; " + describeReservation(reservation));
  }

  private String describeReservation(GangReservations.ReservationStatus reservation) {
    String zoneText =
        reservation.zone() < 0 ? "any zone" : "zone " + zones.name(reservation.zone());
    if (reservation.isBackingOff()) {
      return zoneText + " could not hold all of it and is left alone until then";
    }
    return "gathers in "
        + zoneText
        + ": "
        + reservation.slots()
        + " of "
        + reservation.neededSlots()
        + " held or soon free, "
        + CountFormat.of(reservation.requestedMachines(), "machine")
        + " rented for it";
  }

  private PendingReason explainSilence(Job job, RefusalCounts counts) {
    int zone = counts.mostSilentZone();
    if (schedulerState.health().failureDetector().isPartitioned(zone)) {
      long partitionedForMs =
          schedulerState.health().failureDetector().partitionedForMs(zone, survey.surveyedAtMs());
      return new PendingReason(
          PendingCause.ZONE_CUT,
          survey.surveyedAtMs() - partitionedForMs,
          -1,
          zone,
          CountFormat.of(counts.silentCount(zone), "silent machine")
              + " in zone "
              + zones.name(zone));
    }
    return new PendingReason(
        PendingCause.MACHINES_SILENT,
        job.waitingSinceMs(),
        -1,
        zone,
        CountFormat.of(counts.count(StartRefusal.HEARTBEAT_OVERDUE), "silent machine")
            + ", most in zone "
            + zones.name(zone));
  }

  private String describeTeamLimit(JobSpec spec) {
    Team team = schedulerState.team(spec);
    boolean cardsExceeded = spec.cards() > 0 && team.usedCards() + spec.cards() > team.cardLimit();
    return cardsExceeded
        ? CountFormat.amount(team.usedCards())
            + " of "
            + CountFormat.amount(team.cardLimit())
            + " cards used by "
            + team.name
        : CountFormat.amount(team.usedCpus())
            + " of "
            + CountFormat.amount(team.cpuLimit())
            + " CPUs used by "
            + team.name;
  }

  private String describeImageFetches(Job job) {
    return CountFormat.of(schedulerState.imageDistribution().sharedSourceFetchCount(), "machine")
        + " fetch from the source now, "
        + schedulerState.imageDistribution().holderCount(job.spec.image())
        + " hold the image";
  }

  private String describeZoneRules(Job job) {
    StringBuilder text = new StringBuilder("its other tasks are in");
    for (int zone = 0; zone < zones.size(); zone++) {
      if (job.hasLiveAttemptIn(zone)) {
        text.append(' ').append(zones.name(zone));
      }
    }
    return text.append(job.spec.together() ? " (together)" : " (scatter)").toString();
  }
}
