package org.mallowroad.controller.persistence;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;

/**
 * Watches the open records. Any controller may add one when it accepts a job, or delete one when it
 * cancels a job. Confined to the event loop. Each instance serves one term.
 */
final class OpenJobWatcher {
  /**
   * How long a watch waits for a change, in milliseconds. The cancellation view is as old as the
   * latest watch that received a response ({@link CancellationView}), so this interval shortens the
   * outage of the state service that workers can bridge. One call every 1.5 s is about one percent
   * of the calls of the smallest deployment.
   */
  private static final long WATCH_WAIT_MS = 1_500;

  /** Delay before the open records are listed after a failed watch. */
  private static final long LIST_DELAY_MS = 200;

  /** Delay before a failed list is retried. */
  private static final long LIST_RETRY_MS = 300;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final SchedulerState schedulerState;
  private final RecordRestorer restorer;
  private final WriteBehindCommitter committer;
  private final CancellationView cancellationView;
  private final StateLoader.Listener listener;
  private RevisionRead newestRead = RevisionRead.NONE;
  private boolean isStopped;

  OpenJobWatcher(
      EventLoop loop,
      KeyValueStore store,
      SchedulerState schedulerState,
      RecordRestorer restorer,
      WriteBehindCommitter committer,
      CancellationView cancellationView,
      StateLoader.Listener listener) {
    this.loop = loop;
    this.store = store;
    this.schedulerState = schedulerState;
    this.restorer = restorer;
    this.committer = committer;
    this.cancellationView = cancellationView;
    this.listener = listener;
  }

  /** The newest revision up to which the open jobs were read. */
  RevisionRead newestRead() {
    return newestRead;
  }

  /** Records that the open jobs were read up to a revision by a request sent at {@code sentMs}. */
  void recordRead(long revision, long sentMs) {
    newestRead = new RevisionRead(revision, sentMs);
  }

  /** Stops watching; later responses are ignored. */
  void stop() {
    isStopped = true;
  }

  /** Restores an open job and notifies the listener. */
  void restoreOpenJob(VersionedValue openRecord) {
    Job job = restorer.restoreOpenJob(openRecord);
    if (job != null) {
      listener.openJobRestored(job);
    }
  }

  /** Watches changes after a revision until {@link #stop} is called. */
  void watch(long afterRevision) {
    if (isStopped) {
      return;
    }
    long sentMs = loop.now();
    store.watch(
        RecordKeys.OPEN_JOBS_PREFIX,
        afterRevision,
        WATCH_WAIT_MS,
        (result, events, revision) -> {
          if (isStopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(LIST_DELAY_MS, this::listOpenJobs);
            return;
          }
          recordRead(revision, sentMs);
          applyEvents(events, sentMs);
          watch(revision);
        });
  }

  private void applyEvents(List<VersionedValue> events, long sentMs) {
    CancellationView.ViewRead reading = cancellationView.beginRead(sentMs);
    for (VersionedValue event : events) {
      if (event.value() != null) {
        listener.jobAccepted();
        restoreOpenJob(event);
      } else {
        handleDeletedOpenRecord(RecordKeys.jobOfOpenJobKey(event.key()), reading);
      }
    }
    reading.markApplied();
    if (!events.isEmpty()) {
      listener.stateChanged();
    }
  }

  /**
   * Reads how a job whose open record was deleted has ended. Until the end record is read, the
   * reading of the cancellation view is incomplete and no attempt of the job is stopped.
   */
  private void handleDeletedOpenRecord(String jobId, CancellationView.ViewRead reading) {
    Job job = schedulerState.job(jobId);
    if (job != null && !job.isCancelled() && !schedulerState.jobsToComplete().contains(job)) {
      listener.jobCancelled();
      reading.awaitFollowUpRead();
      committer.readJobEnd(
          job,
          () -> {
            reading.markApplied();
            listener.stateChanged();
          });
    }
  }

  /** Lists all open records, because the changes since the last successful watch are unknown. */
  private void listOpenJobs() {
    if (isStopped) {
      return;
    }
    long sentMs = loop.now();
    store.list(
        RecordKeys.OPEN_JOBS_PREFIX,
        (result, openRecords, revision) -> {
          if (isStopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(LIST_RETRY_MS, this::listOpenJobs);
            return;
          }
          recordRead(revision, sentMs);
          reconcile(openRecords, sentMs);
          watch(revision);
        });
  }

  private void reconcile(List<VersionedValue> openRecords, long sentMs) {
    CancellationView.ViewRead reading = cancellationView.beginRead(sentMs);
    ObjectOpenHashSet<String> listedIds = new ObjectOpenHashSet<>();
    for (VersionedValue openRecord : openRecords) {
      String jobId = RecordKeys.jobOfOpenJobKey(openRecord.key());
      listedIds.add(jobId);
      if (schedulerState.job(jobId) == null) {
        // Open records never change, so known jobs need not be restored again.
        restoreOpenJob(openRecord);
      }
    }
    for (Job job : new ArrayList<>(schedulerState.jobs())) {
      if (!listedIds.contains(job.spec.id())) {
        handleDeletedOpenRecord(job.spec.id(), reading);
      }
    }
    reading.markApplied();
    listener.stateChanged();
  }
}
