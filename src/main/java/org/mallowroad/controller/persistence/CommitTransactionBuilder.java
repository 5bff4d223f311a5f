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
 * Builds one transaction of a leader from what the scheduler state has to record. It never holds
 * more writes, conditions or bytes than its limits.
 *
 * <p>Confined to the event loop; for one transaction.
 */
final class CommitTransactionBuilder {
  /** Estimated size from which on nothing is added; the state service takes 64 KiB. */
  private static final int MAX_BYTES = 48 * 1024;

  /** Ends of idle jobs give way to starts for this long: hundreds may come within a minute. */
  private static final long IDLE_END_DELAY_MS = 12_000;

  /** Estimated bytes of a key with its condition. */
  private static final int KEY_BYTES = 200;

  /** Estimated bytes of an end record with its keys. */
  private static final int END_BYTES = 400;

  /** Writes of a job's end: the end record, the open record, and what a gated job has besides. */
  private static final int END_WRITES = 2;

  private static final int GATED_END_WRITES = 4;
  private static final int END_CONDITIONS = 2;

  /** Conditions of an attempt record: its own version and the job's open record. */
  private static final int RECORD_CONDITIONS = 2;

  /** Conditions that the start of a gated job may add besides those of its record. */
  private static final int MAX_START_CONDITIONS = 8;

  /** Part of the writes that is left to starts of idle jobs: one in this many. */
  private static final int IDLE_START_FRACTION = 4;

  /**
   * An attempt record as the transaction has it.
   *
   * @param changeCount the record's count of changes when it was encoded
   * @param starts the attempts whose starts it records first
   * @param value null when the record is deleted, or is part of a shared one
   */
  record WrittenRecord(
      AttemptRecord record,
      long changeCount,
      boolean isDeleted,
      List<Attempt> starts,
      JsonNode value) {}

  /**
   * A shared record as the transaction has it.
   *
   * @param value null when it is deleted
   */
  record WrittenSharedRecord(
      SharedAttemptRecord record, JsonNode value, List<WrittenRecord> members) {}

  /** Adds to the transaction what the start of a gated job requires. */
  interface StartConditions {
    /** Adds conditions, and at most one write. */
    void addTo(Job job, Transaction transaction);
  }

  private final SchedulerState schedulerState;
  private final NameIndex zones;
  private final StartConditions startConditions;
  private final long now;
  private final int maxWrites;
  private final int maxConditions;
  private final Transaction transaction;
  private final List<WrittenRecord> writtenRecords = new ArrayList<>();
  private final List<WrittenSharedRecord> writtenSharedRecords = new ArrayList<>();
  private final ObjectLinkedOpenHashSet<SharedAttemptRecord> includedSharedRecords =
      new ObjectLinkedOpenHashSet<>();
  private final List<WrittenRecord> sharedMembers = new ArrayList<>();
  private final ObjectOpenHashSet<AttemptRecord> included = new ObjectOpenHashSet<>();
  private final List<Job> endedJobs = new ArrayList<>();
  private final List<String> deletedKeys = new ArrayList<>();
  private final ObjectOpenHashSet<Job> jobsWithStartConditions = new ObjectOpenHashSet<>();
  private int estimatedBytes;

