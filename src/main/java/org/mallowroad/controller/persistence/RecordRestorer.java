package org.mallowroad.controller.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.RecordedAttempt;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores records into the scheduler state. An unreadable record is logged and skipped without
 * affecting the others. Confined to the event loop.
 */
final class RecordRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(RecordRestorer.class);

  private final EventLoop loop;
  private final RecordDecodingContext decodingContext;
  private final SchedulerState schedulerState;

  RecordRestorer(
      EventLoop loop, RecordDecodingContext decodingContext, SchedulerState schedulerState) {
    this.loop = loop;
    this.decodingContext = decodingContext;
    this.schedulerState = schedulerState;
  }

  /** Restores a job from its open record; returns null if the record cannot be used. */
  Job restoreOpenJob(VersionedValue openRecord) {
    try {
      JobSpec spec = JobRecordCodec.decodeOpen(openRecord.value(), decodingContext.jobCodec());
      if (spec.team() < 0) {
        LOG.error("event=team_unknown job={}", spec.id());
        return null;
      }
      long ageMs = loop.wallMs() - spec.submittedMs();
      return schedulerState.accept(spec, openRecord.version(), ageMs, loop.now());
    } catch (InvalidMessageException e) {
      logUnreadable(openRecord, e);
      return null;
    }
  }

  /**
   * Restores a cancelled job from the open record stored in its end record, because attempts of the
   * job may still be on machines.
   */
  void restoreCancelledJob(VersionedValue endRecord) {
    try {
      JsonNode openRecord = JobRecordCodec.openRecordOf(endRecord.value());
      JobSpec spec = JobRecordCodec.decodeOpen(openRecord, decodingContext.jobCodec());
      if (spec.team() >= 0) {
        schedulerState.cancel(schedulerState.accept(spec, 0, 0, loop.now()), loop.now());
      }
    } catch (InvalidMessageException e) {
      logUnreadable(endRecord, e);
    }
  }

  private static void logUnreadable(VersionedValue storedRecord, InvalidMessageException e) {
    LOG.error("event=record_unreadable key={} reason=\"{}\"", storedRecord.key(), e.getMessage());
  }

  /**
   * Restores an attempt record that belongs to a single job; a record of an unknown job is skipped.
   */
  void restoreAttempts(VersionedValue attemptRecord) {
    Job job = schedulerState.job(RecordKeys.jobOfAttemptRecordKey(attemptRecord.key()));
    if (job == null) {
      return;
    }
    int index = RecordKeys.indexOfAttemptRecordKey(attemptRecord.key());
    if (index < job.attemptRecordCount()) {
      restoreAttemptRecord(
          job.attemptRecord(index),
          attemptRecord.version(),
          attemptRecord.value(),
          attemptRecord.key());
    }
  }

  /**
   * Restores a shared attempt record. Completed jobs remain listed in it until it is next written;
   * they are skipped.
   */
  void restoreSharedAttempts(VersionedValue sharedRecord) {
    SharedAttemptRecord restoredRecord =
        schedulerState
            .sharedAttemptRecords()
            .restore(
                RecordKeys.nameOfSharedAttemptRecordKey(sharedRecord.key()),
                sharedRecord.version());
    for (Map.Entry<String, JsonNode> member :
        AttemptRecordCodec.membersOfShared(sharedRecord.value())) {
      Job job = schedulerState.job(member.getKey());
      if (job != null && job.attemptRecordCount() == 1) {
        schedulerState.sharedAttemptRecords().restoreMember(restoredRecord, job.attemptRecord(0));
        restoreAttemptRecord(job.attemptRecord(0), 0, member.getValue(), sharedRecord.key());
      }
    }
  }

  private void restoreAttemptRecord(
      AttemptRecord record, long version, JsonNode value, String key) {
    Job job = record.job;
    schedulerState.restoreRecord(
        record,
        version,
        AttemptRecordCodec.doneTasks(value),
        AttemptRecordCodec.highestAttemptNumber(value));
    for (RecordedAttempt attempt : AttemptRecordCodec.unresolvedAttempts(value)) {
      MachineType type = decodingContext.machineType(attempt.type());
      int zone = decodingContext.zones().find(attempt.zone());
      if (type == null || zone < 0) {
        LOG.error("event=record_unreadable key={} machine={}", key, attempt.machine());
        continue;
      }
      Machine machine =
          schedulerState.registerMachine(attempt.machine(), type, zone, attempt.spot(), loop.now());
      schedulerState.restoreAttempt(
          job, attempt.task(), attempt.number(), machine, attempt.incarnation(), loop.now());
    }
    if (job.isCancelled()) {
      schedulerState.markForRewrite(record, loop.now());
    }
  }
}
