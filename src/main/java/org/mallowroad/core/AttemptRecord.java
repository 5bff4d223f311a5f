package org.mallowroad.core;

/** The part of a job's tasks that one record in the state service holds. */
public final class AttemptRecord {
  /** Tasks a record: small enough that a full record stays below the value limit. */
  public static final int TASKS_PER_RECORD = 128;

  /** The job it belongs to and its place in it. */
  public final Job job;

  /** Place in the job. */
  public final int index;

  /** The record's version as last seen; 0 when there is none. */
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

  /** How many of its attempts are not on record yet. */
  public int uncommittedStarts() {
    return uncommittedStarts;
  }

  /** Since when it is dirty. */
  public long dirtySinceMs;

  AttemptRecord(Job job, int index) {
    this.job = job;
    this.index = index;
  }

  /** True when nothing of it will be on record any more: its job is over and nothing runs. */
  public boolean isFinished() {
    return (job.cancelled || job.ended) && !hasLiveAttempts();
  }

  /** First task of the chunk. */
  public int firstTask() {
    return index * TASKS_PER_RECORD;
  }

  /** One past the last task of the chunk. */
  public int endTask() {
    return Math.min(job.spec.tasks(), firstTask() + TASKS_PER_RECORD);
  }

  /** True when a task of the chunk has an attempt that is not proven gone. */
  public boolean hasLiveAttempts() {
    for (int t = firstTask(); t < endTask(); t++) {
      if (job.liveAttempts[t] != null) {
        return true;
      }
    }
    return false;
  }
}
