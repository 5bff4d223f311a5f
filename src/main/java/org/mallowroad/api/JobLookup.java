package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2BooleanLinkedOpenHashMap;
import java.util.function.Consumer;
import org.mallowroad.api.claim.JobRecordReader;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * Looks up the state of jobs. The outcome of an ended job never changes, so it may come from this
 * node's cache; anything else is read from the state service for each lookup. Therefore no answer
 * is older than an answer that any node has given before.
 */
final class JobLookup {
  private final ReadQueue readQueue;
  private final OpenJobs openJobs;
  private final TaskCounts taskCounts;
  private final JobRecordReader recordReader;
  private final int maxCachedOutcomes;
  private Consumer<String> cancellationListener = id -> {};

  /** Whether an ended job is done (true) or was cancelled (false); final, so it may be cached. */
  private final Object2BooleanLinkedOpenHashMap<String> doneById =
      new Object2BooleanLinkedOpenHashMap<>();

  JobLookup(
      EventLoop loop,
      KeyValueStore state,
      ReadQueue readQueue,
      double readsPerSecond,
      UserApi.LocalJobs localJobs,
      int maxConditionsPerCall,
      int maxCachedOutcomes) {
    this.readQueue = readQueue;
    this.recordReader = new JobRecordReader(state);
    this.maxCachedOutcomes = maxCachedOutcomes;
    this.openJobs = new OpenJobs(state, readQueue, maxCachedOutcomes / 4, maxConditionsPerCall);
    this.taskCounts = new TaskCounts(loop, state, readQueue, readsPerSecond, localJobs);
  }

  /** Sets a listener that is called once for each cancellation that this node learns of. */
  void setCancellationListener(Consumer<String> listener) {
    cancellationListener = listener;
  }

  /** Caches the outcome of a job whose end record is committed. */
  void cacheOutcome(String id, boolean done) {
    openJobs.evict(id);
    boolean isNew = !doneById.containsKey(id);
    doneById.putAndMoveToLast(id, done);
    if (doneById.size() > maxCachedOutcomes) {
      doneById.removeFirstBoolean();
    }
    if (isNew && !done) {
      cancellationListener.accept(id);
    }
  }

  /** Caches a job that was read or written as open. */
  void cacheOpenJob(String id, long version) {
    openJobs.cacheOpen(id, version);
  }

  /** The number of ended jobs whose outcome is cached. */
  int cachedOutcomeCount() {
    return doneById.size();
  }

  /** The number of open jobs that are cached. */
  int cachedOpenJobCount() {
    return openJobs.size();
  }

  /** The cached outcome of an ended job, or null if none is cached. */
  JobOutcome cachedOutcome(String id) {
    if (!doneById.containsKey(id)) {
      return null;
    }
    return doneById.getBoolean(id) ? JobOutcome.DONE : JobOutcome.CANCELLED;
  }

  /**
   * Whether a lookup requested now would be answered soon enough for a submission to wait for it.
   */
  boolean canRespondPromptly() {
    return openJobs.canAnswerPromptly();
  }

  /**
   * Responds with 200 and the state of the job if it exists, or with 503 if the state service does
   * not answer.
   *
   * @param onAbsent run instead if there is no such job
   */
  void respondWithState(Responder responder, String id, Runnable onAbsent) {
    respondWithState(responder, id, onAbsent, () -> respondUnavailable(responder));
  }

  /**
   * Responds with 200 and the state of the job if it exists.
   *
   * @param onAbsent run instead if there is no such job
   * @param onUnavailable run instead if the state service does not answer
   */
  void respondWithState(Responder responder, String id, Runnable onAbsent, Runnable onUnavailable) {
    if (doneById.containsKey(id)) {
      responder.respond(200, endedJobBody(id, doneById.getBoolean(id)), false);
      return;
    }
    openJobs.lookUp(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN -> taskCounts.respond(responder, job);
            case ENDED -> respondWithOutcome(responder, id);
            case ABSENT -> onAbsent.run();
            default -> onUnavailable.run();
          }
        });
  }

  /** Responds with the outcome of a job that is known to have ended. */
  private void respondWithOutcome(Responder responder, String id) {
    JobRecordReader.Listener listener =
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode openRecord, long version) {
            respondUnavailable(responder); // Not called: only the end record is read.
          }

          @Override
          public void onEnded(boolean done) {
            responder.respond(200, endedJobBody(id, done), false);
          }

          @Override
          public void onAbsent() {
            respondUnavailable(
                responder); // The end record existed a moment ago: 404 would be wrong.
          }

          @Override
          public void onUnavailable() {
            respondUnavailable(responder);
          }
        };
    readQueue.acquire(1, () -> readEnd(id, listener), listener::onUnavailable);
  }

  /** Responds with 503, asking the client to retry, because the state service does not answer. */
  static void respondUnavailable(Responder responder) {
    responder.respond(503, JsonResponses.errorBody("state service not reached"), true);
  }

  /**
   * Reads a job's records. Whether the job exists is checked first by a batched lookup: otherwise
   * clients that keep cancelling jobs that were never accepted would use up all read calls.
   */
  void readRecords(String id, JobRecordReader.Listener listener) {
    if (doneById.containsKey(id)) {
      listener.onEnded(doneById.getBoolean(id));
      return;
    }
    openJobs.lookUp(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN ->
                readQueue.acquire(2, () -> readOpen(id, listener), listener::onUnavailable);
            case ENDED ->
                readQueue.acquire(1, () -> readEnd(id, listener), listener::onUnavailable);
            case ABSENT -> listener.onAbsent();
            default -> listener.onUnavailable();
          }
        });
  }

  private void readOpen(String id, JobRecordReader.Listener listener) {
    recordReader.read(
        id,
        new OutcomeCachingListener(id, listener) {
          @Override
          public void onOpen(JsonNode openRecord, long version) {
            readQueue.release(); // Returns the second of the two calls, which is not needed.
            super.onOpen(openRecord, version);
          }
        });
  }

  private void readEnd(String id, JobRecordReader.Listener listener) {
    recordReader.readEnd(id, new OutcomeCachingListener(id, listener));
  }

  /** Caches an outcome that was read, and passes the result to another listener. */
  private class OutcomeCachingListener implements JobRecordReader.Listener {
    private final String id;
    private final JobRecordReader.Listener delegate;

    OutcomeCachingListener(String id, JobRecordReader.Listener delegate) {
      this.id = id;
      this.delegate = delegate;
    }

    @Override
    public void onOpen(JsonNode openRecord, long version) {
      delegate.onOpen(openRecord, version);
    }

    @Override
    public void onEnded(boolean done) {
      cacheOutcome(id, done);
      delegate.onEnded(done);
    }

    @Override
    public void onAbsent() {
      delegate.onAbsent();
    }

    @Override
    public void onUnavailable() {
      delegate.onUnavailable();
    }
  }

  /** The response body for an ended job. */
  static ObjectNode endedJobBody(String id, boolean done) {
    ObjectNode body = Json.object();
    body.put(Fields.ID, id);
    body.put(Fields.STATE, done ? Fields.DONE : Fields.CANCELLED);
    return body;
  }
}
