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
 * Reads the records that a term begins with into its scheduler state, a few in a turn of the event
 * loop, and from then on watches the open jobs ({@link OpenJobWatcher}).
 *
 * <p>Confined to the event loop; for one term.
 */
public final class StateLoader {
  /** Delay until the machine types are asked for again; without them no record can be read. */
  private static final long MACHINE_TYPES_RETRY_MS = 100;

  /** Delay until all is read again after a list that failed. */
  private static final long LIST_RETRY_MS = 200;

  /** Lists that a failover reads: open jobs, attempts, shared attempts and rentals. */
  private static final int LISTS = 4;

  /** Records that are restored in one turn of the event loop. */
  private static final int RECORDS_PER_TURN = 24;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final RecordDecodingContext decodingContext;
  private final SchedulerState schedulerState;
  private final WriteBehindCommitter committer;
  private final CancellationView view;
  private final Listener listener;
  private final RecordRestorer restorer;
  private final OpenJobWatcher watcher;
  private boolean isStopped;

  /** Told what is read. */
  public interface Listener {
    /**
     * All records are read.
     *
     * @param attemptRecords number of attempt records, shared ones included
     * @param rentals the records of rental requests
     */
    void loaded(int attemptRecords, List<VersionedValue> rentals);

    /** An open job is in the scheduler state; may be told more than once. */
    void openJobRestored(Job job);

    /** A job was accepted by any node. */
    void jobAccepted();

    /** A job that was not about to end is over: it was cancelled by any node. */
    void jobCancelled();

    /** There may be something to place or to stop. */
    void stateChanged();
  }

  /** A loader of one term. */
  public StateLoader(
      EventLoop loop,
      KeyValueStore store,
      RecordDecodingContext decodingContext,
      SchedulerState schedulerState,
      WriteBehindCommitter committer,
      CancellationView view,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.decodingContext = decodingContext;
    this.schedulerState = schedulerState;
    this.committer = committer;
    this.view = view;
    this.listener = listener;
    this.restorer = new RecordRestorer(loop, decodingContext, schedulerState);
    this.watcher =
        new OpenJobWatcher(loop, store, schedulerState, restorer, committer, view, listener);
  }

  /** Reads and watches nothing more. */
  public void stop() {
    isStopped = true;
    watcher.stop();
  }

  /** Reads all records, again and again until every list is read. */
  public void load() {
    if (isStopped) {
      return;
    }
    if (decodingContext.machineTypes().isEmpty()) {
      loop.after(MACHINE_TYPES_RETRY_MS, this::load);
      return;
    }
    new Loading().start();
  }

  /** One reading of all records. */
  private final class Loading {
    private final long sentMs = loop.now();
    private List<VersionedValue> openJobs;
    private List<VersionedValue> attempts;
    private List<VersionedValue> sharedAttempts;
    private List<VersionedValue> rentals;
    private long openJobsRevision;
    private int listsRead;
    private boolean hasFailed;

    /**
     * All lists at once: only this term writes attempts and rentals, and what changes in open jobs
     * is watched from the revision of their list.
     */
    void start() {
      store.list(
          RecordKeys.OPEN_JOBS_PREFIX,
          (result, items, revision) -> {
            openJobs = items;
            openJobsRevision = revision;
            listRead(result);
          });
      store.list(
          RecordKeys.ATTEMPT_RECORDS_PREFIX,
          (result, items, revision) -> {
            attempts = items;
            listRead(result);
          });
      store.list(
          RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX,
          (result, items, revision) -> {
            sharedAttempts = items;
            listRead(result);
          });
      store.list(
          RecordKeys.RENTALS_PREFIX,
          (result, items, revision) -> {
            rentals = items;
            listRead(result);
          });
    }

    private void listRead(CallResult result) {
      hasFailed |= result != CallResult.OK;
      if (++listsRead < LISTS || isStopped) {
        return;
      }
      if (hasFailed) {
        loop.after(LIST_RETRY_MS, StateLoader.this::load);
      } else {
        restoreInTurns(openJobs, 0, watcher::openRecordFound, this::readJobEnds);
      }
    }

    /**
     * Restores a few records a turn: lease renewals and responses to workers and users go first.
     */
    private void restoreInTurns(
        List<VersionedValue> items, int from, Consumer<VersionedValue> restore, Runnable next) {
      if (isStopped) {
        return;
      }
      int to = Math.min(items.size(), from + RECORDS_PER_TURN);
      items.subList(from, to).forEach(restore);
      if (to < items.size()) {
        loop.soon(() -> restoreInTurns(items, to, restore, next));
      } else {
        next.run();
      }
    }

    /**
     * Reads how those jobs ended that have attempt records and no open record. Attempts of
     * cancelled jobs still count: their specifications are in the end records.
     */
    private void readJobEnds() {
      ObjectOpenHashSet<String> open = new ObjectOpenHashSet<>();
      openJobs.forEach(item -> open.add(RecordKeys.jobOfOpenJobKey(item.key())));
      ObjectLinkedOpenHashSet<String> ended = new ObjectLinkedOpenHashSet<>();
      attempts.forEach(item -> ended.add(RecordKeys.jobOfAttemptRecordKey(item.key())));
      sharedAttempts.forEach(
          item ->
              AttemptRecordCodec.membersOfShared(item.value())
                  .forEach(member -> ended.add(member.getKey())));
      ended.removeAll(open);
      new JobEndReader(loop, store, restorer, () -> isStopped, ended, this::jobEndsRead).start();
    }

    private void jobEndsRead(Set<String> doneJobs) {
      for (VersionedValue item : attempts) {
        if (doneJobs.contains(RecordKeys.jobOfAttemptRecordKey(item.key()))) {
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
      // Of jobs that are over as well: readJobEnds has read how each of them ended.
      view.beginRead(sentMs).markApplied();
      listener.loaded(attempts.size() + sharedAttempts.size(), rentals);
      watcher.watch(openJobsRevision);
    }
  }
}
