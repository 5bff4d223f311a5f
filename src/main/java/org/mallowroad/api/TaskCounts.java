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
 * Responds with the numbers of done and running tasks of an open job. They are for display and come
 * from memory on the leader, and from the attempt records on other nodes. When there are so many
 * queries that a read for each would take calls that commits and lease renewals need, the counts of
 * the last read are returned; that the job is open has been read for this query in any case.
 */
final class TaskCounts {
  /** The maximum age of returned counts; the protocol allows 3 s. */
  private static final long MAX_AGE_MS = 2_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ReadQueue readQueue;
  private final double readsPerSecond;
  private final UserApi.LocalJobs localJobs;

  /** Task counts by job id, from the most recent listing of the shared attempt records. */
  private Map<String, JobProgress> sharedCounts = Map.of();

  private long sharedListedMs = Long.MIN_VALUE / 2;
  private final List<Runnable> waitingForListing = new ArrayList<>();
  private boolean isListing;

  TaskCounts(
      EventLoop loop,
      KeyValueStore state,
      ReadQueue readQueue,
      double readsPerSecond,
      UserApi.LocalJobs localJobs) {
    this.loop = loop;
    this.state = state;
    this.readQueue = readQueue;
    this.readsPerSecond = readsPerSecond;
    this.localJobs = localJobs;
  }

  /** Responds with the state of a job that was just found open. */
  void respond(Responder responder, OpenJobs.OpenJob job) {
    JobProgress localProgress = localJobs.progress(job.id);
    if (localProgress != null) {
      responder.respond(200, openJobBody(job.id, localProgress), false);
      return;
    }
    if (loop.now() - job.progressUpdatedMs() < MAX_AGE_MS) {
      responder.respond(200, openJobBody(job.id, job.progress()), false);
      return;
    }
    refreshSharedCounts(() -> respondAfterListing(responder, job));
  }

  private void respondAfterListing(Responder responder, OpenJobs.OpenJob job) {
    JobProgress progress = sharedCounts.get(job.id);
    if (progress != null) {
      job.updateProgress(progress, loop.now());
    } else if (readQueue.tryAcquireSpare(readsPerSecond)) {
      listRecordsOfJob(responder, job);
      return;
    }
    responder.respond(200, openJobBody(job.id, job.progress()), false);
  }

  /** Runs {@code next} after refreshing the shared counts if they are outdated and may be read. */
  private void refreshSharedCounts(Runnable next) {
    if (loop.now() - sharedListedMs < MAX_AGE_MS
        || (!isListing && !readQueue.tryAcquireSpare(readsPerSecond))) {
      next.run();
      return;
    }
    waitingForListing.add(next);
    if (isListing) {
      return;
    }
    isListing = true;
    state.list(
        RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX,
        (result, items, revision) -> {
          isListing = false;
          if (result == CallResult.OK) {
            sharedListedMs = loop.now();
            sharedCounts = progressByJob(items);
          }
          List<Runnable> ready = new ArrayList<>(waitingForListing);
          waitingForListing.clear();
          ready.forEach(Runnable::run);
        });
  }

  private static Map<String, JobProgress> progressByJob(List<VersionedValue> items) {
    Map<String, JobProgress> progressByJob = new HashMap<>();
    for (VersionedValue item : items) {
      for (Map.Entry<String, JsonNode> member : AttemptRecordCodec.membersOfShared(item.value())) {
        int done = AttemptRecordCodec.doneTasks(member.getValue()).cardinality();
        progressByJob.put(
            member.getKey(),
            new JobProgress(done, AttemptRecordCodec.unresolvedAttempts(member.getValue()).size()));
      }
    }
    return progressByJob;
  }

  private void listRecordsOfJob(Responder responder, OpenJobs.OpenJob job) {
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
            job.updateProgress(new JobProgress(done, running), loop.now());
          }
          responder.respond(200, openJobBody(job.id, job.progress()), false);
        });
  }

  /** The response body for an open job. */
  static ObjectNode openJobBody(String id, JobProgress progress) {
    ObjectNode body = Json.object();
    body.put(Fields.ID, id);
    body.put(Fields.STATE, progress.runningTasks() > 0 ? Fields.RUNNING : Fields.QUEUED);
    body.put(Fields.DONE, progress.doneTasks());
    body.put(Fields.RUNNING, progress.runningTasks());
    return body;
  }
}
