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

/** Serves requests to cancel jobs; the response is sent after the end record is committed. */
final class CancelRequests {
  private static final int MAX_RETRIES = 2;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final JobLookup lookup;
  private final RateLimiter writeLimiter;

  CancelRequests(EventLoop loop, KeyValueStore state, JobLookup lookup, RateLimiter writeLimiter) {
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.writeLimiter = writeLimiter;
  }

  /** Serves POST /v1/jobs/{id}/withdraw. */
  void cancel(Responder responder, String id) {
    cancel(responder, id, 0);
  }

  private void cancel(Responder responder, String id, int retries) {
    lookup.readRecords(
        id,
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode openRecord, long version) {
            commit(responder, id, openRecord, version, retries);
          }

          @Override
          public void onEnded(boolean done) {
            responder.respond(200, JobLookup.endedJobBody(id, done), false);
          }

          @Override
          public void onAbsent() {
            responder.respond(404, JsonResponses.errorBody("no such job"), false);
          }

          @Override
          public void onUnavailable() {
            JobLookup.respondUnavailable(responder);
          }
        });
  }

  private void commit(
      Responder responder, String id, JsonNode openRecord, long version, int retries) {
    Transaction transaction =
        new Transaction()
            .requireVersion(RecordKeys.openJob(id), version)
            .requireVersion(RecordKeys.endedJob(id), 0)
            .put(RecordKeys.endedJob(id), JobRecordCodec.encodeCancelled(openRecord))
            .delete(RecordKeys.openJob(id));
    if (openRecord.path("job").has(DependencyCodec.DEPENDENCIES)) {
      transaction.delete(RecordKeys.dependencies(id)).delete(RecordKeys.release(id));
    }
    writeLimiter.forceAcquire(transaction.writeCount(), loop.now());
    // The transaction is sent again if the response is late. If an earlier copy was applied, a
    // later one fails on its conditions; the retry below then reads the job again and finds it
    // cancelled.
    state.compareAndSwapWithRetry(
        transaction,
        () -> writeLimiter.forceAcquire(transaction.writeCount(), loop.now()),
        (result, revision, failedConditions) -> {
          if (result == CallResult.OK) {
            lookup.cacheOutcome(id, false);
            responder.respond(200, JobLookup.endedJobBody(id, false), false);
          } else if (result == CallResult.CONDITION_FAILED && retries < MAX_RETRIES) {
            cancel(responder, id, retries + 1);
          } else {
            JobLookup.respondUnavailable(responder);
          }
        });
  }
}
