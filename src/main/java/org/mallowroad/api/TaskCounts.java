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
 * Answers how many tasks of an open job are done and run, for display: from the leader's memory on
 * the leader, else from the attempt records. When so many users ask that a read for each would take
 * the calls that commits and renewals need, the counts of the last read are told; that the job is
 * open was read for the question.
 */
final class TaskCounts {
  /** Counts may be so old; the protocol allows 3 s. */
  private static final long MAX_AGE_MS = 2_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ReadQueue reads;
  private final double burst;
  private final UserApi.LocalJobs jobs;

  /** By job, from the newest listing of shared start records. */
  private Map<String, JobProgress> shared = Map.of();

  private long sharedListedMs = Long.MIN_VALUE / 2;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean listing;

  TaskCounts(
      EventLoop loop, KeyValueStore state, ReadQueue reads, double burst, UserApi.LocalJobs jobs) {
    this.loop = loop;
    this.state = state;
    this.reads = reads;
    this.burst = burst;
    this.jobs = jobs;
  }

  /** Answers with the state of a job that was just seen open. */
  void answer(Responder x, OpenJobs.Entry job) {
    JobProgress own = jobs.progress(job.id);
    if (own != null) {
      x.respond(200, status(job.id, own), false);
      return;
    }
    if (loop.now() - job.countedMs() < MAX_AGE_MS) {
      x.respond(200, status(job.id, job.progress()), false);
      return;
    }
    listShared(() -> answerCounted(x, job));
  }

  private void answerCounted(Responder x, OpenJobs.Entry job) {
    JobProgress counted = shared.get(job.id);
    if (counted != null) {
      job.counted(counted, loop.now());
    } else if (reads.tryAcquireSpare(burst)) {
      listOwn(x, job);
      return;
    }
    x.respond(200, status(job.id, job.progress()), false);
  }

  /** Runs a task when the listing of shared records is fresh, or when it cannot be read now. */
  private void listShared(Runnable then) {
    if (loop.now() - sharedListedMs < MAX_AGE_MS || (!listing && !reads.tryAcquireSpare(burst))) {
      then.run();
      return;
    }
    waiting.add(then);
    if (listing) {
      return;
    }
    listing = true;
    state.list(
        RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX,
        (result, items, revision) -> {
          listing = false;
          if (result == CallResult.OK) {
            sharedListedMs = loop.now();
            shared = counts(items);
          }
          List<Runnable> all = new ArrayList<>(waiting);
          waiting.clear();
          all.forEach(Runnable::run);
        });
  }

  private static Map<String, JobProgress> counts(List<VersionedValue> items) {
    Map<String, JobProgress> out = new HashMap<>();
    for (VersionedValue item : items) {
      for (Map.Entry<String, JsonNode> run : AttemptRecordCodec.membersOfShared(item.value())) {
        int done = AttemptRecordCodec.doneTasks(run.getValue()).cardinality();
        out.put(
            run.getKey(),
            new JobProgress(done, AttemptRecordCodec.unresolvedAttempts(run.getValue()).size()));
      }
    }
    return out;
  }

  private void listOwn(Responder x, OpenJobs.Entry job) {
    state.list(
        RecordKeys.attemptRecordsPrefix(job.id),
        (result, items, revision) -> {
          if (result == CallResult.OK) {
            int done = 0;
            int running = 0;
            for (VersionedValue item : items) {
              done += AttemptRecordCodec.doneTasks(item.value()).cardinality();
              running += AttemptRecordCodec.unresolvedAttempts(item.value()).size();
            }
            job.counted(new JobProgress(done, running), loop.now());
          }
          x.respond(200, status(job.id, job.progress()), false);
        });
  }

  /** The response body about an open job. */
  static ObjectNode status(String id, JobProgress progress) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, progress.runningTasks() > 0 ? Fields.RUNNING : Fields.QUEUED);
    o.put(Fields.DONE, progress.doneTasks());
    o.put(Fields.RUNNING, progress.runningTasks());
    return o;
  }
}
