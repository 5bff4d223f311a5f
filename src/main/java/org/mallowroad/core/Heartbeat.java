package org.mallowroad.core;

import java.util.List;

/**
 * A worker's message about itself and the tasks it holds.
 *
 * @param servesImages true when the worker takes images from other workers, and hands its own on
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

  /** Of a worker that hands no images on. */
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

  /** What a worker says of a task. */
  public enum State {
    /** Waiting for its image. */
    PULLING,
    /** Running. */
    RUNNING,
    /** Saving. */
    FLUSHING,
    /** Ended. */
    EXITED
  }

  /**
   * One task on the machine.
   *
   * @param exitReason for an exited task, the cause as the worker gave it, else null
   */
  public record Entry(String job, int task, int attempt, State state, String exitReason) {}
}
