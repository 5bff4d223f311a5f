package org.mallowroad.core.explain;

/** Why tasks are pending or do not run yet. Each cause names what would let the tasks run. */
public enum PendingCause {
  /** No node reports a leader. */
  NO_LEADER("no controller leads", "a controller that reaches the state service is elected"),
  /** A new leader reads its records or waits for the workers' first heartbeats. */
  TAKING_OVER("a leader is taking over", "its takeover ends, usually within a report's time"),
  /** The leader cannot reach the state service, so no task may be started. */
  STATE_AWAY("the leader does not reach the state service", "the state service answers again"),
  /** The leader's event loop has been blocked for seconds. */
  LOOP_STUCK("the leader's loop is stuck", "the loop goes on, or another node takes over"),
  /** The next task of the job, or the whole gang, would exceed the team's limit. */
  TEAM_LIMIT("its team is at its limit", "tasks of the team end, or its limit is raised"),
  /** The job is held until its dependencies are met. */
  HELD_BY_TIES("held until what it depends on is confirmed", "what it waits for ends as it should"),
  /** The job backs off after failures and is retried later. */
  HELD_BACK("held back after failures", "the wait after its last failure is over"),
  /** There is room for only some of the gang's tasks. */
  GANG("not all tasks of the gang have places", "places for all of its tasks at the same time"),
  /**
   * The job's zone rules exclude every zone with room, given where its other tasks are, or
   * contradict each other.
   */
  ZONE_RULES("its zone rules (together, scatter)", "room in a zone that its other tasks leave it"),
  /** Work that has precedence uses the room or will be placed first. */
  BEHIND("behind work that goes first", "that work ends, or a machine is rented"),
  /** The machines that the job allows are full, and none is booting. */
  NO_ROOM("no room now", "running tasks end, or a machine is rented"),
  /** Machines that can run the job are booting. */
  BOOTING("a machine is booting", "the machine reports"),
  /** The cloud refuses requests for all machine variants that can run the job. */
  CLOUD_REFUSES("the cloud refuses machines", "the cloud has machines again"),
  /** No machine is registered whose type, zone and kind (spot or not) the job allows. */
  NO_MACHINES("no allowed type or zone has machines", "a machine that it allows is rented"),
  /** A zone on which the job depends is partitioned from the leader. */
  ZONE_CUT("a zone is silent", "the zone is back, or its tasks are proven gone and run elsewhere"),
  /** The machines that the job allows are silent. */
  MACHINES_SILENT("its machines are silent", "the machines report, or others are rented"),
  /**
   * Only machines that are suspected to be slow or faulty have room, and the job is urgent or a
   * gang.
   */
  SLOW_MACHINES("only slow or faulty machines have room", "another machine has room"),
  /** Only machines on which a task of the job failed have room. */
  FAILED_THERE("its tasks failed where there is room", "another machine has room"),
  /** The operators' limit on image fetches is reached. */
  STAGED(
      "waits for its turn to fetch its image", "a fetch ends, or a machine that holds it has room"),
  /** The machines with room are reserved for another job's gang. */
  HELD("what has room is held for a gang that gathers", "the gang starts or gives up, in minutes"),
  /** The machines' heartbeats arrive, but the leader's responses do not reach the machines. */
  MACHINES_DEAF("its machines do not hear", "answers reach them again, or others are rented"),
  /** The machines are being drained or deleted, have failed, or recently refused a launch. */
  LEAVING("its machines are being returned", "another machine has room"),
  /** Attempts of the job may still run on silent machines. */
  NOT_PROVEN_GONE(
      "an attempt is not proven gone", "the machine reports, is deleted or its lease ends"),
  /** Attempts of the job are not committed yet. */
  AWAITS_COMMIT("its starts wait to be recorded", "the state service takes the write"),
  /** Attempts are committed, and the workers have not reported them yet. */
  AWAITS_WORKER("its launches are on their way", "the worker reports the tasks"),
  /** Workers fetch the job's image. */
  IMAGE("its image is being fetched", "the fetch ends"),
  /** There is room: the next placement pass starts the task. */
  STARTING("about to start", "the next pass of placement, within a tenth of a second");

  private final String description;
  private final String remedy;

  PendingCause(String description, String remedy) {
    this.description = description;
    this.remedy = remedy;
  }

  /** Short description for users. */
  public String description() {
    return description;
  }

  /** The event that would let the tasks run. */
  public String remedy() {
    return remedy;
  }
}
