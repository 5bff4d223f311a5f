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
 * Builds one transaction of a leader from the unrecorded changes of the scheduler state. The
 * transaction never exceeds its limits on writes, conditions and bytes.
 *
 * <p>Confined to the event loop. Each instance builds one transaction.
 */
final class CommitTransactionBuilder {
  /**
   * Estimated size in bytes above which nothing more is added. The state service accepts 64 KiB.
   */
  private static final int MAX_ESTIMATED_BYTES = 48 * 1024;

  /**
   * How long the ends of idle jobs yield to starts, in milliseconds, because hundreds of them may
   * come within a minute.
   */
  private static final long IDLE_END_DELAY_MS = 12_000;

  /** Estimated size of a key and its condition, in bytes. */
  private static final int ESTIMATED_KEY_BYTES = 200;

  /** Estimated size of an end record with its keys, in bytes. */
  private static final int ESTIMATED_END_BYTES = 400;

  /** Number of writes of a job's end: the end record and the deletion of the open record. */
  private static final int END_WRITES = 2;

  /** Number of writes of a gated job's end, which also deletes its dependencies and its release. */
  private static final int GATED_END_WRITES = 4;

  private static final int END_CONDITIONS = 2;

  /** Number of conditions of an attempt record: its own version and the job's open record. */
  private static final int RECORD_CONDITIONS = 2;

  /**
   * Maximum number of conditions that the start of a gated job adds to those of its attempt record.
   */
  private static final int MAX_START_CONDITIONS = 8;

  /** One in this many writes is reserved for starts of idle jobs. */
  private static final int IDLE_START_WRITE_DIVISOR = 4;

  /**
   * An attempt record in the transaction.
   *
   * @param changeCount the record's change count at the time of encoding
   * @param starts the attempts whose starts this transaction records for the first time
   * @param value the encoded record; null if the record is deleted or is part of a shared record
   */
  record WrittenRecord(
      AttemptRecord record,
      long changeCount,
      boolean isDeleted,
      List<Attempt> starts,
      JsonNode value) {}

  /**
   * A shared attempt record in the transaction.
   *
   * @param value the encoded record; null if it is deleted
   */
  record WrittenSharedRecord(
      SharedAttemptRecord record, JsonNode value, List<WrittenRecord> members) {}

  /** Adds the conditions for the start of a gated job to the transaction. */
  interface StartConditions {
    /** Adds conditions and at most one write. */
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
  private final ObjectOpenHashSet<AttemptRecord> includedRecords = new ObjectOpenHashSet<>();
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

  /** Returns the transaction; complete only after {@link #encodeSharedRecords}. */
  Transaction transaction() {
    return transaction;
  }

  /** Returns the attempt records of single jobs in the transaction. */
  List<WrittenRecord> writtenRecords() {
    return writtenRecords;
  }

  /** Returns the shared attempt records in the transaction. */
  List<WrittenSharedRecord> writtenSharedRecords() {
    return writtenSharedRecords;
  }

  /** Returns the jobs whose ends the transaction records. */
  List<Job> endedJobs() {
    return endedJobs;
  }

  /** Returns the keys of the obsolete records that the transaction deletes. */
  List<String> deletedKeys() {
    return deletedKeys;
  }

  /** Returns the gated jobs whose starts, with their conditions, are in the transaction. */
  ObjectOpenHashSet<Job> jobsWithStartConditions() {
    return jobsWithStartConditions;
  }

  /** Returns the number of puts and deletes, including those of shared records not encoded yet. */
  int writeCount() {
    return transaction.writeCount()
        + (writtenSharedRecords.isEmpty() ? includedSharedRecords.size() : 0);
  }

  /** Returns whether there is nothing to record. */
  boolean isEmpty() {
    return writtenRecords.isEmpty()
        && sharedMembers.isEmpty()
        && includedSharedRecords.isEmpty()
        && endedJobs.isEmpty()
        && deletedKeys.isEmpty();
  }

  private boolean isFull(int additionalWrites) {
    return writeCount() + additionalWrites > maxWrites || estimatedBytes > MAX_ESTIMATED_BYTES;
  }

  private boolean hasRoomForConditions(int additionalConditions) {
    return transaction.conditionCount() + includedSharedRecords.size() + additionalConditions
        <= maxConditions;
  }

