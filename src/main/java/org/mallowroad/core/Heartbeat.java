package org.mallowroad.core;

import java.util.List;

/**
 * A worker's periodic message about itself and its tasks.
 *
 * @param address where the worker takes direct commands
 * @param incarnation identifies the worker's session, and rises with each one
 * @param sequence number of the message within the session
 * @param fencingToken the highest token that the worker has seen
 * @param interruptionNoticeS seconds until the cloud takes the spot machine back; negative without
 *     a notice
 * @param entries all tasks that the worker has, those included whose exits are not cleared yet
 * @param servesImages true when the worker fetches images from other workers, and serves its own
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

  /** From a worker that serves no images. */
  public Heartbeat(
      String machine,
      String address,
      String type,
      String zone,
      boolean spot,
      long incarnation,
      long sequence,
      long fencingToken,
      double noticeS,
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
        noticeS,
        entries,
        false);
  }

  /** The states of a task on a worker. */
  public enum State {
    /** Its image is being fetched. */
    PULLING,
    /** Running. */
    RUNNING,
    /** It saves its progress after a stop. */
    FLUSHING,
    /** It has ended; listed until the leader clears it. */
    EXITED
  }

  /**
   * One task on the machine.
   *
   * @param exitReason for an exited task, the cause as the worker gave it, else null
   */
  public record Entry(String job, int task, int attempt, State state, String exitReason) {}
}
