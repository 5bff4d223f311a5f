package org.mallowroad.controller.persistence;

import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenRecord;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenSharedRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.net.EventLoop;

/** Applies committed changes to the scheduler state. Confined to the event loop. */
final class CommitApplier {
  private final EventLoop loop;
  private final SchedulerState schedulerState;
  private final WriteBehindCommitter.Listener listener;

  CommitApplier(
      EventLoop loop, SchedulerState schedulerState, WriteBehindCommitter.Listener listener) {
    this.loop = loop;
    this.schedulerState = schedulerState;
    this.listener = listener;
  }

  /** Applies a transaction that was committed or had nothing to write. */
  void apply(CommitTransactionBuilder commit, long revision) {
    for (WrittenRecord written : commit.writtenRecords()) {
      recordCommitted(written, written.isDeleted() ? 0 : revision);
    }
    for (WrittenSharedRecord written : commit.writtenSharedRecords()) {
      sharedRecordCommitted(written, revision);
    }
    commit.jobsWithStartConditions().forEach(job -> listener.gatedStartCommitted(job, revision));
    for (Job job : commit.endedJobs()) {
      schedulerState.markEnded(job, loop.now());
      listener.jobEnded(job, true);
      removeJobIfRecordsDeleted(job);
    }
    commit.writtenRecords().forEach(written -> removeJobIfRecordsDeleted(written.record().job));
    for (WrittenSharedRecord written : commit.writtenSharedRecords()) {
      written.members().forEach(member -> removeJobIfRecordsDeleted(member.record().job));
    }
  }

  /** Applies a committed attempt record of a single job. */
  void recordCommitted(WrittenRecord written, long version) {
    schedulerState.recordCommitted(
        written.record(), version, written.changeCount(), written.starts(), loop.now());
  }

  /** Applies a committed shared attempt record. */
  void sharedRecordCommitted(WrittenSharedRecord written, long version) {
    // Members of a shared record have no record of their own, so their version is 0.
    written.members().forEach(member -> recordCommitted(member, 0));
    schedulerState
        .sharedAttemptRecords()
        .markWritten(written.record(), written.value() == null ? 0 : version);
  }

  /**
   * Applies an end record that says that the job completed; its end may have been reported before.
   */
  void jobFoundDone(Job job) {
    if (!job.isEnded()) {
      schedulerState.markEnded(job, loop.now());
      listener.jobEnded(job, true);
    }
    removeJobIfRecordsDeleted(job);
  }

  /** Applies the cancellation of a job; may be called more than once per job. */
  void jobCancelled(Job job) {
    schedulerState.cancel(job, loop.now());
    listener.jobEnded(job, false);
    removeJobIfRecordsDeleted(job);
  }

  /**
   * Removes a finished job from the scheduler state once it has no attempt records; otherwise marks
   * the remaining records so that they are deleted first.
   */
  private void removeJobIfRecordsDeleted(Job job) {
    if (!job.isFinished()) {
      return;
    }
    boolean hasRecords = false;
    for (int i = 0; i < job.attemptRecordCount(); i++) {
      if (job.attemptRecord(i).version > 0) {
        hasRecords = true;
        schedulerState.markForRewrite(job.attemptRecord(i), loop.now());
      }
    }
    if (!hasRecords) {
      schedulerState.removeJob(job);
    }
  }
}
