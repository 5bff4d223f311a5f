package org.mallowroad.controller.persistence;

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what changes in the scheduler state to the state service, behind the decisions: one
 * transaction at a time, with the version of the key {@code leader} and of every key that is
 * written as conditions. What changes while one is under way goes into the next.
 *
 * <p><b>Why no outcome stays unknown.</b> After a transaction without a response the next one has
 * the same versions among its conditions, so whichever is executed first makes the other fail, and
 * a failed condition is resolved by reading the versions again ({@link CommitConflictResolver}).
 *
 * <p>Confined to the event loop; for one term of leadership.
 */
public final class WriteBehindCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(WriteBehindCommitter.class);

  /** The end of a job is due within 3 s, so it may give way to starts for this long. */
  private static final long END_DELAY_MS = 800;

  /** Conditions that a transaction may have for each write; a limit of the state service. */
  private static final int CONDITIONS_PER_WRITE = 4;

  /** Delay of the next transaction after one that was certainly not executed. */
  private static final long RETRY_DELAY_MS = 300;

  /** The same after one that may have been executed. */
  private static final long UNKNOWN_RETRY_DELAY_MS = 50;

  /** Exits of tasks wait at least this long, so that several share a transaction. */
  private static final long MIN_DEFERRAL_MS = 400;

  private static final long MAX_DEFERRAL_MS = 6_000;

  /**
   * Where many records have exits they wait for longer, so that they take no more than this part of
   * the writes.
   */
  private static final double DEFERRED_SHARE = 0.2;

  /** A transaction waits until the rate limit allows this many writes rather than go out small. */
  private static final int MIN_WRITES = 4;

  private static final double MS_PER_SECOND = 1000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final RateLimiter writeRateLimiter;
  private final SchedulerState schedulerState;
  private final NameIndex zones;
  private final Options options;
  private final Listener listener;
  private final CommitApplier applier;
  private final CommitConflictResolver conflictResolver;
  private final List<Runnable> afterNextTransaction = new ArrayList<>();

  /** Keys of records that are only to be deleted, with their versions. */
  private final Object2LongLinkedOpenHashMap<String> obsoleteRecords =
      new Object2LongLinkedOpenHashMap<>();

  private long commitCount;
  private long writeCount;
  private boolean isBusy;
  private boolean isStopped;
  private EventLoop.Timer deferral;

  /**
   * What a committer writes with.
   *
   * @param leaderKeyVersion version of the key {@code leader} in this term
   * @param maxWrites puts and deletes of a transaction, at most
   */
  public record Options(long leaderKeyVersion, int maxWrites) {
    private int maxConditions() {
      return CONDITIONS_PER_WRITE * maxWrites;
    }
  }

  /** Told what became of the commits, and asked what the starts of gated jobs depend on. */
  public interface Listener {
    /** The condition on the key {@code leader} failed: another node leads. */
    void deposed();

    /** A transaction was committed: starts that it recorded may be launched. */
    void committed();

    /** Adds what the start of a gated job requires: conditions, and at most one write. */
    void addStartConditions(Job job, Transaction transaction);

    /** What {@link #addStartConditions} added is committed. */
    void gatedStartCommitted(Job job, long revision);

    /**
     * A condition that {@link #addStartConditions} added may have failed: reads it again.
     *
     * @param next run when that is done
     */
    void reloadStartConditions(Job job, Runnable next);

    /**
     * A job's end is committed, or was found to be.
     *
     * @param isDone false if the job was cancelled; that may be told more than once
     */
    void jobEnded(Job job, boolean isDone);
  }

  /** A committer of one term. */
  public WriteBehindCommitter(
      EventLoop loop,
      KeyValueStore store,
      RateLimiter writeRateLimiter,
      SchedulerState schedulerState,
      NameIndex zones,
      Options options,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.writeRateLimiter = writeRateLimiter;
    this.schedulerState = schedulerState;
    this.zones = zones;
    this.options = options;
    this.listener = listener;
    this.applier = new CommitApplier(loop, schedulerState, listener);
    this.conflictResolver = new CommitConflictResolver(loop, store, applier, listener);
  }

  /**
   * Members of a shared record at most: half of a transaction's conditions are left to other
   * writes.
   */
  public static int maxSharedMembers(int maxWrites) {
    return CONDITIONS_PER_WRITE * maxWrites / 2;
  }

  /** Sends nothing more; what waits for a transaction is run. */
  public void stop() {
    isStopped = true;
    conflictResolver.stop();
    if (deferral != null) {
      deferral.cancel();
    }
    runWaiting();
  }

  /** Number of transactions of this term. */
  public long commitCount() {
    return commitCount;
  }

  /** Number of puts and deletes of this term, retries included. */
  public long writeCount() {
    return writeCount;
  }

  /** Runs something once after the next transaction, whatever its outcome. */
  public void runAfterNextTransaction(Runnable waiting) {
    afterNextTransaction.add(waiting);
  }

  private void runWaiting() {
    List<Runnable> all = new ArrayList<>(afterNextTransaction);
    afterNextTransaction.clear();
    all.forEach(Runnable::run);
  }

  /** Deletes a record of a job that is over, which an earlier leader had no time to delete. */
  void deleteObsoleteRecord(String key, long version) {
    obsoleteRecords.put(key, version);
  }

  /** Reads how a job ended, if it did, and applies it; then runs {@code next}. */
  void readJobEnd(Job job, Runnable next) {
    conflictResolver.readJobEnd(job, next);
  }

  /** A job is known to be cancelled, by whoever says so; may be told more than once. */
  public void jobCancelled(Job job) {
    applier.jobCancelled(job);
  }

  /** Commits starts and ends of jobs now; exits of tasks alone are deferred. */
  public void commitPending() {
    if (isBusy || isStopped) {
      return;
    }
    if (hasUrgentWrites()) {
      send();
    } else if (hasDeferredWrites()) {
      defer();
    }
  }

  private boolean hasUrgentWrites() {
    return !schedulerState.urgentRecords().isEmpty() || !schedulerState.jobsToComplete().isEmpty();
  }

  private boolean hasDeferredWrites() {
    return !schedulerState.dirtyRecords().isEmpty()
        || !obsoleteRecords.isEmpty()
        || schedulerState.sharedAttemptRecords().anyNeedsWrite();
  }

  private void defer() {
    if (deferral == null && !isStopped) {
      deferral =
          loop.after(
              MIN_DEFERRAL_MS,
              () -> {
                deferral = null;
                send();
              });
    }
  }

  private void send() {
    if (isBusy || isStopped) {
      return;
    }
    long now = loop.now();
    CommitTransactionBuilder commit = buildTransaction(now);
    if (commit.isEmpty()) {
      if (hasDeferredWrites()) {
        defer();
      }
      return;
    }
    commit.finish();
    int size = commit.transaction().writeCount();
    if (size == 0) {
      applied(commit, 0);
      commitPending();
      return;
    }
    long waitMs = writeRateLimiter.millisUntilAvailable(size, now);
    if (waitMs > 0) {
      sendAfter(waitMs);
    } else {
      writeRateLimiter.forceAcquire(size, now);
      send(commit, size);
    }
  }

  private void sendAfter(long ms) {
    isBusy = true;
    loop.after(
        ms,
        () -> {
          isBusy = false;
          send();
        });
  }

  private void send(CommitTransactionBuilder commit, int size) {
    commitCount++;
    writeCount += size;
    isBusy = true;
    store.compareAndSwapWithRetry(
        commit.transaction(),
        () -> {
          writeRateLimiter.forceAcquire(size, loop.now());
          writeCount += size;
        },
        (result, revision, failedKeys) -> onOutcome(commit, result, revision, failedKeys));
  }

  /**
   * Builds a transaction as large as the rate limit allows now: writes that had to wait for it
   * would hold up those that need not.
   */
  private CommitTransactionBuilder buildTransaction(long now) {
    double available = writeRateLimiter.availablePermits(now);
    int minWrites = Math.min(MIN_WRITES, options.maxWrites());
    int maxWrites = (int) Math.max(minWrites, Math.min(options.maxWrites(), available));
    CommitTransactionBuilder commit =
        new CommitTransactionBuilder(
            schedulerState,
            zones,
            listener::addStartConditions,
            options.leaderKeyVersion(),
            maxWrites,
            options.maxConditions(),
            now);
    commit.addEnds(END_DELAY_MS);
    commit.addStarts();
    commit.addEnds(0);
    // Exits leave half of the permits to the starts to come.
    int half = (int) (available - options.maxWrites() / 2.0);
    int spareWrites = hasUrgentWrites() ? half : Math.max(minWrites, half);
    commit.addDeferred(deferralMs(), Math.max(0, spareWrites - commit.writes()), obsoleteRecords);
    return commit;
  }

  /**
   * How long an exit waits to be recorded. Nobody waits for it: the job's end is recorded apart,
   * and the next leader learns of it from the worker. Each record that has one is written once in
   * that time, whatever number of tasks end in it meanwhile.
   */
  private long deferralMs() {
    double perSecond = DEFERRED_SHARE * writeRateLimiter.permitsPerSecond();
    long ms = (long) (MS_PER_SECOND * schedulerState.dirtyRecords().size() / perSecond);
    return Math.max(MIN_DEFERRAL_MS, Math.min(MAX_DEFERRAL_MS, ms));
  }

  private void onOutcome(
      CommitTransactionBuilder commit, CallResult result, long revision, List<String> failedKeys) {
    if (isStopped) {
      return;
    }
    switch (result) {
      case OK -> {
        isBusy = false;
        applied(commit, revision);
        runWaiting();
        listener.committed();
        commitPending();
      }
      case CONDITION_FAILED -> onConflict(commit, failedKeys);
      default -> {
        LOG.warn("event=commit_failed result={}", result);
        loop.after(
            result == CallResult.UNKNOWN ? UNKNOWN_RETRY_DELAY_MS : RETRY_DELAY_MS,
            () -> {
              isBusy = false;
              send();
            });
      }
    }
  }

  private void applied(CommitTransactionBuilder commit, long revision) {
    commit.deletedKeys().forEach(obsoleteRecords::removeLong);
    applier.apply(commit, revision);
  }

  private void onConflict(CommitTransactionBuilder commit, List<String> failedKeys) {
    if (failedKeys.contains(LeaderElection.LEADER_KEY)) {
      isBusy = false;
      listener.deposed();
      return;
    }
    LOG.info("event=commit_conflict keys={}", failedKeys);
    // Someone else deleted or changed them: what is left is deleted after the next failover.
    commit.deletedKeys().forEach(obsoleteRecords::removeLong);
    conflictResolver.resolve(
        commit,
        failedKeys,
        () -> {
          isBusy = false;
          runWaiting();
          send();
        });
  }
}
