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
 * Looks up the state of jobs: from the ends that this node remembers, since an end never changes,
 * else by a read that is made for the question. So no answer is older than one that any node has
 * given.
 */
final class JobLookup {
  private final ReadQueue readQueue;
  private final OpenJobs openJobs;
  private final TaskCounts taskCounts;
  private final JobRecordReader recordReader;
  private final int maxCachedOutcomes;
  private Consumer<String> onCancelled = id -> {};

  /** True for done, false for cancelled: final states never change, so they may be kept. */
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

  /** Sets the listener of cancellations, called once for each that this node learns of. */
  void onCancelled(Consumer<String> listener) {
    onCancelled = listener;
  }

  /** Remembers a job's end, which is committed. */
  void cacheOutcome(String id, boolean done) {
    openJobs.evict(id);
    boolean isNew = !doneById.containsKey(id);
    doneById.putAndMoveToLast(id, done);
    if (doneById.size() > maxCachedOutcomes) {
      doneById.removeFirstBoolean();
    }
    if (isNew && !done) {
      onCancelled.accept(id);
    }
  }

  /** Remembers a job that was read or written as open. */
  void cacheOpenJob(String id, long version) {
    openJobs.cacheOpen(id, version);
  }

  /** The number of jobs whose end is remembered. */
  int cachedOutcomeCount() {
    return doneById.size();
  }

  /** The number of open jobs that are remembered. */
  int cachedOpenJobCount() {
    return openJobs.size();
  }

  /** The outcome of a job that is remembered to be over, or null. */
  JobOutcome cachedOutcome(String id) {
    if (!doneById.containsKey(id)) {
      return null;
    }
    return doneById.getBoolean(id) ? JobOutcome.DONE : JobOutcome.CANCELLED;
  }

  /** Whether a lookup made now is answered so soon that a submission may wait for it. */
  boolean canRespondPromptly() {
    return openJobs.canAnswerPromptly();
  }

  /**
   * Answers 200 with the state of a job that exists, and 503 when the state service does not
   * answer.
   *
   * @param absent run instead when there is no such job
   */
  void respondWithState(Responder responder, String id, Runnable onAbsent) {
    respondWithState(responder, id, onAbsent, () -> respondUnavailable(responder));
  }

  /**
   * Answers 200 with the state of a job that exists.
   *
   * @param absent run instead when there is no such job
   * @param unavailable run instead when the state service does not answer
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

  /** Answers how a job ended that is known to be over. */
  private void respondWithOutcome(Responder responder, String id) {
    JobRecordReader.Listener listener =
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode value, long version) {
            respondUnavailable(responder); // The end record alone is read.
          }

          @Override
          public void onEnded(boolean done) {
            responder.respond(200, endedJobBody(id, done), false);
          }

          @Override
          public void onAbsent() {
            respondUnavailable(responder); // It was there a moment ago: a 404 would be wrong.
          }

          @Override
          public void onUnavailable() {
            respondUnavailable(responder);
          }
        };
    readQueue.acquire(1, () -> readEnd(id, listener), listener::onUnavailable);
  }

  /** Answers that the state service is not reached, and that the client may retry. */
  static void respondUnavailable(Responder responder) {
    responder.respond(503, JsonResponses.errorBody("state service not reached"), true);
  }

  /**
   * Reads a job's records. Whether there are any is asked together with other questions, since
   * users who go on cancelling jobs that were never accepted would take all calls otherwise.
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
          public void onOpen(JsonNode value, long version) {
            readQueue.release(); // One call was enough.
            super.onOpen(value, version);
          }
        });
  }

  private void readEnd(String id, JobRecordReader.Listener listener) {
    recordReader.readEnd(id, new OutcomeCachingListener(id, listener));
  }

  /** Remembers the end that was read, and hands the result on. */
  private class OutcomeCachingListener implements JobRecordReader.Listener {
    private final String id;
    private final JobRecordReader.Listener delegate;

    OutcomeCachingListener(String id, JobRecordReader.Listener delegate) {
      this.id = id;
      this.delegate = delegate;
    }

    @Override
    public void onOpen(JsonNode value, long version) {
      delegate.onOpen(value, version);
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

  /** The response body about a job that is over. */
  static ObjectNode endedJobBody(String id, boolean done) {
    ObjectNode body = Json.object();
    body.put(Fields.ID, id);
    body.put(Fields.STATE, done ? Fields.DONE : Fields.CANCELLED);
    return body;
  }
}