  CommitTransactionBuilder(
      SchedulerState schedulerState,
      NameIndex zones,
      StartConditions startConditions,
      long leaderKeyVersion,
      int maxWrites,
      int maxConditions,
      long now) {
    this.schedulerState = schedulerState;
    this.zones = zones;
    this.startConditions = startConditions;
    this.now = now;
    this.maxWrites = maxWrites;
    this.maxConditions = maxConditions;
    this.transaction =
        new Transaction().requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion);
  }

  /** The transaction, once {@link #finish} was called. */
  Transaction transaction() {
    return transaction;
  }

  /** Records that are a job's own. */
  List<WrittenRecord> writtenRecords() {
    return writtenRecords;
  }

  /** Shared records. */
  List<WrittenSharedRecord> writtenSharedRecords() {
    return writtenSharedRecords;
  }

  /** Jobs whose ends are recorded. */
  List<Job> endedJobs() {
    return endedJobs;
  }

  /** Keys of obsolete records that are deleted. */
  List<String> deletedKeys() {
    return deletedKeys;
  }

  /** Gated jobs whose starts are recorded on their conditions. */
  ObjectOpenHashSet<Job> jobsWithStartConditions() {
    return jobsWithStartConditions;
  }

  /** Number of puts and deletes. */
  int writes() {
    return transaction.writeCount()
        + (writtenSharedRecords.isEmpty() ? includedSharedRecords.size() : 0);
  }

  /** True when there is nothing to record. */
  boolean isEmpty() {
    return writtenRecords.isEmpty()
        && sharedMembers.isEmpty()
        && includedSharedRecords.isEmpty()
        && endedJobs.isEmpty()
        && deletedKeys.isEmpty();
  }

  private boolean isFull(int moreWrites) {
    return writes() + moreWrites > maxWrites || estimatedBytes > MAX_BYTES;
  }

  private boolean hasRoomForConditions(int more) {
    return transaction.conditionCount() + includedSharedRecords.size() + more <= maxConditions;
  }

  /** Adds the ends of jobs whose tasks are all done for at least {@code ms}. */
  void addEnds(long ms) {
    for (Job job : schedulerState.jobsToComplete()) {
      if (isFull(job.spec.dependencies().isGated() ? GATED_END_WRITES : END_WRITES)
          || !hasRoomForConditions(END_CONDITIONS)) {
        return;
      }
      long least = ms > 0 && job.spec.priority() >= JobSpec.IDLE ? IDLE_END_DELAY_MS : ms;
      if (!endedJobs.contains(job) && now - job.allDoneMs() >= least) {
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
    endedJobs.add(job);
    estimatedBytes += END_BYTES;
    for (int i = 0; i < job.attemptRecordCount() && !isFull(1) && hasRoomForConditions(1); i++) {
      AttemptRecord c = job.attemptRecord(i);
      if (c.version > 0 && included.add(c)) {
        delete(c);
      }
    }
  }

  private void delete(AttemptRecord c) {
    transaction
        .requireVersion(RecordKeys.attemptRecord(c), c.version)
        .delete(RecordKeys.attemptRecord(c));
    writtenRecords.add(new WrittenRecord(c, c.changeCount, true, List.of(), null));
    estimatedBytes += KEY_BYTES;
  }

  /**
   * Adds starts, for which somebody waits. Those of idle jobs come after the others: hundreds of
   * them may be placed in a second, and in one queue with them urgent work waited for its records
   * for 8 s. A quarter of the writes is theirs even so, or they would starve while there is other
   * work.
   */
  void addStarts() {
    int idle = 0;
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      idle += isIdle(c) ? 1 : 0;
    }
    addStarts(false, Math.min(idle, maxWrites / IDLE_START_FRACTION));
    addStarts(true, 0);
    addStarts(false, 0);
  }

  private void addStarts(boolean idle, int reservedWrites) {
    for (AttemptRecord c : schedulerState.urgentRecords()) {
      if (isFull(1 + reservedWrites)) {
        return;
      }
      if (isIdle(c) == idle) {
        add(c);
      }
    }
  }

  private static boolean isIdle(AttemptRecord c) {
    return c.job.spec.priority() >= JobSpec.IDLE;
  }

  /**
   * Adds what changed at least {@code ms} ago, and deletions of obsolete records.
   *
   * @param spare writes that it may take
   */
  void addDeferred(long ms, int spare, Object2LongLinkedOpenHashMap<String> obsoleteRecords) {
    int most = writes() + spare;
    for (AttemptRecord c : schedulerState.dirtyRecords()) {
      if (isFull(1) || writes() >= most) {
        return;
      }
      if (now - c.dirtySinceMs >= ms || (c.job.isFinished() && c.version == 0)) {
        add(c);
      }
    }
    for (SharedAttemptRecord r : schedulerState.sharedAttemptRecords().records()) {
      if (isFull(1) || writes() >= most) {
        return;
      }
      if (r.needsWrite()) {
        addShared(r);
      }
    }
    for (Object2LongMap.Entry<String> e : obsoleteRecords.object2LongEntrySet()) {
      if (isFull(1) || writes() >= most || !hasRoomForConditions(1)) {
        return;
      }
      transaction.requireVersion(e.getKey(), e.getLongValue()).delete(e.getKey());
      deletedKeys.add(e.getKey());
      estimatedBytes += KEY_BYTES;
    }
  }

  private void add(AttemptRecord c) {
    if (schedulerState.jobsToComplete().contains(c.job) || included.contains(c)) {
      return;
    }
    if (c.isFinished()) {
      addFinished(c);
    } else if (schedulerState.sharedAttemptRecords().assignRecord(c)) {
      addShared(c.sharedRecord);
    } else if (hasRoomForConditions(RECORD_CONDITIONS + MAX_START_CONDITIONS)) {
      addOwn(c);
    }
  }

  private void addFinished(AttemptRecord c) {
    if (!hasRoomForConditions(1)) {
      return;
    }
    included.add(c);
    if (c.version > 0) {
      delete(c);
    } else {
      writtenRecords.add(new WrittenRecord(c, c.changeCount, true, List.of(), null));
    }
  }

  private void addOwn(AttemptRecord c) {
    List<Attempt> starts = uncommittedStarts(c);
    if (!starts.isEmpty()
        && c.job.spec.dependencies().isGated()
        && !jobsWithStartConditions.contains(c.job)) {
      if (isFull(2)) {
        return; // Its release changes with the first start: the next transaction has room.
      }
      startConditions.addTo(c.job, transaction);
      jobsWithStartConditions.add(c.job);
    }
    included.add(c);
    c.mayHaveOwnRecord = true;
    if (!c.job.isCancelled() && !c.job.isEnded()) {
      // The job must still be open when a start is recorded.
      transaction.requireVersion(RecordKeys.openJob(c.job.spec.id()), c.job.version);
    }
    ObjectNode value = AttemptRecordCodec.encode(c, zones);
    transaction
        .requireVersion(RecordKeys.attemptRecord(c), c.version)
        .put(RecordKeys.attemptRecord(c), value);
    writtenRecords.add(new WrittenRecord(c, c.changeCount, false, starts, value));
    estimatedBytes += Json.toText(value).length() + KEY_BYTES;
  }

  private static List<Attempt> uncommittedStarts(AttemptRecord c) {
    List<Attempt> starts = new ArrayList<>();
    for (int t = c.firstTask(); t < c.endTask(); t++) {
      Attempt a = c.job.liveAttempt(t);
      if (a != null && a.phase == Attempt.Phase.RECORDING) {
        starts.add(a);
      }
    }
    return starts;
  }

  /**
   * The record is written as a whole, so each of its members is: one whose start is to be recorded
   * with its job's open record as a condition.
   */
  private void addShared(SharedAttemptRecord r) {
    int conditions = 1;
    for (AttemptRecord c : r.members()) {
      conditions += !included.contains(c) && c.uncommittedStarts() > 0 ? 1 : 0;
    }
    if (!hasRoomForConditions(conditions) || (!includedSharedRecords.contains(r) && isFull(1))) {
      return;
    }
    includedSharedRecords.add(r);
    for (AttemptRecord c : r.members()) {
      if (!included.add(c)) {
        continue;
      }
      List<Attempt> starts = uncommittedStarts(c);
      if (!starts.isEmpty()) {
        transaction.requireVersion(RecordKeys.openJob(c.job.spec.id()), c.job.version);
      }
      estimatedBytes += KEY_BYTES + SharedAttemptRecords.reservedBytes(c);
      if (!schedulerState.jobsToComplete().contains(c.job)) {
        sharedMembers.add(new WrittenRecord(c, c.changeCount, c.isFinished(), starts, null));
      }
    }
  }

  /** Encodes the shared records: nothing can be added from then on. */
  void finish() {
    for (SharedAttemptRecord r : includedSharedRecords) {
      // One that joined when there was no room for its conditions is written with the next one.
      List<AttemptRecord> remaining =
          r.members().stream().filter(c -> included.contains(c) && !c.isFinished()).toList();
      List<WrittenRecord> written =
          sharedMembers.stream().filter(w -> w.record().sharedRecord == r).toList();
      transaction.requireVersion(RecordKeys.sharedAttemptRecord(r), r.version);
      if (!remaining.isEmpty()) {
        JsonNode value = AttemptRecordCodec.encodeShared(remaining, zones);
        transaction.put(RecordKeys.sharedAttemptRecord(r), value);
        writtenSharedRecords.add(new WrittenSharedRecord(r, value, written));
      } else {
        if (r.version > 0) {
          transaction.delete(RecordKeys.sharedAttemptRecord(r));
        }
        writtenSharedRecords.add(new WrittenSharedRecord(r, null, written));
      }
    }
  }
}
