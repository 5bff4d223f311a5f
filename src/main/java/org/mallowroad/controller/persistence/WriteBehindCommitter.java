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
 * Writes changes of the scheduler state to the state service asynchronously, after the decisions
 * that caused them. One transaction is sent at a time; its conditions include the versions of the
 * key {@code leader} and of every key that it writes. Changes made while a transaction is in
 * progress are part of the next one.
 *
 * <p><b>Why no outcome remains unknown.</b> The transaction after one without a response has the
 * same versions among its conditions. Whichever of the two is executed first therefore makes the
 * other fail, and a failed condition is resolved by reading the stored versions ({@link
 * CommitConflictResolver}).
 *
 * <p>Confined to the event loop. Each instance serves one term.
 */
public final class WriteBehindCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(WriteBehindCommitter.class);

  /**
   * How long the end of a job may yield to starts, in milliseconds. The end must be recorded within
   * 3 s.
   */
  private static final long END_DELAY_MS = 800;

  /**
   * Maximum number of conditions of a transaction per allowed write; a limit of the state service.
   */
  private static final int CONDITIONS_PER_WRITE = 4;

  /** Delay before the next transaction after one that was certainly not executed. */
  private static final long RETRY_DELAY_MS = 300;

  /** Delay before the next transaction after one that may have been executed. */
  private static final long UNKNOWN_RETRY_DELAY_MS = 50;

  /** Minimum delay before task exits are written, so that several of them share a transaction. */
  private static final long MIN_DEFERRAL_MS = 400;

  private static final long MAX_DEFERRAL_MS = 6_000;

  /**
   * Maximum share of the write rate for task exits: when many records have exits, the exits are
   * deferred longer so that they do not exceed this share.
   */
  private static final double DEFERRED_WRITE_SHARE = 0.2;

  /**
   * A transaction waits until the rate limit allows this many writes, to avoid very small
   * transactions.
   */
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
  private final List<Runnable> transactionCallbacks = new ArrayList<>();

  /** Keys and versions of obsolete records, which only need to be deleted. */
  private final Object2LongLinkedOpenHashMap<String> obsoleteRecords =
      new Object2LongLinkedOpenHashMap<>();

  private long commitCount;
  private long writeCount;
  private boolean isBusy;
  private boolean isStopped;
  private EventLoop.Timer deferralTimer;

  /**
   * Settings of a committer.
   *
   * @param leaderKeyVersion version of the key {@code leader} in this term
   * @param maxWrites maximum number of puts and deletes per transaction
   */
  public record Options(long leaderKeyVersion, int maxWrites) {
    private int maxConditions() {
      return CONDITIONS_PER_WRITE * maxWrites;
    }
  }

  /** Receives the outcomes of commits and provides the conditions for the starts of gated jobs. */
  public interface Listener {
    /** The condition on the key {@code leader} failed: another node leads. */
    void deposed();

    /** A transaction was committed, so the starts that it recorded may be launched. */
    void committed();

    /** Adds the conditions that the start of a gated job requires, and at most one write. */
    void addStartConditions(Job job, Transaction transaction);

    /** The conditions and the write that {@link #addStartConditions} added are committed. */
    void gatedStartCommitted(Job job, long revision);

    /**
     * Reads the records behind the conditions of {@link #addStartConditions} again, because one of
     * the conditions may have failed.
     *
     * @param next run when the records are read
     */
    void reloadStartConditions(Job job, Runnable next);

    /**
     * The end of a job is committed, or an existing end record was found.
     *
     * @param isDone false if the job was cancelled, which may be reported more than once
     */
    void jobEnded(Job job, boolean isDone);
  }

  /** Creates a committer for one term. */
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
   * Returns the maximum number of members of a shared record. The limit leaves half of a
   * transaction's conditions to other writes.
   */
  public static int maxSharedMembers(int maxWrites) {
    return CONDITIONS_PER_WRITE * maxWrites / 2;
  }

  /** Stops sending transactions and runs the callbacks that wait for the next one. */
  public void stop() {
    isStopped = true;
    conflictResolver.stop();
    if (deferralTimer != null) {
      deferralTimer.cancel();
    }
    runTransactionCallbacks();
  }

  /** Returns the number of transactions sent in this term. */
  public long commitCount() {
    return commitCount;
  }

  /** Returns the number of puts and deletes sent in this term, including retries. */
  public long writeCount() {
    return writeCount;
  }

  /**
   * Runs a callback once, after the next transaction is committed or fails on a condition, or when
   * this committer stops.
   */
  public void runAfterNextTransaction(Runnable callback) {
    transactionCallbacks.add(callback);
  }

  private void runTransactionCallbacks() {
    List<Runnable> callbacks = new ArrayList<>(transactionCallbacks);
    transactionCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  /**
   * Schedules the deletion of a record of an ended job that an earlier leader did not delete in
   * time.
   */
  void deleteObsoleteRecord(String key, long version) {
    obsoleteRecords.put(key, version);
  }

  /** Reads the job's end record, applies it if it exists, and then runs {@code next}. */
  void readJobEnd(Job job, Runnable next) {
    conflictResolver.readJobEnd(job, next);
  }

  /**
   * Applies the cancellation of a job, whichever component learned of it; may be called more than
   * once per job.
   */
  public void jobCancelled(Job job) {
    applier.jobCancelled(job);
  }

  /** Commits pending task starts and job ends immediately. Task exits alone are deferred. */
  public void commitPending() {
    if (isBusy || isStopped) {
      return;
    }
    if (hasUrgentWrites()) {
      send();
    } else if (hasDeferredWrites()) {
      scheduleDeferredCommit();
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

  private void scheduleDeferredCommit() {
    if (deferralTimer == null && !isStopped) {
      deferralTimer =
          loop.after(
              MIN_DEFERRAL_MS,
              () -> {
                deferralTimer = null;
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
        scheduleDeferredCommit();
      }
      return;
    }
    commit.encodeSharedRecords();
    int size = commit.transaction().writeCount();
    if (size == 0) {
      applyCommitted(commit, 0);
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
   * Builds a transaction no larger than the rate limit allows now. Writes beyond the limit would
   * delay the whole transaction.
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
    // Exits leave half of the permits to upcoming starts.
    int halfOfPermits = (int) (available - options.maxWrites() / 2.0);
    int spareWrites = hasUrgentWrites() ? halfOfPermits : Math.max(minWrites, halfOfPermits);
    commit.addDeferred(
        deferralMs(), Math.max(0, spareWrites - commit.writeCount()), obsoleteRecords);
    return commit;
  }

  /**
   * Returns how long task exits wait before they are written, in milliseconds. The delay is
   * harmless: the job's end is recorded separately, and a new leader learns of the exit from the
   * worker. Each record with exits is written once in that time, however many of its tasks end
   * meanwhile.
   */
  private long deferralMs() {
    double perSecond = DEFERRED_WRITE_SHARE * writeRateLimiter.permitsPerSecond();
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
        applyCommitted(commit, revision);
        runTransactionCallbacks();
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

  private void applyCommitted(CommitTransactionBuilder commit, long revision) {
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
    // Another process deleted or changed the obsolete records; any that remain are deleted after
    // the next failover.
    commit.deletedKeys().forEach(obsoleteRecords::removeLong);
    conflictResolver.resolve(
        commit,
        failedKeys,
        () -> {
          isBusy = false;
          runTransactionCallbacks();
          send();
        });
  }
}
