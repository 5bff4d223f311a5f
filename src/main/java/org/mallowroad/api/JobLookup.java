package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2BooleanLinkedOpenHashMap;
import java.util.function.Consumer;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * How jobs stand: by the ends that this node remembers, since an end never changes, and else by a
 * read that is made for the question. So no answer is older than one that any node has given.
 */
final class JobLookup {
  private final KeyValueStore state;
  private final ReadQueue reads;
  private final OpenJobs openJobs;
  private final TaskCounts counts;
  private final int mostEnds;
  private Consumer<String> onCancelled = id -> {};

  /** True for done, false for cancelled: final states never change, so they may be kept. */
  private final Object2BooleanLinkedOpenHashMap<String> ends =
      new Object2BooleanLinkedOpenHashMap<>();

  /** What a job's records say. */
  interface RecordListener {
    /** It is open: the value and version of its open record. */
    void open(JsonNode value, long version);

    /** It is over. */
    void over(boolean done);

    /** There is no such job. */
    void absent();

    /** The state service did not say. */
    void failed();
  }

  JobLookup(
      EventLoop loop,
      KeyValueStore state,
      ReadQueue reads,
      double burst,
      UserApi.Jobs jobs,
      int mostConditions,
      int mostEnds) {
    this.state = state;
    this.reads = reads;
    this.mostEnds = mostEnds;
    this.openJobs = new OpenJobs(state, reads, mostEnds / 4, mostConditions);
    this.counts = new TaskCounts(loop, state, reads, burst, jobs);
  }

  /** Told of each cancellation that this node learns of as a fact, for the first time. */
  void onCancelled(Consumer<String> listener) {
    onCancelled = listener;
  }

  /** A job's end became known. */
  void ended(String id, boolean done) {
    openJobs.over(id);
    boolean news = !ends.containsKey(id);
    ends.putAndMoveToLast(id, done);
    if (ends.size() > mostEnds) {
      ends.removeFirstBoolean();
    }
    if (news && !done) {
      onCancelled.accept(id);
    }
  }

  /** A job was read or written as open. */
  void opened(String id, long version) {
    openJobs.saw(id, version);
  }

  /** How many ends of jobs are remembered. */
  int ends() {
    return ends.size();
  }

  /** How many open jobs are remembered. */
  int opens() {
    return openJobs.size();
  }

  /** The remembered end of a job, or null. */
  JobOutcome jobOutcome(String id) {
    if (!ends.containsKey(id)) {
      return null;
    }
    return ends.getBoolean(id) ? JobOutcome.DONE : JobOutcome.CANCELLED;
  }

  /** True when a lookup asked for now is answered so soon that a submission may wait for it. */
  boolean prompt() {
    return openJobs.prompt();
  }

  /**
   * Answers 200 with the state of a job that there is, 503 when the state service does not say, and
   * runs {@code absent} for any other.
   */
  void answer(Responder x, String id, Runnable absent) {
    answer(x, id, absent, () -> unreachable(x));
  }

  /** The same with another way out when the state service does not say. */
  void answer(Responder x, String id, Runnable absent, Runnable unknown) {
    if (ends.containsKey(id)) {
      x.answer(200, status(id, ends.getBoolean(id)), false);
      return;
    }
    openJobs.ask(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN -> counts.answer(x, job);
            case OVER -> answerEnd(x, id);
            case ABSENT -> absent.run();
            default -> unknown.run();
          }
        });
  }

  /** How a job ended that is known to be over. */
  private void answerEnd(Responder x, String id) {
    RecordListener reader =
        new RecordListener() {
          @Override
          public void open(JsonNode value, long version) {
            unreachable(x); // The end record alone is read.
          }

          @Override
          public void over(boolean done) {
            x.answer(200, status(id, done), false);
          }

          @Override
          public void absent() {
            unreachable(x); // It was there a moment ago: a 404 would be wrong.
          }

          @Override
          public void failed() {
            unreachable(x);
          }
        };
    reads.take(1, () -> readEnd(id, reader), reader::failed);
  }

  static void unreachable(Responder x) {
    x.answer(503, Reply.reason("state service not reached"), true);
  }

  /**
   * Reads what is on record of a job. Whether there is anything is asked together with others:
   * users who cancel jobs that were never accepted, again and again, would take all calls
   * otherwise.
   */
  void read(String id, RecordListener reader) {
    if (ends.containsKey(id)) {
      reader.over(ends.getBoolean(id));
      return;
    }
    openJobs.ask(
        id,
        (status, job) -> {
          switch (status) {
            case OPEN -> reads.take(2, () -> readOpen(id, reader), reader::failed);
            case OVER -> reads.take(1, () -> readEnd(id, reader), reader::failed);
            case ABSENT -> reader.absent();
            default -> reader.failed();
          }
        });
  }

  /** Open, then end: a job moves from the first to the second, so it is never missed. */
  private void readOpen(String id, RecordListener reader) {
    state.get(
        RecordKeys.openJob(id),
        (result, open) -> {
          if (result != CallResult.OK) {
            reader.failed();
          } else if (open.value() != null) {
            reads.giveBack(); // One call was enough.
            reader.open(open.value(), open.version());
          } else {
            readEnd(id, reader);
          }
        });
  }

  private void readEnd(String id, RecordListener reader) {
    state.get(
        RecordKeys.endedJob(id),
        (result, end) -> {
          if (result != CallResult.OK) {
            reader.failed();
          } else if (end.value() == null) {
            reader.absent();
          } else {
            boolean done = end.value().path("end").asText().equals(Fields.DONE);
            ended(id, done);
            reader.over(done);
          }
        });
  }

  /** The answer about a job that is over. */
  static ObjectNode status(String id, boolean done) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, done ? Fields.DONE : Fields.CANCELLED);
    return o;
  }
}
