package org.mallowroad.core.explain;

/** Why tasks wait: a closed list, each with what would let them go on. */
public enum PendingCause {
  /** No controller leads, as far as anybody says. */
  NO_LEADER("no controller leads", "a controller that reaches the state service is elected"),
  /** A new leader is reading its records, or waits for the workers' first reports. */
  TAKING_OVER("a leader is taking over", "its takeover ends, usually within a report's time"),
  /** The leader cannot reach the state service, so nothing new may start. */
  STATE_AWAY("the leader does not reach the state service", "the state service answers again"),
  /** The leader's loop has not turned for seconds. */
  LOOP_STUCK("the leader's loop is stuck", "the loop goes on, or another node takes over"),
  /** The team's limit is used up. */
  TEAM_LIMIT("its team is at its limit", "tasks of the team end, or its limit is raised"),
  /** It waits for what it is tied to. */
  HELD_BY_TIES("held until what it depends on is confirmed", "what it waits for ends as it should"),
  /** The job failed and is tried again later. */
  HELD_BACK("held back after failures", "the wait after its last failure is over"),
  /** Places for some of a gang's tasks only. */
  GANG("not all tasks of the gang have places", "places for all of its tasks at the same time"),
  /** The zone rules of the job with its own other tasks. */
  ZONE_RULES("its zone rules (together, scatter)", "room in a zone that its other tasks leave it"),
  /** The room is held, or will be taken first, by work that goes before it. */
  BEHIND("behind work that goes first", "that work ends, or a machine is rented"),
  /** Machines are full and none is on its way. */
  NO_ROOM("no room now", "running tasks end, or a machine is rented"),
  /** Machines on which it may run are booting. */
  BOOTING("a machine is booting", "the machine reports"),
  /** The cloud refuses whatever it may run on. */
  CLOUD_REFUSES("the cloud refuses machines", "the cloud has machines again"),
  /** There is no machine of any type, zone and kind that it allows. */
  NO_MACHINES("no allowed type or zone has machines", "a machine that it allows is rented"),
  /** A zone on which it depends is cut off. */
  ZONE_CUT("a zone is silent", "the zone is back, or its tasks are proven gone and run elsewhere"),
  /** The machines on which it may run are not heard. */
  MACHINES_SILENT("its machines are silent", "the machines report, or others are rented"),
  /** Only slow or faulty machines have room, and the job is urgent or a gang. */
  SLOW_MACHINES("only slow or faulty machines have room", "another machine has room"),
  /** Only machines on which a task of it failed have room. */
  FAILED_THERE("its tasks failed where there is room", "another machine has room"),
  /** The operators' limit on fetches. */
  STAGED(
      "waits for its turn to fetch its image", "a fetch ends, or a machine that holds it has room"),
  /** The room that there is is held for a gang. */
  HELD("what has room is held for a gang that gathers", "the gang starts or gives up, in minutes"),
  /** Machines report, and hear nothing. */
  MACHINES_DEAF("its machines do not hear", "answers reach them again, or others are rented"),
  /** The machines are being emptied, or refused a task a moment ago. */
  LEAVING("its machines are being returned", "another machine has room"),
  /** Attempts of it may still run on machines that are not heard. */
  NOT_PROVEN_GONE(
      "an attempt is not proven gone", "the machine reports, is deleted or its lease ends"),
  /** Its starts are recorded with the next commits. */
  AWAITS_COMMIT("its starts wait to be recorded", "the state service takes the write"),
  /** Its launches are on their way. */
  AWAITS_WORKER("its launches are on their way", "the worker reports the tasks"),
  /** Its image is being fetched. */
  IMAGE("its image is being fetched", "the fetch ends"),
  /** There is room: the next pass of placement takes it. */
  STARTING("about to start", "the next pass of placement, within a tenth of a second");

  private final String description;
  private final String remedy;

  PendingCause(String text, String remedy) {
    this.description = text;
    this.remedy = remedy;
  }

  /** In a few words. */
  public String description() {
    return description;
  }

  /** What would let the tasks go on. */
  public String remedy() {
    return remedy;
  }
}
