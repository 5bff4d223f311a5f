package org.mallowroad.controller.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.SharedAttemptRecords;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.Json;

/**
 * A transaction of the leader while it is filled from what the ledger has to record. It never holds
 * more writes, conditions or bytes than the limits it is made with.
 */
final class CommitTransactionBuilder {
  private static final int MAX_BYTES = 48 * 1024;

  /** Ends of idle jobs give way to starts for so long: hundreds may come within a minute. */
  private static final long IDLE_END_MS = 12_000;

  /** Bytes of a key with its condition, and of an end record with its keys. */
  private static final int KEY_BYTES = 200;

  private static final int END_BYTES = 400;

  /** Conditions that a chunk of a held job may add besides its own. */
  private static final int GUARD_CONDITIONS = 8;

  /** A chunk as the transaction carries it. */
  record WrittenChunk(
      AttemptRecord attemptRecord,
      long changes,
      boolean deleted,
      List<Attempt> recorded,
      JsonNode value) {}

  /** A shared record as the transaction carries it; without a value it is deleted. */
  record WrittenShared(
      SharedAttemptRecord record, JsonNode value, List<WrittenChunk> attemptRecords) {}

  /** Adds to the transaction what a held job's start needs. */
  interface Guard {
    void guard(Job job, Transaction transaction);
  }

  private final SchedulerState schedulerState;
  private final NameIndex zones;
  private final Guard guard;
  private final long now;
  private final int mostWrites;
  private final int mostConditions;
  private final Transaction transaction;
  private final List<WrittenChunk> attemptRecords = new ArrayList<>();
  private final List<WrittenShared> shared = new ArrayList<>();
  private final ObjectLinkedOpenHashSet<SharedAttemptRecord> sharedAttemptRecords =
      new ObjectLinkedOpenHashSet<>();
  private final List<WrittenChunk> sharedChunks = new ArrayList<>();
  private final ObjectOpenHashSet<AttemptRecord> seen = new ObjectOpenHashSet<>();
  private final List<Job> ends = new ArrayList<>();
  private final List<String> deleted = new ArrayList<>();
  private final ObjectOpenHashSet<Job> guarded = new ObjectOpenHashSet<>();
  private int bytes;

  CommitTransactionBuilder(
      SchedulerState schedulerState,
      NameIndex zones,
      Guard guard,
      long leaderVersion,
      int mostWrites,
      int mostConditions,
      long now) {
    this.schedulerState = schedulerState;
    this.zones = zones;
    this.guard = guard;
    this.now = now;
    this.mostWrites = mostWrites;
    this.mostConditions = mostConditions;
    this.transaction = new Transaction().requireVersion(LeaderElection.LEADER, leaderVersion);
  }

  /** The transaction, once {@link #finish} was called. */
  Transaction transaction() {
    return transaction;
  }

  /** Chunks with records of their own. */
  List<WrittenChunk> attemptRecords() {
    return attemptRecords;
  }

  /** Shared records. */
  List<WrittenShared> shared() {
    return shared;
  }

  /** Jobs whose ends it carries. */
  List<Job> ends() {
    return ends;
  }

  /** Keys of jobs that are over, deleted without more ado. */
  List<String> deleted() {
    return deleted;
  }

  /** Held jobs whose conditions it carries. */
  ObjectOpenHashSet<Job> guarded() {
    return guarded;
  }

  /** Puts and deletes. */
  int writes() {
    return transaction.writes() + (shared.isEmpty() ? sharedAttemptRecords.size() : 0);
  }

  /** True when nothing was to be recorded. */
  boolean empty() {
    return attemptRecords.isEmpty()
        && sharedChunks.isEmpty()
        && sharedAttemptRecords.isEmpty()
        && ends.isEmpty()
        && deleted.isEmpty();
  }

  private boolean full(int more) {
    return writes() + more > mostWrites || bytes > MAX_BYTES;
  }

