package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.IntArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.mallowroad.core.health.RunTimeBaseline;

/** An accepted job and where its tasks are. */
public final class Job {
  /** What the user submitted. */
  public final JobSpec spec;

  /** Version of the job's open record, which never changes while the job is open. */
  public final long version;

  final BitSet done = new BitSet();
  final int[] number;
  final Attempt[] live;
  final AttemptRecord[] attemptRecords;
  public final IntArrayFIFOQueue pending = new IntArrayFIFOQueue();
  final int[] zoneLive;

  /** How long its tasks took: the measure of the machines that run the others. */
  final RunTimeBaseline peers;

  /** Machines on which a task of this job ended with an error. */
  public final ObjectOpenHashSet<String> failedOn = new ObjectOpenHashSet<>();

  /**
   * True when the job fits into its team's guarantee together with the team's earlier unfinished
   * jobs; as of the newest queue.
   */
  public boolean guaranteed;

  /** True when it has waited so long that it goes before guaranteed work of its rank. */
  public boolean aged;

  /**
   * When as many of its tasks as its team's limit allows at once were under way or done, or -1:
   * what users mean by "begun", counted by placements.
   */
  long begunMs = -1;

  /**
   * True while it waits for what it is tied to: no task of it starts, it counts among no waiting,
   * and it does not age. Opened by a release on record alone.
   */
  boolean held;

  /** When its hold was opened in this term, or 0. */
  long openedMs;

  /** What it still waits for, for people. */
  public String holdText = "";

  int liveCount;
  int runningCount;
  int failures;
  long notBeforeMs;
  long waitingSinceMs;

  /** When its last task was done. */
  long allDoneMs;

  /** When one of its tasks was last given to a machine. */
  long lastStartMs;

  /** When it was submitted, on this process's steady clock. */
  final long submittedMs;

  /** True once the user's cancellation is known; nothing is launched from then on. */
  boolean cancelled;

  /** True once the job's end is recorded. */
  boolean ended;

  Job(JobSpec spec, long version, int zones, long submittedMs, long now) {
    this.submittedMs = submittedMs;
    this.lastStartMs = submittedMs;
    this.spec = spec;
    this.version = version;
    this.peers = new RunTimeBaseline(spec.tasks());
    this.number = new int[spec.tasks()];
    this.live = new Attempt[spec.tasks()];
    this.attemptRecords =
        new AttemptRecord[(spec.tasks() + AttemptRecord.TASKS - 1) / AttemptRecord.TASKS];
    for (int i = 0; i < attemptRecords.length; i++) {
      attemptRecords[i] = new AttemptRecord(this, i);
    }
    this.zoneLive = new int[zones];
    this.waitingSinceMs = now;
  }

  /** The record that holds a task. */
  public AttemptRecord attemptRecord(int i) {
    return attemptRecords[i];
  }

  /** How many records the job may have. */
  public int attemptRecordCount() {
    return attemptRecords.length;
  }

  /** True when the task is done. */
  public boolean isDone(int task) {
    return done.get(task);
  }

  /** The unresolved attempt of a task, or null. */
  public Attempt live(int task) {
    return live[task];
  }

  /** Highest attempt number that a task has had. */
  public int number(int task) {
    return number[task];
  }

  /** Number of tasks done. */
  public int doneCount() {
    return done.cardinality();
  }

  /** Number of tasks that wait to be started. */
  public int waitingCount() {
    return pending.size();
  }

  /** Number of unresolved attempts. */
  public int liveCount() {
    return liveCount;
  }

  /** True while it is tried again only later, after failures. */
  public boolean heldBack(long now) {
    return notBeforeMs > now;
  }

  /** Until when it is held back after failures, on this process's steady clock. */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** Failures in a row, without a task that completed between them. */
  public int failures() {
    return failures;
  }

  /** True when there are machines on which a task of it ended with an error. */
  public boolean failedSomewhere() {
    return !failedOn.isEmpty();
  }

  /** Since when tasks of it have waited without a break, on this process's steady clock. */
  public long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** True when it was within its team's guarantee in the newest queue. */
  public boolean guaranteed() {
    return guaranteed;
  }

  /** True when it goes before other work of its rank: within a guarantee, or long overdue. */
  public boolean goesFirst() {
    return guaranteed || aged;
  }

  /** When it had begun, the largest part of it that may run at once, or -1. */
  public long begunMs() {
    return begunMs;
  }

  /** False where its other tasks keep its next one from a zone. */
  public boolean mayBeIn(int zone) {
    return !(spec.together() && liveCount > zoneLive[zone])
        && !(spec.scatter() && zoneLive[zone] >= spec.zoneCap());
  }

  /** Number of unresolved attempts in each zone; a copy. */
  public int[] liveByZone() {
    return zoneLive.clone();
  }

  /** True when unresolved attempts of it are in a zone. */
  public boolean liveIn(int zone) {
    return zoneLive[zone] > 0;
  }

  /** Number of tasks known to run. */
  public int runningCount() {
    return runningCount;
  }

  /** When it was submitted, on this process's steady clock. */
  public long submittedMs() {
    return submittedMs;
  }

  /** When one of its tasks was last given to a machine. */
  public long lastStartMs() {
    return lastStartMs;
  }

  /** The most attempts that one of its tasks has had. */
  public int tries() {
    int most = 0;
    for (int n : number) {
      most = Math.max(most, n);
    }
    return most;
  }

  /** When its last task was done, once all are. */
  public long allDoneMs() {
    return allDoneMs;
  }

  /** True when all tasks are done. */
  public boolean allDone() {
    return done.cardinality() == spec.tasks();
  }

  /** True while it is held. */
  public boolean held() {
    return held;
  }

  /** Since when it could have started: its submission, or the opening of its hold. */
  public long sinceMs() {
    return Math.max(submittedMs, openedMs);
  }

  /** True while tasks wait and may be started. */
  public boolean waiting() {
    return !held && !cancelled && !ended && !pending.isEmpty();
  }

  /** True once the user's cancellation is known. */
  public boolean cancelled() {
    return cancelled;
  }

  /** True once the job's end is recorded as done. */
  public boolean ended() {
    return ended;
  }

  /** True when nothing of an ended job is left on any machine. */
  public boolean finished() {
    return (cancelled || ended) && liveCount == 0;
  }
}
