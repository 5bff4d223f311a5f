package org.mallowroad.core.explain;

import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.core.scheduling.TaskScheduler;

/** Explains why tasks of a job are not placed. */
final class PlacementExplainer {
  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final AutoscalerView autoscaler;
  private final NameIndex zones;
  private final ScheduleSurvey survey;
  private final PlacementQuestions questions;
  private final CapacityExplainer capacity;

  PlacementExplainer(
      SchedulerState schedulerState,
      TaskScheduler placement,
      AutoscalerView autoscaler,
      NameIndex zones,
      ScheduleSurvey survey,
      PlacementQuestions questions) {
    this.schedulerState = schedulerState;
    this.placement = placement;
    this.autoscaler = autoscaler;
    this.zones = zones;
    this.survey = survey;
    this.questions = questions;
    this.capacity = new CapacityExplainer(schedulerState, autoscaler, survey, zones);
  }

  /** Explains a job that has waiting tasks. */
  PendingReason explain(Job job) {
    PendingReason general = explainWithoutMachines(job);
    if (general != null) {
      return general;
    }
    RefusalCounts counts = questions.ask(job);
    if (counts.allowedMachines() == 0) {
      return capacity.explain(
          job, PendingCause.NO_MACHINES, "none of the types, zones and kinds it allows");
    }
    if (counts.isStartable()) {
      return job.spec.gang() ? explainGang(job) : aboutToStart(job);
    }
    return explainRefusal(job, counts);
  }

  /** The reason that holds whatever machines there are, or null. */
  private PendingReason explainWithoutMachines(Job job) {
    JobSpec spec = job.spec;
    if (!autoscaler.isLeaseValid()) {
      return new PendingReason(
          PendingCause.STATE_AWAY,
          autoscaler.lastRenewalSentMs(),
          -1,
          -1,
          "the lease is not renewed: nothing is placed");
    }
    if (job.isBackingOff(survey.now())) {
      return new PendingReason(
          PendingCause.HELD_BACK,
          job.waitingSinceMs(),
          job.retryNotBeforeMs(),
          -1,
          CountFormat.of(job.consecutiveFailures(), "failure") + " in a row");
    }
    if (placement.exceedsTeamLimit(job)) {
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

  /** Explains a job whose tasks all its allowed machines refuse. */
  private PendingReason explainRefusal(Job job, RefusalCounts counts) {
    StartRefusal refusal = counts.main();
    String machines = CountFormat.of(counts.count(refusal), "machine");
    return switch (refusal) {
      case RESOURCES -> capacity.explain(job, PendingCause.NO_ROOM, machines + " full");
      case ZONE_RULES -> PendingReason.of(job, PendingCause.ZONE_RULES, describeZoneRules(job));
      case HEARTBEAT_OVERDUE -> explainSilence(job, counts);
      case SUSPECTED_SLOW_OR_FAULTY -> PendingReason.of(job, PendingCause.SLOW_MACHINES, machines);
      case FAILED_ON_MACHINE -> PendingReason.of(job, PendingCause.FAILED_THERE, machines);
      case IMAGE_FETCH_LIMIT ->
          PendingReason.of(job, PendingCause.STAGED, describeImageFetches(job));
      case RESERVED_FOR_GANG -> PendingReason.of(job, PendingCause.HELD, machines);
      case OUTBOUND_UNREACHABLE -> PendingReason.of(job, PendingCause.MACHINES_DEAF, machines);
      case QUOTA -> PendingReason.of(job, PendingCause.TEAM_LIMIT, describeTeamLimit(job.spec));
      default ->
          PendingReason.of(
              job, PendingCause.LEAVING, CountFormat.of(counts.allowedMachines(), "machine"));
    };
  }

  private static PendingReason aboutToStart(Job job) {
    return PendingReason.of(job, PendingCause.STARTING, "there is room");
  }

  private PendingReason explainGang(Job job) {
    int places = placement.findGangPlacement(job, survey.now()).size();
    questions.addAsked(schedulerState.machines().size());
    if (places >= job.pendingTaskCount()) {
      return aboutToStart(job);
    }
    String detail = "places for " + places + " of " + job.pendingTaskCount() + " tasks";
    GangReservations.ReservationStatus state =
        schedulerState.gangReservations().status(job, survey.now());
    if (state == null) {
      return capacity.explain(job, PendingCause.GANG, detail + "; waits for its turn to gather");
    }
    return new PendingReason(
        PendingCause.GANG,
        job.waitingSinceMs(),
        state.endsAtMs(),
        state.zone(),
        detail + "; " + describeReservation(state));
  }

  private String describeReservation(GangReservations.ReservationStatus state) {
    String where = state.zone() < 0 ? "any zone" : "zone " + zones.name(state.zone());
    if (state.isBackingOff()) {
      return where + " could not hold all of it and is left alone until then";
    }
    return "gathers in "
        + where
        + ": "
        + state.slots()
        + " of "
        + state.neededSlots()
        + " held or soon free, "
        + CountFormat.of(state.requestedMachines(), "machine")
        + " rented for it";
  }

  private PendingReason explainSilence(Job job, RefusalCounts counts) {
    int zone = counts.mostSilentZone();
    if (schedulerState.health().failureDetector().isPartitioned(zone)) {
      long partitionedForMs =
          schedulerState.health().failureDetector().partitionedForMs(zone, survey.now());
      return new PendingReason(
          PendingCause.ZONE_CUT,
          survey.now() - partitionedForMs,
          -1,
          zone,
          CountFormat.of(counts.silentIn(zone), "silent machine") + " in zone " + zones.name(zone));
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
