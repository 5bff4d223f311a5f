package org.mallowroad.core;

/**
 * A range of a job's tasks whose attempts one record in the state service holds, and how that
 * record stands. A small job's record may be a part of a {@link SharedAttemptRecord}.
 */
public final class AttemptRecord {
  /**
   * Tasks in a record: few enough that a full record stays below the state service's value limit.
   */
  public static final int TASKS_PER_RECORD = 128;

  /** The job whose tasks these are. */
  public final Job job;

  /** Its index among the records of the job. */
  public final int index;

  /** The record's version in the state service as last seen; 0 when there is none. */
  public long version;

  /**
   * True once a record of its own may have been written, known or not: it never shares one then, or
   * a next leader could find two and take the older one's attempts.
   */
  public boolean mayHaveOwnRecord;

  /** The record that it shares with other small jobs, or null: then it has one of its own. */
  public SharedAttemptRecord sharedRecord;

  /** True when memory knows more than the record. */
  public boolean dirty;

  /** Counts changes, so that a commit clears {@link #dirty} only if nothing came after it. */
  public long changeCount;

  /** How many of its attempts wait for a commit before they may be launched. */
  int uncommittedStarts;

  /** How many of its attempts wait for a commit before they may be launched. */
  public int uncommittedStarts() {
    return uncommittedStarts;
  }

  /** Since when it is dirty, on the steady clock; after a commit, when that was. */
  public long dirtySinceMs;

  AttemptRecord(Job job, int index) {
    this.job = job;
    this.index = index;
  }

  /** True when it will not be written again: its job is over and all of its attempts are gone. */
  public boolean isFinished() {
    return (job.cancelled || job.ended) && !hasLiveAttempts();
  }

  /** The first task of the range. */
  public int firstTask() {
    return index * TASKS_PER_RECORD;
  }

  /** One past the last task of the range. */
  public int endTask() {
    return Math.min(job.spec.tasks(), firstTask() + TASKS_PER_RECORD);
  }

  /** True when a task of the range has an attempt that is not proven gone. */
  public boolean hasLiveAttempts() {
    for (int t = firstTask(); t < endTask(); t++) {
      if (job.liveAttempts[t] != null) {
        return true;
      }
    }
    return false;
  }
}
