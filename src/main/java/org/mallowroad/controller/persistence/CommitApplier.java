package org.mallowroad.controller.persistence;

import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenRecord;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenSharedRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.net.EventLoop;

/** Brings into the scheduler state what is known to be committed. Confined to the event loop. */
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

  /** A transaction was committed, or had nothing to write. */
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
      forgetIfNothingLeft(job);
    }
    commit.writtenRecords().forEach(written -> forgetIfNothingLeft(written.record().job));
    for (WrittenSharedRecord written : commit.writtenSharedRecords()) {
      written.members().forEach(member -> forgetIfNothingLeft(member.record().job));
    }
  }

  /** A record that is a job's own was committed. */
  void recordCommitted(WrittenRecord written, long version) {
    schedulerState.recordCommitted(
        written.record(), version, written.changeCount(), written.starts(), loop.now());
  }

  /** A shared record was committed. */
  void sharedRecordCommitted(WrittenSharedRecord written, long version) {
    // A member has no record of its own, and so no version.
    written.members().forEach(member -> recordCommitted(member, 0));
    schedulerState
        .sharedAttemptRecords()
        .markWritten(written.record(), written.value() == null ? 0 : version);
  }

  /** The record of a job's end as done was found; the job's end may have been told before. */
  void jobFoundDone(Job job) {
    if (!job.isEnded()) {
      schedulerState.markEnded(job, loop.now());
      listener.jobEnded(job, true);
    }
    forgetIfNothingLeft(job);
  }

  /** A job is known to be cancelled; may be told more than once. */
  void jobCancelled(Job job) {
    schedulerState.cancel(job, loop.now());
    listener.jobEnded(job, false);
    forgetIfNothingLeft(job);
  }

  /** Forgets a finished job once it has no records; those that remain are deleted first. */
  private void forgetIfNothingLeft(Job job) {
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
