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
  private final ReadQueue reads;
  private final OpenJobs openJobs;
  private final TaskCounts counts;
  private final JobRecordReader records;
  private final int maxRememberedEnds;
  private Consumer<String> onCancelled = id -> {};

  /** True for done, false for cancelled: final states never change, so they may be kept. */
  private final Object2BooleanLinkedOpenHashMap<String> ends =
      new Object2BooleanLinkedOpenHashMap<>();

  JobLookup(
      EventLoop loop,
      KeyValueStore state,
      ReadQueue reads,
      double burst,
      UserApi.LocalJobs jobs,
      int maxConditions,
      int maxRememberedEnds) {
    this.reads = reads;
    this.records = new JobRecordReader(state);
    this.maxRememberedEnds = maxRememberedEnds;
    this.openJobs = new OpenJobs(state, reads, maxRememberedEnds / 4, maxConditions);
    this.counts = new TaskCounts(loop, state, reads, burst, jobs);
  }

  /** Sets the listener of cancellations, called once for each that this node learns of. */
  void onCancelled(Consumer<String> listener) {
    onCancelled = listener;
  }

  /** Remembers a job's end, which is committed. */
  void ended(String id, boolean done) {
    openJobs.forget(id);
    boolean news = !ends.containsKey(id);
    ends.putAndMoveToLast(id, done);
    if (ends.size() > maxRememberedEnds) {
      ends.removeFirstBoolean();
    }
    if (news && !done) {
      onCancelled.accept(id);
    }
  }

  /** Remembers a job that was read or written as open. */
  void opened(String id, long version) {
    openJobs.seenOpen(id, version);
  }

  /** The number of jobs whose end is remembered. */
  int rememberedEnds() {
    return ends.size();
  }

  /** The number of open jobs that are remembered. */
  int rememberedOpenJobs() {
    return openJobs.size();
  }

  /** The outcome of a job that is remembered to be over, or null. */
  JobOutcome finalOutcome(String id) {
    if (!ends.containsKey(id)) {
      return null;
    }
    return ends.getBoolean(id) ? JobOutcome.DONE : JobOutcome.CANCELLED;
  }

  /** Whether a lookup made now is answered so soon that a submission may wait for it. */
  boolean answersPromptly() {
    return openJobs.answersPromptly();
  }

  /**
   * Answers 200 with the state of a job that exists, and 503 when the state service does not
   * answer.
   *
   * @param absent run instead when there is no such job
   */
  void answer(Responder x, String id, Runnable absent) {
    answer(x, id, absent, () -> answerUnavailable(x));
  }

  /**
   * Answers 200 with the state of a job that exists.
   *
   * @param absent run instead when there is no such job
   * @param unavailable run instead when the state service does not answer
   */
  void answer(Responder x, String id, Runnable absent, Runnable unavailable) {
    if (ends.containsKey(id)) {
      x.respond(200, status(id, ends.getBoolean(id)), false);
      return;
    }
    openJobs.ask(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN -> counts.answer(x, job);
            case OVER -> answerEnd(x, id);
            case ABSENT -> absent.run();
            default -> unavailable.run();
          }
        });
  }

  /** Answers how a job ended that is known to be over. */
  private void answerEnd(Responder x, String id) {
    JobRecordReader.Listener reader =
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode value, long version) {
            answerUnavailable(x); // The end record alone is read.
          }

          @Override
          public void onEnded(boolean done) {
            x.respond(200, status(id, done), false);
          }

          @Override
          public void onAbsent() {
            answerUnavailable(x); // It was there a moment ago: a 404 would be wrong.
          }

          @Override
          public void onUnavailable() {
            answerUnavailable(x);
          }
        };
    reads.acquire(1, () -> readEnd(id, reader), reader::onUnavailable);
  }

  /** Answers that the state service is not reached, and that the client may retry. */
  static void answerUnavailable(Responder x) {
    x.respond(503, JsonResponses.errorBody("state service not reached"), true);
  }

  /**
   * Reads a job's records. Whether there are any is asked together with other questions, since
   * users who go on cancelling jobs that were never accepted would take all calls otherwise.
   */
  void read(String id, JobRecordReader.Listener reader) {
    if (ends.containsKey(id)) {
      reader.onEnded(ends.getBoolean(id));
      return;
    }
    openJobs.ask(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN -> reads.acquire(2, () -> readOpen(id, reader), reader::onUnavailable);
            case OVER -> reads.acquire(1, () -> readEnd(id, reader), reader::onUnavailable);
            case ABSENT -> reader.onAbsent();
            default -> reader.onUnavailable();
          }
        });
  }

  private void readOpen(String id, JobRecordReader.Listener reader) {
    records.read(
        id,
        new EndRememberingListener(id, reader) {
          @Override
          public void onOpen(JsonNode value, long version) {
            reads.release(); // One call was enough.
            super.onOpen(value, version);
          }
        });
  }

  private void readEnd(String id, JobRecordReader.Listener reader) {
    records.readEnd(id, new EndRememberingListener(id, reader));
  }

  /** Remembers the end that was read, and hands the result on. */
  private class EndRememberingListener implements JobRecordReader.Listener {
    private final String id;
    private final JobRecordReader.Listener reader;

    EndRememberingListener(String id, JobRecordReader.Listener reader) {
      this.id = id;
      this.reader = reader;
    }

    @Override
    public void onOpen(JsonNode value, long version) {
      reader.onOpen(value, version);
    }

    @Override
    public void onEnded(boolean done) {
      ended(id, done);
      reader.onEnded(done);
    }

    @Override
    public void onAbsent() {
      reader.onAbsent();
    }

    @Override
    public void onUnavailable() {
      reader.onUnavailable();
    }
  }

  /** The response body about a job that is over. */
  static ObjectNode status(String id, boolean done) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, done ? Fields.DONE : Fields.CANCELLED);
    return o;
  }
}
