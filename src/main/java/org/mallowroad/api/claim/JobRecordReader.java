package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;

/** Reads a job's open and end records. */
public final class JobRecordReader {
  private final KeyValueStore state;

  /** What a job's records say; one method is called, once. */
  public interface Listener {
    /** The job is open: the value and version of its open record. */
    void onOpen(JsonNode value, long version);

    /** The job is over: done, or else cancelled. */
    void onEnded(boolean done);

    /** There is no such job. */
    void onAbsent();

    /** The state service did not answer. */
    void onUnavailable();
  }

  /** Reads from the state service. */
  public JobRecordReader(KeyValueStore state) {
    this.state = state;
  }

  /**
   * Reads the open record, then the end record. A transaction that writes the second deletes the
   * first, so in this order a job is never missed.
   */
  public void read(String id, Listener listener) {
    state.get(
        RecordKeys.openJob(id),
        (result, open) -> {
          if (result != CallResult.OK) {
            listener.onUnavailable();
          } else if (open.value() != null) {
            listener.onOpen(open.value(), open.version());
          } else {
            readEnd(id, listener);
          }
        });
  }

  /** Reads the end record alone. */
  public void readEnd(String id, Listener listener) {
    state.get(
        RecordKeys.endedJob(id),
        (result, end) -> {
          if (result != CallResult.OK) {
            listener.onUnavailable();
          } else if (end.value() == null) {
            listener.onAbsent();
          } else {
            listener.onEnded(JobRecordCodec.isDone(end.value()));
          }
        });
  }
}
