package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * How many tasks of an open job are done and run, for display: by the leader's own figures, else by
 * the run records. Where so many ask that a reading each would take what commits and renewals need,
 * the figures of a moment ago do: the job is open, which was asked anew.
 */
final class TaskCounts {
  /** Counts may be so old; the protocol allows 3 s. */
  private static final long FRESH_MS = 2_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ReadQueue reads;
  private final double burst;
  private final UserApi.Jobs jobs;

  /** Done and running tasks by job, of the newest listing of shared start records. */
  private Map<String, int[]> shared = Map.of();

  private long sharedMs = Long.MIN_VALUE / 2;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean listing;

  TaskCounts(
      EventLoop loop, KeyValueStore state, ReadQueue reads, double burst, UserApi.Jobs jobs) {
    this.loop = loop;
    this.state = state;
    this.reads = reads;
    this.burst = burst;
    this.jobs = jobs;
  }

  /** Answers with the state of a job that was just seen open. */
  void answer(Responder x, OpenJobs.Entry job) {
    int[] own = jobs.counts(job.id);
    if (own != null) {
      x.answer(200, status(job.id, own[0], own[1]), false);
      return;
    }
    if (loop.now() - job.countedMs < FRESH_MS) {
      x.answer(200, status(job.id, job.done, job.running), false);
      return;
    }
    listShared(() -> countOf(x, job));
  }

  private void countOf(Responder x, OpenJobs.Entry job) {
    int[] counted = shared.get(job.id);
    if (counted != null) {
      count(job, counted[0], counted[1]);
    } else if (reads.spare(burst)) {
      listOwn(x, job);
      return;
    }
    x.answer(200, status(job.id, job.done, job.running), false);
  }

  private void count(OpenJobs.Entry job, int done, int running) {
    job.done = done;
    job.running = running;
    job.countedMs = loop.now();
  }

  /** Runs the task once the listing of shared records is fresh, or cannot be had now. */
  private void listShared(Runnable then) {
    if (loop.now() - sharedMs < FRESH_MS || (!listing && !reads.spare(burst))) {
      then.run();
      return;
    }
    waiting.add(then);
    if (listing) {
      return;
    }
    listing = true;
    state.list(
        RecordKeys.SHARED_ATTEMPTS,
        (result, items, revision) -> {
          listing = false;
          if (result == CallResult.OK) {
            sharedMs = loop.now();
            shared = counts(items);
          }
          List<Runnable> all = new ArrayList<>(waiting);
          waiting.clear();
          all.forEach(Runnable::run);
        });
  }

  private static Map<String, int[]> counts(List<VersionedValue> items) {
    Map<String, int[]> out = new HashMap<>();
    for (VersionedValue item : items) {
      for (Map.Entry<String, JsonNode> run : AttemptRecordCodec.membersOfShared(item.value())) {
        int done = AttemptRecordCodec.doneTasks(run.getValue()).cardinality();
        out.put(
            run.getKey(),
            new int[] {done, AttemptRecordCodec.unresolvedAttempts(run.getValue()).size()});
      }
    }
    return out;
  }

  private void listOwn(Responder x, OpenJobs.Entry job) {
    state.list(
        RecordKeys.ATTEMPTS + job.id + "/",
        (result, items, revision) -> {
          if (result == CallResult.OK) {
            int done = 0;
            int running = 0;
            for (VersionedValue item : items) {
              done += AttemptRecordCodec.doneTasks(item.value()).cardinality();
              running += AttemptRecordCodec.unresolvedAttempts(item.value()).size();
            }
            count(job, done, running);
          }
          x.answer(200, status(job.id, job.done, job.running), false);
        });
  }

  /** The answer about an open job. */
  static ObjectNode status(String id, int done, int running) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, running > 0 ? Fields.RUNNING : Fields.QUEUED);
    o.put(Fields.DONE, done);
    o.put(Fields.RUNNING, running);
    return o;
  }
}