  /**
   * Adds the ends of jobs whose tasks completed at least {@code minAgeMs} ago; those of idle jobs
   * yield to starts for longer.
   */
  void addEnds(long minAgeMs) {
    for (Job job : schedulerState.jobsToComplete()) {
      if (isFull(job.spec.dependencies().isGated() ? GATED_END_WRITES : END_WRITES)
          || !hasRoomForConditions(END_CONDITIONS)) {
        return;
      }
      long jobMinAgeMs =
          minAgeMs > 0 && job.spec.priority() >= JobSpec.IDLE ? IDLE_END_DELAY_MS : minAgeMs;
      if (!endedJobs.contains(job) && now - job.allDoneMs() >= jobMinAgeMs) {
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
    estimatedBytes += ESTIMATED_END_BYTES;
    for (int i = 0; i < job.attemptRecordCount() && !isFull(1) && hasRoomForConditions(1); i++) {
      AttemptRecord attemptRecord = job.attemptRecord(i);
      if (attemptRecord.version > 0 && includedRecords.add(attemptRecord)) {
        deleteRecord(attemptRecord);
      }
    }
  }

  private void deleteRecord(AttemptRecord attemptRecord) {
    transaction
        .requireVersion(RecordKeys.attemptRecord(attemptRecord), attemptRecord.version)
        .delete(RecordKeys.attemptRecord(attemptRecord));
    writtenRecords.add(
        new WrittenRecord(attemptRecord, attemptRecord.changeCount, true, List.of(), null));
    estimatedBytes += ESTIMATED_KEY_BYTES;
  }

  /**
   * Adds starts of tasks, whose launches wait for the commit. Starts of idle jobs follow the
   * others: hundreds of them may be placed within a second, and when all starts shared one queue,
   * urgent tasks waited 8 s for their records. A quarter of the writes is still reserved for idle
   * jobs, which would otherwise starve while there is other work.
   */
  void addStarts() {
    int idleStarts = 0;
    for (AttemptRecord attemptRecord : schedulerState.urgentRecords()) {
      idleStarts += isIdle(attemptRecord) ? 1 : 0;
    }
    addStarts(false, Math.min(idleStarts, maxWrites / IDLE_START_WRITE_DIVISOR));
    addStarts(true, 0);
    addStarts(false, 0);
  }

  private void addStarts(boolean ofIdleJobs, int reservedWrites) {
    for (AttemptRecord attemptRecord : schedulerState.urgentRecords()) {
      if (isFull(1 + reservedWrites)) {
        return;
      }
      if (isIdle(attemptRecord) == ofIdleJobs) {
        addRecord(attemptRecord);
      }
    }
  }

  private static boolean isIdle(AttemptRecord attemptRecord) {
    return attemptRecord.job.spec.priority() >= JobSpec.IDLE;
  }

  /**
   * Adds attempt records that changed at least {@code minAgeMs} ago, shared records that need a
   * write, and deletions of obsolete records.
   *
   * @param spareWrites maximum number of writes to add
   */
  void addDeferred(
      long minAgeMs, int spareWrites, Object2LongLinkedOpenHashMap<String> obsoleteRecords) {
    int maxWriteCount = writeCount() + spareWrites;
    for (AttemptRecord attemptRecord : schedulerState.dirtyRecords()) {
      if (isFull(1) || writeCount() >= maxWriteCount) {
        return;
      }
      if (now - attemptRecord.dirtySinceMs >= minAgeMs
          || (attemptRecord.job.isFinished() && attemptRecord.version == 0)) {
        addRecord(attemptRecord);
      }
    }
    for (SharedAttemptRecord sharedRecord : schedulerState.sharedAttemptRecords().records()) {
      if (isFull(1) || writeCount() >= maxWriteCount) {
        return;
      }
      if (sharedRecord.needsWrite()) {
        addSharedRecord(sharedRecord);
      }
    }
    for (Object2LongMap.Entry<String> obsoleteRecord : obsoleteRecords.object2LongEntrySet()) {
      if (isFull(1) || writeCount() >= maxWriteCount || !hasRoomForConditions(1)) {
        return;
      }
      transaction
          .requireVersion(obsoleteRecord.getKey(), obsoleteRecord.getLongValue())
          .delete(obsoleteRecord.getKey());
      deletedKeys.add(obsoleteRecord.getKey());
      estimatedBytes += ESTIMATED_KEY_BYTES;
    }
  }

  private void addRecord(AttemptRecord attemptRecord) {
    if (schedulerState.jobsToComplete().contains(attemptRecord.job)
        || includedRecords.contains(attemptRecord)) {
      return;
    }
    if (attemptRecord.isFinished()) {
      addFinishedRecord(attemptRecord);
    } else if (schedulerState.sharedAttemptRecords().assignRecord(attemptRecord)) {
      addSharedRecord(attemptRecord.sharedRecord);
    } else if (hasRoomForConditions(RECORD_CONDITIONS + MAX_START_CONDITIONS)) {
      addOwnRecord(attemptRecord);
    }
  }

  private void addFinishedRecord(AttemptRecord attemptRecord) {
    if (!hasRoomForConditions(1)) {
      return;
    }
    includedRecords.add(attemptRecord);
    if (attemptRecord.version > 0) {
      deleteRecord(attemptRecord);
    } else {
      writtenRecords.add(
          new WrittenRecord(attemptRecord, attemptRecord.changeCount, true, List.of(), null));
    }
  }

  private void addOwnRecord(AttemptRecord attemptRecord) {
    List<Attempt> starts = uncommittedStarts(attemptRecord);
    if (!starts.isEmpty()
        && attemptRecord.job.spec.dependencies().isGated()
        && !jobsWithStartConditions.contains(attemptRecord.job)) {
      if (isFull(2)) {
        // The first start also writes the job's release record; the next transaction has room.
        return;
      }
      startConditions.addTo(attemptRecord.job, transaction);
      jobsWithStartConditions.add(attemptRecord.job);
    }
    includedRecords.add(attemptRecord);
    attemptRecord.mayHaveOwnRecord = true;
    if (!attemptRecord.job.isCancelled() && !attemptRecord.job.isEnded()) {
      // The job must still be open when a start is recorded.
      transaction.requireVersion(
          RecordKeys.openJob(attemptRecord.job.spec.id()), attemptRecord.job.version);
    }
    ObjectNode value = AttemptRecordCodec.encode(attemptRecord, zones);
    transaction
        .requireVersion(RecordKeys.attemptRecord(attemptRecord), attemptRecord.version)
        .put(RecordKeys.attemptRecord(attemptRecord), value);
    writtenRecords.add(
        new WrittenRecord(attemptRecord, attemptRecord.changeCount, false, starts, value));
    estimatedBytes += Json.toText(value).length() + ESTIMATED_KEY_BYTES;
  }

  private static List<Attempt> uncommittedStarts(AttemptRecord attemptRecord) {
    List<Attempt> starts = new ArrayList<>();
    for (int task = attemptRecord.firstTask(); task < attemptRecord.endTask(); task++) {
      Attempt attempt = attemptRecord.job.liveAttempt(task);
      if (attempt != null && attempt.phase == Attempt.Phase.RECORDING) {
        starts.add(attempt);
      }
    }
    return starts;
  }

  /**
   * Adds a shared record, which is always written with all of its members. Each member whose start
   * is not recorded yet adds its job's open record as a condition.
   */
  private void addSharedRecord(SharedAttemptRecord sharedRecord) {
    int conditions = 1;
    for (AttemptRecord attemptRecord : sharedRecord.members()) {
      conditions +=
          !includedRecords.contains(attemptRecord) && attemptRecord.uncommittedStarts() > 0 ? 1 : 0;
    }
    if (!hasRoomForConditions(conditions)
        || (!includedSharedRecords.contains(sharedRecord) && isFull(1))) {
      return;
    }
    includedSharedRecords.add(sharedRecord);
    for (AttemptRecord attemptRecord : sharedRecord.members()) {
      if (!includedRecords.add(attemptRecord)) {
        continue;
      }
      List<Attempt> starts = uncommittedStarts(attemptRecord);
      if (!starts.isEmpty()) {
        transaction.requireVersion(
            RecordKeys.openJob(attemptRecord.job.spec.id()), attemptRecord.job.version);
      }
      estimatedBytes += ESTIMATED_KEY_BYTES + SharedAttemptRecords.reservedBytes(attemptRecord);
      if (!schedulerState.jobsToComplete().contains(attemptRecord.job)) {
        sharedMembers.add(
            new WrittenRecord(
                attemptRecord,
                attemptRecord.changeCount,
                attemptRecord.isFinished(),
                starts,
                null));
      }
    }
  }

  /** Encodes the shared records. Nothing can be added to the transaction afterwards. */
  void encodeSharedRecords() {
    for (SharedAttemptRecord sharedRecord : includedSharedRecords) {
      // A member that joined when there was no room for its condition is written by the next
      // transaction.
      List<AttemptRecord> remaining =
          sharedRecord.members().stream()
              .filter(
                  attemptRecord ->
                      includedRecords.contains(attemptRecord) && !attemptRecord.isFinished())
              .toList();
      List<WrittenRecord> written =
          sharedMembers.stream()
              .filter(member -> member.record().sharedRecord == sharedRecord)
              .toList();
      transaction.requireVersion(
          RecordKeys.sharedAttemptRecord(sharedRecord), sharedRecord.version);
      if (!remaining.isEmpty()) {
        JsonNode value = AttemptRecordCodec.encodeShared(remaining, zones);
        transaction.put(RecordKeys.sharedAttemptRecord(sharedRecord), value);
        writtenSharedRecords.add(new WrittenSharedRecord(sharedRecord, value, written));
      } else {
        if (sharedRecord.version > 0) {
          transaction.delete(RecordKeys.sharedAttemptRecord(sharedRecord));
        }
        writtenSharedRecords.add(new WrittenSharedRecord(sharedRecord, null, written));
      }
    }
  }
}
