package org.mallowroad.core;

/**
 * A range of a job's tasks whose attempts are stored in one record of the state service, and the
 * write status of that record. A small job's record may be part of a {@link SharedAttemptRecord}.
 */
public final class AttemptRecord {
  /**
   * Maximum number of tasks in a record; a full record stays below the state service's value limit.
   */
  public static final int TASKS_PER_RECORD = 128;

  /** The job that the tasks belong to. */
  public final Job job;

  /** The index of this record among the job's records. */
  public final int index;

  /** The last known version of the record in the state service; 0 when it is not stored there. */
  public long version;

  /**
   * True once an unshared record may have been written, even if the write's result is unknown. From
   * then on these tasks never join a shared record: the next leader could find both records and
   * restore the attempts of the older one.
   */
  public boolean mayHaveOwnRecord;

  /** The record that these tasks share with other small jobs; null when the record is unshared. */
  public SharedAttemptRecord sharedRecord;

  /** True when the state in memory is newer than the stored record. */
  public boolean dirty;

  /** Counts changes; a commit clears {@link #dirty} only if no change followed the one written. */
  public long changeCount;

  /** Number of attempts whose launch waits for this record's commit. */
  int uncommittedStarts;

  /** Number of attempts whose launch waits for this record's commit. */
  public int uncommittedStarts() {
    return uncommittedStarts;
  }

  /** Time at which the record became dirty, or of its latest commit if later, in monotonic ms. */
  public long dirtySinceMs;

  AttemptRecord(Job job, int index) {
    this.job = job;
    this.index = index;
  }

  /** True when the record will not be written again: its job is over and no attempt is live. */
  public boolean isFinished() {
    return (job.cancelled || job.ended) && !hasLiveAttempts();
  }

  /** Index of the first task of the range. */
  public int firstTask() {
    return index * TASKS_PER_RECORD;
  }

  /** Index after the last task of the range. */
  public int endTask() {
    return Math.min(job.spec.tasks(), firstTask() + TASKS_PER_RECORD);
  }

  /** True when a task of the range has an attempt that is not proven gone. */
  public boolean hasLiveAttempts() {
    for (int task = firstTask(); task < endTask(); task++) {
      if (job.liveAttempts[task] != null) {
        return true;
      }
    }
    return false;
  }
}
