package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import org.mallowroad.api.claim.JobRecordReader;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.DependencyCodec;

/** Serves requests to cancel a job; each is answered after the end record is committed. */
final class CancelRequests {
  private static final int MAX_RETRIES = 2;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final JobLookup lookup;
  private final RateLimiter writes;

  CancelRequests(EventLoop loop, KeyValueStore state, JobLookup lookup, RateLimiter writes) {
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.writes = writes;
  }

  /** Serves POST /v1/jobs/{id}/withdraw. */
  void cancel(Responder x, String id) {
    cancel(x, id, 0);
  }

  private void cancel(Responder x, String id, int retries) {
    lookup.read(
        id,
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode value, long version) {
            commit(x, id, value, version, retries);
          }

          @Override
          public void onEnded(boolean done) {
            x.respond(200, JobLookup.status(id, done), false);
          }

          @Override
          public void onAbsent() {
            x.respond(404, JsonResponses.errorBody("no such job"), false);
          }

          @Override
          public void onUnavailable() {
            JobLookup.answerUnavailable(x);
          }
        });
  }

  private void commit(Responder x, String id, JsonNode value, long version, int retries) {
    Transaction transaction =
        new Transaction()
            .requireVersion(RecordKeys.openJob(id), version)
            .requireVersion(RecordKeys.endedJob(id), 0)
            .put(RecordKeys.endedJob(id), JobRecordCodec.encodeCancelled(value))
            .delete(RecordKeys.openJob(id));
    if (value.path("job").has(DependencyCodec.DEPENDENCIES)) {
      transaction.delete(RecordKeys.dependencies(id)).delete(RecordKeys.release(id));
    }
    writes.forceAcquire(transaction.writeCount(), loop.now());
    // Sent twice when an answer is late; if one of the two fails, its failed conditions are read as
    // the outcome.
    state.compareAndSwapWithRetry(
        transaction,
        () -> writes.forceAcquire(transaction.writeCount(), loop.now()),
        (result, revision, failed) -> {
          if (result == CallResult.OK) {
            lookup.ended(id, false);
            x.respond(200, JobLookup.status(id, false), false);
          } else if (result == CallResult.CONDITION_FAILED && retries < MAX_RETRIES) {
            cancel(x, id, retries + 1);
          } else {
            JobLookup.answerUnavailable(x);
          }
        });
  }
}
