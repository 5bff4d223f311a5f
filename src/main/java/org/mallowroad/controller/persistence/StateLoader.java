package org.mallowroad.controller.persistence;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;

/**
 * Loads the records that exist at the beginning of a term into the scheduler state, a few per turn
 * of the event loop, and then watches the open jobs ({@link OpenJobWatcher}).
 *
 * <p>Confined to the event loop. Each instance serves one term.
 */
public final class StateLoader {
  /** Delay before the machine types are checked again; records cannot be restored without them. */
  private static final long MACHINE_TYPES_RETRY_MS = 100;

  /** Delay before all lists are read again after one has failed. */
  private static final long LIST_RETRY_MS = 200;

  /** Number of lists that a failover reads: open jobs, attempts, shared attempts and rentals. */
  private static final int LIST_COUNT = 4;

  /** Maximum number of records restored per turn of the event loop. */
  private static final int RECORDS_PER_TURN = 24;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final RecordDecodingContext decodingContext;
  private final SchedulerState schedulerState;
  private final WriteBehindCommitter committer;
  private final CancellationView cancellationView;
  private final Listener listener;
  private final RecordRestorer restorer;
  private final OpenJobWatcher watcher;
  private boolean isStopped;

  /** Receives the progress of loading and the changes of open jobs. */
  public interface Listener {
    /**
     * All records are loaded.
     *
     * @param attemptRecords number of attempt records, including shared ones
     * @param rentals the records of rental requests
     */
    void loaded(int attemptRecords, List<VersionedValue> rentals);

    /** An open job was restored into the scheduler state; may be called more than once per job. */
    void openJobRestored(Job job);

    /** A job was accepted by any node. */
    void jobAccepted();

    /**
     * A job was cancelled by any node: its open record was deleted although it was not about to
     * complete.
     */
    void jobCancelled();

    /** The state changed: there may be tasks to place or attempts to stop. */
    void stateChanged();
  }

  /** Creates a loader for one term; {@link #load} starts it. */
  public StateLoader(
      EventLoop loop,
      KeyValueStore store,
      RecordDecodingContext decodingContext,
      SchedulerState schedulerState,
      WriteBehindCommitter committer,
      CancellationView cancellationView,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.decodingContext = decodingContext;
    this.schedulerState = schedulerState;
    this.committer = committer;
    this.cancellationView = cancellationView;
    this.listener = listener;
    this.restorer = new RecordRestorer(loop, decodingContext, schedulerState);
    this.watcher =
        new OpenJobWatcher(
            loop, store, schedulerState, restorer, committer, cancellationView, listener);
  }

  /** Stops loading and watching; later responses are ignored. */
  public void stop() {
    isStopped = true;
    watcher.stop();
  }

  /** The newest revision up to which the open jobs were read. */
  public RevisionRead newestRead() {
    return watcher.newestRead();
  }

  /** Loads all records, and retries until every list has been read successfully. */
  public void load() {
    if (isStopped) {
      return;
    }
    if (decodingContext.machineTypes().isEmpty()) {
      loop.after(MACHINE_TYPES_RETRY_MS, this::load);
      return;
    }
    new RecordLoad().start();
  }

  /** A single pass that loads all records. */
  private final class RecordLoad {
    private final long sentMs = loop.now();
    private List<VersionedValue> openJobs;
    private List<VersionedValue> attempts;
    private List<VersionedValue> sharedAttempts;
    private List<VersionedValue> rentals;
    private long openJobsRevision;
    private int listsRead;
    private boolean hasFailedList;

    /**
     * Reads all lists concurrently. This is consistent because only this term writes attempts and
     * rentals, and changes of open jobs are watched from the revision of their list.
     */
    void start() {
      store.list(
          RecordKeys.OPEN_JOBS_PREFIX,
          (result, items, revision) -> {
            openJobs = items;
            openJobsRevision = revision;
            handleListResult(result);
          });
      store.list(
          RecordKeys.ATTEMPT_RECORDS_PREFIX,
          (result, items, revision) -> {
            attempts = items;
            handleListResult(result);
          });
      store.list(
          RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX,
          (result, items, revision) -> {
            sharedAttempts = items;
            handleListResult(result);
          });
      store.list(
          RecordKeys.RENTALS_PREFIX,
          (result, items, revision) -> {
            rentals = items;
            handleListResult(result);
          });
    }

    private void handleListResult(CallResult result) {
      hasFailedList |= result != CallResult.OK;
      if (++listsRead < LIST_COUNT || isStopped) {
        return;
      }
      if (hasFailedList) {
        loop.after(LIST_RETRY_MS, StateLoader.this::load);
      } else {
        restoreInTurns(openJobs, 0, watcher::restoreOpenJob, this::readJobEnds);
      }
    }

    /**
     * Restores a few records per turn of the event loop, so that lease renewals and responses to
     * workers and users are not delayed.
     */
    private void restoreInTurns(
        List<VersionedValue> items, int from, Consumer<VersionedValue> restore, Runnable next) {
      if (isStopped) {
        return;
      }
      int to = Math.min(items.size(), from + RECORDS_PER_TURN);
      items.subList(from, to).forEach(restore);
      if (to < items.size()) {
        loop.submit(() -> restoreInTurns(items, to, restore, next));
      } else {
        next.run();
      }
    }

    /**
     * Reads the end records of jobs that have attempt records but no open record. Attempts of
     * cancelled jobs must still be restored; their job specifications are in the end records.
     */
    private void readJobEnds() {
      ObjectOpenHashSet<String> openIds = new ObjectOpenHashSet<>();
      openJobs.forEach(item -> openIds.add(RecordKeys.jobOfOpenJobKey(item.key())));
      ObjectLinkedOpenHashSet<String> endedIds = new ObjectLinkedOpenHashSet<>();
      attempts.forEach(item -> endedIds.add(RecordKeys.jobOfAttemptRecordKey(item.key())));
      sharedAttempts.forEach(
          item ->
              AttemptRecordCodec.membersOfShared(item.value())
                  .forEach(member -> endedIds.add(member.getKey())));
      endedIds.removeAll(openIds);
      new JobEndReader(loop, store, restorer, () -> isStopped, endedIds, this::handleJobEnds)
          .start();
    }

    private void handleJobEnds(Set<String> completedJobIds) {
      for (VersionedValue item : attempts) {
        if (completedJobIds.contains(RecordKeys.jobOfAttemptRecordKey(item.key()))) {
          committer.deleteObsoleteRecord(item.key(), item.version());
        }
      }
      restoreInTurns(attempts, 0, restorer::restoreAttempts, this::restoreSharedAttempts);
    }

    private void restoreSharedAttempts() {
      restoreInTurns(sharedAttempts, 0, restorer::restoreSharedAttempts, this::finish);
    }

    private void finish() {
      for (Job job : schedulerState.jobs()) {
        schedulerState.finishRestore(job, loop.now());
      }
      // The reading covers ended jobs as well, because readJobEnds has read how each of them ended.
      cancellationView.beginRead(sentMs).markApplied();
      watcher.recordRead(openJobsRevision, sentMs);
      listener.loaded(attempts.size() + sharedAttempts.size(), rentals);
      watcher.watch(openJobsRevision);
    }
  }
}
