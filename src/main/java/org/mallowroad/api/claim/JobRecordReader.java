package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;

/** Reads a job's open and end records. */
public final class JobRecordReader {
  private final KeyValueStore state;

  /** Receives the state of a job; exactly one method is called, once. */
  public interface Listener {
    /** The job is open; the arguments are the value and version of its open record. */
    void onOpen(JsonNode openRecord, long version);

    /** The job has ended: it is done, or else it was cancelled. */
    void onEnded(boolean done);

    /** There is no such job. */
    void onAbsent();

    /** The state service did not answer. */
    void onUnavailable();
  }

  /** Creates a reader for this state service. */
  public JobRecordReader(KeyValueStore state) {
    this.state = state;
  }

  /**
   * Reads the open record, then, if there is none, the end record. The transaction that writes the
   * end record deletes the open record, so reading in this order never misses a job.
   */
  public void read(String id, Listener listener) {
    state.get(
        RecordKeys.openJob(id),
        (result, openItem) -> {
          if (result != CallResult.OK) {
            listener.onUnavailable();
          } else if (openItem.value() != null) {
            listener.onOpen(openItem.value(), openItem.version());
          } else {
            readEnd(id, listener);
          }
        });
  }

  /** Reads only the end record. */
  public void readEnd(String id, Listener listener) {
    state.get(
        RecordKeys.endedJob(id),
        (result, endItem) -> {
          if (result != CallResult.OK) {
            listener.onUnavailable();
          } else if (endItem.value() == null) {
            listener.onAbsent();
          } else {
            listener.onEnded(JobRecordCodec.isDone(endItem.value()));
          }
        });
  }
}
