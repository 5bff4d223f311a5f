package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.core.JobSpec;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/**
 * The open record of a job, written when it is accepted, and its end record, which replaces the
 * open one. Neither is ever changed.
 */
public final class JobRecordCodec {
  private static final String SUBMITTED_AT = "at";
  private static final String JOB = "job";
  private static final String END = "end";
  private static final String TASKS = "tasks";
  private static final String OPEN_RECORD = "open";

  private JobRecordCodec() {}

  /**
   * Encodes an open record.
   *
   * @param nowMs wall-clock time of the submission
   */
  public static ObjectNode encodeOpen(ObjectNode submission, long nowMs) {
    ObjectNode o = Json.object();
    o.put(SUBMITTED_AT, nowMs);
    o.set(JOB, JobCodec.copyKnownFields(submission));
    return o;
  }

  /**
   * Decodes the job of an open record.
   *
   * @throws InvalidMessageException if the record holds no job, or one that is malformed
   */
  public static JobSpec decodeOpen(JsonNode openRecord, JobCodec codec)
      throws InvalidMessageException {
    JsonNode job = openRecord == null ? null : openRecord.get(JOB);
    if (job == null || !job.isObject()) {
      throw new InvalidMessageException("job: a job is needed");
    }
    return codec.decode(job, openRecord.path(SUBMITTED_AT).asLong());
  }

  /** Encodes the end record of a job all of whose tasks are done. */
  public static ObjectNode encodeDone(int tasks) {
    ObjectNode o = Json.object();
    o.put(END, Fields.DONE);
    o.put(TASKS, tasks);
    return o;
  }

  /**
   * Encodes the end record of a job that was cancelled. It keeps the open record, since tasks may
   * still be on machines.
   */
  public static ObjectNode encodeCancelled(JsonNode openRecord) {
    ObjectNode o = Json.object();
    o.put(END, Fields.CANCELLED);
    o.set(OPEN_RECORD, openRecord);
    return o;
  }

  /** True if the job of an end record is done, false if it was cancelled. */
  public static boolean isDone(JsonNode endRecord) {
    return endRecord.path(END).asText().equals(Fields.DONE);
  }

  /** The open record that the end record of a cancelled job keeps; null for a job that is done. */
  public static JsonNode openRecordOf(JsonNode endRecord) {
    return endRecord.get(OPEN_RECORD);
  }
}
