package org.mallowroad.controller.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenChunk;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenShared;
import org.mallowroad.core.Job;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what the ledger knows into the state service: one transaction at a time, with the mark of
 * {@code leader} and of every written key as conditions. What changes meanwhile shares the next.
 *
 * <p>No response leaves the outcome unknown: the next transaction carries the same marks, so
 * whichever comes first makes the other fail, and a 409 is settled by reading the marks anew.
 */
public final class WriteBehindCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(WriteBehindCommitter.class);

  /** An end is told within 3 s, so it may give way to starts for a while. */
  private static final long END_MS = 800;

  /** A transaction may have four times as many conditions as writes (PROTOCOL). */
  private static final int CONDITIONS_A_WRITE = 4;

  private static final long RETRY_MS = 300;
  private static final long RETRY_UNKNOWN_MS = 50;

  /** Exits wait for company. */
  private static final long LAZY_MS = 400;

  /**
   * Where many records have some they wait for longer, so that no more than this part is theirs.
   */
  private static final double LAZY_SHARE = 0.2;

  private static final long MOST_LAZY_MS = 6_000;

  /** A transaction waits for this many tokens rather than go out small. */
  private static final int LEAST_WRITES = 4;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final RateLimiter writes;
  private final SchedulerState schedulerState;
  private final NameIndex zones;
  private final long version;
  private final int maxOps;
  private final Events events;
  private final List<Runnable> waiters = new ArrayList<>();
  private final Object2LongLinkedOpenHashMap<String> leftovers =
      new Object2LongLinkedOpenHashMap<>();
  private long commits;
  private long written;
  private boolean busy;
  private boolean stopped;
  private EventLoop.Timer lazy;

  /** What the leader must hear of. */
  public interface Events {
    /** The leader's mark failed: another leads. */
    void deposed();

    /** Starts may have become launchable. */
    void committed();

    /** What a start of a held job must carry along: conditions, and one write at the most. */
    void guard(Job job, Transaction transaction);

    /** What {@link #guard} added is committed. */
    void guarded(Job job, long revision);

    /** A condition that {@link #guard} added may have failed: settle it, then go on. */
    void reguard(Job job, Runnable next);

    /** A job's end is committed or was found. */
    void ended(Job job, boolean done);
  }

  /**
   * A committer of one term.
   *
   * @param version the version of the key {@code leader} in this term
   * @param maxOps puts and deletes of a transaction, at most
   */
  public WriteBehindCommitter(
      EventLoop loop,
      KeyValueStore state,
      RateLimiter writes,
      SchedulerState schedulerState,
      NameIndex zones,
      long version,
      int maxOps,
      Events events) {
    this.loop = loop;
    this.state = state;
    this.writes = writes;
    this.schedulerState = schedulerState;
    this.zones = zones;
    this.version = version;
    this.maxOps = maxOps;
    this.events = events;
  }

  /** Members of a shared record: half of a transaction's conditions are left to other writes. */
  public static int mostSharedMembers(int maxOps) {
    return CONDITIONS_A_WRITE * maxOps / 2;
  }

  /** Sends nothing more; what waits for a transaction is released. */
  public void stop() {
    stopped = true;
    if (lazy != null) {
      lazy.cancel();
    }
    wake();
  }

  /** Transactions of this term. */
  public long commits() {
    return commits;
  }

  /** Puts and deletes of this term. */
  public long writes() {
    return written;
  }

  /** Runs the waiter after the next transaction, whatever its outcome. */
  public void afterNext(Runnable waiter) {
    waiters.add(waiter);
  }

  private void wake() {
    List<Runnable> all = new ArrayList<>(waiters);
    waiters.clear();
    all.forEach(Runnable::run);
  }

  /** Commits what is urgent now; exits alone wait a little for company. */
  public void kick() {
    if (busy || stopped) {
      return;
    }
    if (!schedulerState.urgentRecords().isEmpty() || !schedulerState.jobsToComplete().isEmpty()) {
      send();
    } else if (!schedulerState.dirtyRecords().isEmpty()
        || !leftovers.isEmpty()
        || schedulerState.sharedAttemptRecords().anyNeedsWrite()) {
      later(LAZY_MS);
    }
  }

  private void later(long ms) {
    if (lazy == null && !stopped) {
      lazy =
          loop.after(
              ms,
              () -> {
                lazy = null;
                send();
              });
    }
  }

  /** A record of a job that is over, which an earlier leader had no time to delete. */
  void leftover(String key, long at) {
    leftovers.put(key, at);
  }

  private void send() {
    if (busy || stopped) {
      return;
    }
    long now = loop.now();
    CommitTransactionBuilder draft = fill(now);
    if (draft.empty()) {
      if (!schedulerState.dirtyRecords().isEmpty()
          || !leftovers.isEmpty()
          || schedulerState.sharedAttemptRecords().anyNeedsWrite()) {
        later(LAZY_MS);
      }
      return;
    }
    draft.finish();
    int size = draft.transaction().writes();
    if (size == 0) {
      applied(draft, 0);
      kick();
      return;
    }
    long wait = writes.millisUntilAvailable(size, now);
    if (wait > 0) {
      busy = true;
      loop.after(
          wait,
          () -> {
            busy = false;
            send();
          });
      return;
    }
    writes.forceAcquire(size, now);
    commits++;
    written += size;
    busy = true;
    state.compareAndSwapWithRetry(
        draft.transaction(),
        () -> {
          writes.forceAcquire(size, loop.now());
          written += size;
        },
        (result, revision, failed) -> outcome(draft, result, revision, failed));
  }

  /** As large as the budget allows now: what waits for tokens would hold up what need not. */
  private CommitTransactionBuilder fill(long now) {
    double ready = writes.availablePermits(now);
    int least = Math.min(LEAST_WRITES, maxOps);
    int most = (int) Math.max(least, Math.min(maxOps, ready));
    CommitTransactionBuilder draft =
        new CommitTransactionBuilder(
            schedulerState, zones, events::guard, version, most, CONDITIONS_A_WRITE * maxOps, now);
    draft.addEnds(END_MS);
    draft.addUrgent();
    draft.addEnds(0);
    boolean idle =
        schedulerState.urgentRecords().isEmpty() && schedulerState.jobsToComplete().isEmpty();
    // Exits leave half of the bucket to the starts to come.
    int half = (int) (ready - maxOps / 2.0);
    int spare = idle ? Math.max(least, half) : half;
    draft.addLazy(lazyMs(), Math.max(0, spare - draft.writes()), leftovers);
    return draft;
  }

  /**
   * How long an exit waits to be recorded. Nobody waits for it: the job's end is recorded apart,
   * and a leader that follows hears of it from the worker. Each record that has one is written once
   * in that time, whatever number of tasks end in it meanwhile.
   */
  private long lazyMs() {
    double perSecond = LAZY_SHARE * writes.permitsPerSecond();
    long ms = (long) (1000 * schedulerState.dirtyRecords().size() / perSecond);
    return Math.max(LAZY_MS, Math.min(MOST_LAZY_MS, ms));
  }

  private void outcome(
      CommitTransactionBuilder draft, CallResult result, long revision, List<String> failed) {
    if (stopped) {
      return;
    }
    switch (result) {
      case OK -> {
        busy = false;
        applied(draft, revision);
        wake();
        events.committed();
        kick();
      }
      case CONDITION_FAILED -> settle(draft, failed);
      default -> {
        LOG.warn("event=commit_failed result={}", result);
        loop.after(
            result == CallResult.UNKNOWN ? RETRY_UNKNOWN_MS : RETRY_MS,
            () -> {
              busy = false;
              send();
            });
      }
    }
  }

  private void applied(CommitTransactionBuilder draft, long revision) {
    for (WrittenChunk w : draft.attemptRecords()) {
      committed(w, w.deleted() ? 0 : revision);
    }
    for (WrittenShared r : draft.shared()) {
      committed(r, revision);
    }
    draft.deleted().forEach(leftovers::removeLong);
    draft.guarded().forEach(j -> events.guarded(j, revision));
    for (Job j : draft.ends()) {
      schedulerState.markEnded(j, loop.now());
      events.ended(j, true);
      tidy(j);
    }
    draft.attemptRecords().forEach(w -> tidy(w.attemptRecord().job));
    draft.shared().forEach(r -> r.attemptRecords().forEach(w -> tidy(w.attemptRecord().job)));
  }

  private void committed(WrittenChunk w, long revision) {
    schedulerState.recordCommitted(
        w.attemptRecord(), revision, w.changes(), w.recorded(), loop.now());
  }

  private void committed(WrittenShared r, long revision) {
    // A member has no record of its own, and so no version.
    r.attemptRecords().forEach(w -> committed(w, 0));
    schedulerState.sharedAttemptRecords().markWritten(r.record(), r.value() == null ? 0 : revision);
  }

  /** Forgets a job once nothing of it is left; what records remain are deleted first. */
  private void tidy(Job j) {
    if (!j.isFinished()) {
      return;
    }
    boolean left = false;
    for (int i = 0; i < j.attemptRecordCount(); i++) {
      if (j.attemptRecord(i).version > 0) {
        left = true;
        schedulerState.markForRewrite(j.attemptRecord(i), loop.now());
      }
    }
    if (!left) {
      schedulerState.removeJob(j);
    }
  }

  /**
   * A condition failed: the versions are read anew, and the next transaction is built from them.
   */
  private void settle(CommitTransactionBuilder draft, List<String> failed) {
    if (failed.contains(LeaderElection.LEADER)) {
      busy = false;
      events.deposed();
      return;
    }
    LOG.info("event=commit_conflict keys={}", failed);
    // Somebody else deleted or changed it: it is left to the next takeover.
    draft.deleted().forEach(leftovers::removeLong);
    Predicate<String> concerned = key -> failed.isEmpty() || failed.contains(key);
    List<Consumer<Runnable>> steps = new ArrayList<>();
    List<Job> jobs = new ArrayList<>(draft.ends());
    for (WrittenChunk w : draft.attemptRecords()) {
      if (concerned.test(RecordKeys.attempts(w.attemptRecord()))) {
        steps.add(next -> adopt(w, next));
      }
      addOnce(jobs, w.attemptRecord().job);
    }
    for (WrittenShared r : draft.shared()) {
      if (concerned.test(RecordKeys.sharedAttempts(r.record()))) {
        steps.add(next -> adopt(r, next));
      }
      r.attemptRecords().forEach(w -> addOnce(jobs, w.attemptRecord().job));
    }
    for (Job j : jobs) {
      String id = j.spec.id();
      if (concerned.test(RecordKeys.openJob(id)) || concerned.test(RecordKeys.endedJob(id))) {
        steps.add(next -> reread(j, next));
      }
    }
    for (Job j : draft.guarded()) {
      if (concerned.test(RecordKeys.release(j.spec.id()))
          || failed.stream().anyMatch(RecordKeys::isLeague)) {
        steps.add(next -> events.reguard(j, next));
      }
    }
    run(steps, 0);
  }

  private static void addOnce(List<Job> jobs, Job job) {
    if (!jobs.contains(job)) {
      jobs.add(job);
    }
  }

  private void run(List<Consumer<Runnable>> steps, int i) {
    if (stopped) {
      return;
    }
    if (i == steps.size()) {
      busy = false;
      wake();
      send();
    } else {
      steps.get(i).accept(() -> run(steps, i + 1));
    }
  }

  /** Takes the version that is there; when the value is what was to be written, it was written. */
  private void adopt(WrittenChunk w, Runnable next) {
    read(
        RecordKeys.attempts(w.attemptRecord()),
        item -> {
          if (same(w.value(), item.value())) {
            committed(w, item.version());
          } else {
            w.attemptRecord().version = item.version();
          }
          next.run();
        });
  }

  private void adopt(WrittenShared r, Runnable next) {
    read(
        RecordKeys.sharedAttempts(r.record()),
        item -> {
          if (same(r.value(), item.value())) {
            committed(r, item.version());
          } else {
            r.record().version = item.version();
          }
          next.run();
        });
  }

  private void read(String key, Consumer<VersionedValue> then) {
    state.get(
        key,
        (result, item) -> {
          if (stopped) {
            return;
          }
          if (result == CallResult.OK) {
            then.accept(item);
          } else {
            loop.after(RETRY_MS, () -> read(key, then));
          }
        });
  }

  /**
   * Only this term's transactions write these keys, so an equal value is that of an earlier copy.
   */
  private static boolean same(JsonNode written, JsonNode found) {
    if (written == null || found == null) {
      return false;
    }
    try {
      return Json.parseObject(Json.bytes(written)).equals(found);
    } catch (InvalidMessageException e) {
      return false;
    }
  }

  /** Reads how a job ended, if it did. */
  void reread(Job j, Runnable next) {
    state.get(
        RecordKeys.endedJob(j.spec.id()),
        (result, item) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, () -> reread(j, next));
            return;
          }
          if (item.value() != null) {
            boolean done = item.value().path("end").asText().equals("done");
            if (done) {
              if (!j.isEnded()) { // Else it was told before.
                schedulerState.markEnded(j, loop.now());
                events.ended(j, true);
              }
              tidy(j);
            } else {
              cancelled(j);
            }
          }
          next.run();
        });
  }

  /** It is a fact that the job was cancelled, whoever says so; told once or more. */
  public void cancelled(Job j) {
    schedulerState.cancel(j, loop.now());
    events.ended(j, false);
    tidy(j);
  }
}
