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
 * Watches the open records, which any controller may add (a job was accepted) or delete (it was
 * cancelled). Confined to the event loop; for one term.
 */
final class OpenJobWatcher {
  /**
   * How long a watch waits for a change. The view of cancellations is as old as its newest watch
   * that was answered ({@link CancellationView}), so this much of an outage is lost to the workers.
   * A call each second and a half is one in a hundred of the smallest deployment's.
   */
  private static final long WATCH_WAIT_MS = 1_500;

  /** Delay of a list after a watch that failed. */
  private static final long LIST_DELAY_MS = 200;

  /** Delay of another list after one that failed. */
  private static final long LIST_RETRY_MS = 300;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final SchedulerState schedulerState;
  private final RecordRestorer restorer;
  private final WriteBehindCommitter committer;
  private final CancellationView view;
  private final StateLoader.Listener listener;
  private boolean isStopped;

  OpenJobWatcher(
      EventLoop loop,
      KeyValueStore store,
      SchedulerState schedulerState,
      RecordRestorer restorer,
      WriteBehindCommitter committer,
      CancellationView view,
      StateLoader.Listener listener) {
    this.loop = loop;
    this.store = store;
    this.schedulerState = schedulerState;
    this.restorer = restorer;
    this.committer = committer;
    this.view = view;
    this.listener = listener;
  }

  /** Watches nothing more. */
  void stop() {
    isStopped = true;
  }

  /** Restores an open job and tells of it. */
  void openRecordFound(VersionedValue item) {
    Job job = restorer.restoreOpenJob(item);
    if (job != null) {
      listener.openJobRestored(job);
    }
  }

  /** Watches the changes after a revision, from now on. */
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
            loop.after(LIST_DELAY_MS, this::list);
            return;
          }
          apply(events, sentMs);
          watch(revision);
        });
  }

  private void apply(List<VersionedValue> events, long sentMs) {
    CancellationView.ViewRead reading = view.beginRead(sentMs);
    for (VersionedValue event : events) {
      if (event.value() != null) {
        listener.jobAccepted();
        openRecordFound(event);
      } else {
        openRecordDeleted(RecordKeys.jobOfOpenJobKey(event.key()), reading);
      }
    }
    reading.markApplied();
    if (!events.isEmpty()) {
      listener.stateChanged();
    }
  }

  /** The view is no newer than how the job ended: until that is read, nothing of it is stopped. */
  private void openRecordDeleted(String id, CancellationView.ViewRead reading) {
    Job job = schedulerState.job(id);
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

  /** Reads all open records, since it is not known what has changed. */
  private void list() {
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
            loop.after(LIST_RETRY_MS, this::list);
            return;
          }
          compare(openRecords, sentMs);
          watch(revision);
        });
  }

  private void compare(List<VersionedValue> openRecords, long sentMs) {
    CancellationView.ViewRead reading = view.beginRead(sentMs);
    ObjectOpenHashSet<String> ids = new ObjectOpenHashSet<>();
    for (VersionedValue item : openRecords) {
      String id = RecordKeys.jobOfOpenJobKey(item.key());
      ids.add(id);
      if (schedulerState.job(id) == null) {
        openRecordFound(item); // Open records never change: the others need not be read again.
      }
    }
    for (Job job : new ArrayList<>(schedulerState.jobs())) {
      if (!ids.contains(job.spec.id())) {
        openRecordDeleted(job.spec.id(), reading);
      }
    }
    reading.markApplied();
    listener.stateChanged();
  }
}