  private boolean hasConditions(int more) {
    return transaction.conditions() + sharedAttemptRecords.size() + more <= mostConditions;
  }

  /** Ends that are older than {@code ms}. */
  void addEnds(long ms) {
    for (Job job : schedulerState.jobsToComplete()) {
      if (full(job.spec.dependencies().isGated() ? 4 : 2) || !hasConditions(2)) {
        return;
      }
      long least = ms > 0 && job.spec.priority() >= JobSpec.IDLE ? IDLE_END_MS : ms;
      if (!ends.contains(job) && now - job.allDoneMs() >= least) {
        addEnd(job);
      }
    }
  }

  private void addEnd(Job job) {
    String id = job.spec.id();
    transaction
        .requireVersion(RecordKeys.openJob(id), job.version)
        .requireVersion(RecordKeys.endedJob(id), 0);
    transaction.put(RecordKeys.endedJob(id), JobRecordCodec.encodeDone(job.spec.tasks()));
    transaction.delete(RecordKeys.openJob(id));
    if (job.spec.dependencies().isGated()) {
      transaction.delete(RecordKeys.dependencies(id)).delete(RecordKeys.release(id));
    }
    ends.add(job);
    bytes += END_BYTES;
    for (int i = 0; i < job.attemptRecordCount() && !full(1) && hasConditions(1); i++) {
      AttemptRecord c = job.attemptRecord(i);
      if (c.version > 0 && seen.add(c)) {
        delete(c);
      }
    }
  }

  private void delete(AttemptRecord c) {
    transaction.requireVersion(RecordKeys.attempts(c), c.version).delete(RecordKeys.attempts(c));
    attemptRecords.add(new WrittenChunk(c, c.changeCount, true, List.of(), null));
    bytes += KEY_BYTES;
  }

