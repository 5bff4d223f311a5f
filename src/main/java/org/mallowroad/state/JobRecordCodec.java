package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mallowroad.core.JobSpec;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/**
 * Encodes and decodes a job's open record, written when the job is accepted, and its end record,
 * which replaces the open record. Neither record is modified once written.
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
    ObjectNode recordNode = Json.object();
    recordNode.put(SUBMITTED_AT, nowMs);
    recordNode.set(JOB, JobCodec.copyKnownFields(submission));
    return recordNode;
  }

  /**
   * Decodes the job of an open record.
   *
   * @throws InvalidMessageException if the job is missing or malformed
   */
  public static JobSpec decodeOpen(JsonNode openRecord, JobCodec codec)
      throws InvalidMessageException {
    JsonNode job = openRecord == null ? null : openRecord.get(JOB);
    if (job == null || !job.isObject()) {
      throw new InvalidMessageException("job: an object is required");
    }
    return codec.decode(job, openRecord.path(SUBMITTED_AT).asLong());
  }

  /** Encodes the end record of a job whose tasks have all completed. */
  public static ObjectNode encodeDone(int tasks) {
    ObjectNode recordNode = Json.object();
    recordNode.put(END, Fields.DONE);
    recordNode.put(TASKS, tasks);
    return recordNode;
  }

  /**
   * Encodes the end record of a cancelled job. It includes the open record, because tasks may still
   * be running on machines.
   */
  public static ObjectNode encodeCancelled(JsonNode openRecord) {
    ObjectNode recordNode = Json.object();
    recordNode.put(END, Fields.CANCELLED);
    recordNode.set(OPEN_RECORD, openRecord);
    return recordNode;
  }

  /** Returns true if the job of an end record completed, false if it was cancelled. */
  public static boolean isDone(JsonNode endRecord) {
    return endRecord.path(END).asText().equals(Fields.DONE);
  }

  /** Returns the open record in the end record of a cancelled job; null for a completed job. */
  public static JsonNode openRecordOf(JsonNode endRecord) {
    return endRecord.get(OPEN_RECORD);
  }
}
