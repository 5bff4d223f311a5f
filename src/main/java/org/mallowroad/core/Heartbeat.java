package org.mallowroad.core;

import java.util.List;

/**
 * A worker's periodic status message about itself and its tasks.
 *
 * @param machine name of the machine
 * @param address address at which the worker accepts direct commands
 * @param type name of the machine type
 * @param zone name of the zone
 * @param spot true for a spot machine
 * @param incarnation identifies the worker's session; each session has a higher one
 * @param sequence sequence number of the message within the session
 * @param fencingToken highest fencing token that the worker has seen
 * @param interruptionNoticeS seconds until the cloud reclaims the spot machine; negative without a
 *     notice
 * @param entries all tasks on the worker, including exited ones that are not cleared yet
 * @param servesImages true when the worker fetches images from other workers and serves its own
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long fencingToken,
    double interruptionNoticeS,
    List<Entry> entries,
    boolean servesImages) {

  /** Creates the heartbeat of a worker that does not exchange images with other workers. */
  public Heartbeat(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long incarnation,
      long sequence,
      long fencingToken,
      double interruptionNoticeS,
      List<Entry> entries) {
    this(
        machine,
        address,
        type,
        zone,
        spot,
        incarnation,
        sequence,
        fencingToken,
        interruptionNoticeS,
        entries,
        false);
  }

  /** The states of a task on a worker. */
  public enum State {
    /** The image is being fetched. */
    PULLING,
    /** The task is running. */
    RUNNING,
    /** The task is saving its progress after a stop command. */
    FLUSHING,
    /** The task has ended; it is listed until the leader clears it. */
    EXITED
  }

  /**
   * The status of one task on the machine.
   *
   * @param job id of the job
   * @param task index of the task in its job
   * @param attempt attempt number of the task
   * @param state state of the task
   * @param exitReason the exit reason that the worker gave for an exited task, else null
   */
  public record Entry(String job, int task, int attempt, State state, String exitReason) {}
}