  /**
   * Starts, which somebody waits for, those of idle jobs after the others: hundreds of them may be
   * placed in a second, and in one line with them urgent work waited for its records for 8 s. A
   * quarter is theirs even so, or they would not be served at all while there is other work.
   */
  void addUrgent() {
    int idle = 0;
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      idle += idle(c) ? 1 : 0;
    }
    addUrgent(false, Math.min(idle, mostWrites / 4));
    addUrgent(true, 0);
    addUrgent(false, 0);
  }

  private void addUrgent(boolean idle, int left) {
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      if (full(1 + left)) {
        return;
      }
      if (idle(c) == idle) {
        add(c);
      }
    }
  }

  private static boolean idle(AttemptRecord c) {
    return c.job.spec.priority() >= JobSpec.IDLE;
  }

  /** What changed at least {@code ms} ago, and leftovers, as far as {@code spare} writes go. */
  void addLazy(long ms, int spare, Object2LongLinkedOpenHashMap<String> leftovers) {
    int most = writes() + spare;
    for (AttemptRecord c : schedulerState.dirtyRecords()) {
      if (full(1) || writes() >= most) {
        return;
      }
      if (now - c.dirtySinceMs >= ms || (c.job.isFinished() && c.version == 0)) {
        add(c);
      }
    }
    for (SharedAttemptRecord r : schedulerState.sharedAttemptRecords().records()) {
      if (full(1) || writes() >= most) {
        return;
      }
      if (r.needsWrite()) {
        includeShared(r);
      }
    }
    for (Object2LongMap.Entry<String> e : leftovers.object2LongEntrySet()) {
      if (full(1) || writes() >= most || !hasConditions(1)) {
        return;
      }
      transaction.requireVersion(e.getKey(), e.getLongValue()).delete(e.getKey());
      deleted.add(e.getKey());
      bytes += KEY_BYTES;
    }
  }

  private void add(AttemptRecord c) {
    if (schedulerState.jobsToComplete().contains(c.job) || seen.contains(c)) {
      return;
    }
    if (c.isFinished()) {
      addFinished(c);
    } else if (schedulerState.sharedAttemptRecords().assignRecord(c)) {
      includeShared(c.sharedRecord);
    } else if (hasConditions(2 + GUARD_CONDITIONS)) {
      addOwn(c);
    }
  }

  private void addFinished(AttemptRecord c) {
    if (!hasConditions(1)) {
      return;
    }
    seen.add(c);
    if (c.version > 0) {
      delete(c);
    } else {
      attemptRecords.add(new WrittenChunk(c, c.changeCount, true, List.of(), null));
    }
  }

  private void addOwn(AttemptRecord c) {
    List<Attempt> recorded = recording(c);
    if (!recorded.isEmpty() && c.job.spec.dependencies().isGated() && !guarded.contains(c.job)) {
      if (full(2)) {
        return; // Its release changes with the first start: the next transaction has room.
      }
      guard.guard(c.job, transaction);
      guarded.add(c.job);
    }
    seen.add(c);
    c.mayHaveOwnRecord = true;
    if (!c.job.isCancelled() && !c.job.isEnded()) {
      // The job must still be open when a start is recorded.
      transaction.requireVersion(RecordKeys.openJob(c.job.spec.id()), c.job.version);
    }
    ObjectNode value = AttemptRecordCodec.encode(c, zones);
    transaction
        .requireVersion(RecordKeys.attempts(c), c.version)
        .put(RecordKeys.attempts(c), value);
    attemptRecords.add(new WrittenChunk(c, c.changeCount, false, recorded, value));
    bytes += Json.text(value).length() + KEY_BYTES;
  }

  private static List<Attempt> recording(AttemptRecord c) {
    List<Attempt> recording = new ArrayList<>();
    for (int t = c.firstTask(); t < c.endTask(); t++) {
      Attempt a = c.job.liveAttempt(t);
      if (a != null && a.phase == Attempt.Phase.RECORDING) {
        recording.add(a);
      }
    }
    return recording;
  }

  /**
   * The record is written as a whole, so each of its members is: one whose start is to be recorded
   * with its job's open record as a condition.
   */
  private void includeShared(SharedAttemptRecord r) {
    int conditions = 1;
    for (AttemptRecord c : r.members()) {
      conditions += !seen.contains(c) && c.uncommittedStarts() > 0 ? 1 : 0;
    }
    if (!hasConditions(conditions) || (!sharedAttemptRecords.contains(r) && full(1))) {
      return;
    }
    sharedAttemptRecords.add(r);
    for (AttemptRecord c : r.members()) {
      if (!seen.add(c)) {
        continue;
      }
      List<Attempt> recorded = recording(c);
      if (!recorded.isEmpty()) {
        transaction.requireVersion(RecordKeys.openJob(c.job.spec.id()), c.job.version);
      }
      bytes += KEY_BYTES + SharedAttemptRecords.reservedBytes(c);
      if (!schedulerState.jobsToComplete().contains(c.job)) {
        sharedChunks.add(new WrittenChunk(c, c.changeCount, c.isFinished(), recorded, null));
      }
    }
  }

  /** Builds the values of shared records: nothing can be added from then on. */
  void finish() {
    for (SharedAttemptRecord r : sharedAttemptRecords) {
      // One that joined when there was no room for its conditions is written with the next one.
      List<AttemptRecord> left =
          r.members().stream().filter(c -> seen.contains(c) && !c.isFinished()).toList();
      List<WrittenChunk> written =
          sharedChunks.stream().filter(w -> w.attemptRecord().sharedRecord == r).toList();
      transaction.requireVersion(RecordKeys.sharedAttempts(r), r.version);
      if (!left.isEmpty()) {
        JsonNode value = AttemptRecordCodec.encodeShared(left, zones);
        transaction.put(RecordKeys.sharedAttempts(r), value);
        shared.add(new WrittenShared(r, value, written));
      } else {
        if (r.version > 0) {
          transaction.delete(RecordKeys.sharedAttempts(r));
        }
        shared.add(new WrittenShared(r, null, written));
      }
    }
  }
}
