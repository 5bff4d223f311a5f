package org.mallowroad.controller.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenRecord;
import org.mallowroad.controller.persistence.CommitTransactionBuilder.WrittenSharedRecord;
import org.mallowroad.core.Job;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Reads the keys whose conditions failed in a commit, one after another, so that the next
 * transaction is based on the stored versions.
 *
 * <p>Only transactions of this term write attempt records. A stored value that equals the one to be
 * written was therefore written by an earlier copy of the same transaction and counts as committed.
 *
 * <p>Confined to the event loop.
 */
final class CommitConflictResolver {
  private static final long READ_RETRY_MS = 300;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final CommitApplier applier;
  private final WriteBehindCommitter.Listener listener;
  private boolean isStopped;

  CommitConflictResolver(
      EventLoop loop,
      KeyValueStore store,
      CommitApplier applier,
      WriteBehindCommitter.Listener listener) {
    this.loop = loop;
    this.store = store;
    this.applier = applier;
    this.listener = listener;
  }

  /** Stops all reads; pending callbacks are not called. */
  void stop() {
    isStopped = true;
  }

  /**
   * Reads the records whose conditions may have failed and applies what has changed.
   *
   * @param failedKeys keys whose conditions failed; if empty, any condition may have failed
   * @param onResolved run when all of them are read
   */
  void resolve(CommitTransactionBuilder commit, List<String> failedKeys, Runnable onResolved) {
    Predicate<String> mayHaveFailed = key -> failedKeys.isEmpty() || failedKeys.contains(key);
    List<Consumer<Runnable>> steps = new ArrayList<>();
    List<Job> jobs = new ArrayList<>(commit.endedJobs());
    for (WrittenRecord written : commit.writtenRecords()) {
      if (mayHaveFailed.test(RecordKeys.attemptRecord(written.record()))) {
        steps.add(next -> readRecord(written, next));
      }
      addIfAbsent(jobs, written.record().job);
    }
    for (WrittenSharedRecord written : commit.writtenSharedRecords()) {
      if (mayHaveFailed.test(RecordKeys.sharedAttemptRecord(written.record()))) {
        steps.add(next -> readSharedRecord(written, next));
      }
      written.members().forEach(member -> addIfAbsent(jobs, member.record().job));
    }
    for (Job job : jobs) {
      String id = job.spec.id();
      if (mayHaveFailed.test(RecordKeys.openJob(id))
          || mayHaveFailed.test(RecordKeys.endedJob(id))) {
        steps.add(next -> readJobEnd(job, next));
      }
    }
    boolean anyLeagueFailed = failedKeys.stream().anyMatch(RecordKeys::isLeagueKey);
    for (Job job : commit.jobsWithStartConditions()) {
      if (mayHaveFailed.test(RecordKeys.release(job.spec.id())) || anyLeagueFailed) {
        steps.add(next -> listener.reloadStartConditions(job, next));
      }
    }
    runSteps(steps, 0, onResolved);
  }

  private static void addIfAbsent(List<Job> jobs, Job job) {
    if (!jobs.contains(job)) {
      jobs.add(job);
    }
  }

  private void runSteps(List<Consumer<Runnable>> steps, int index, Runnable onResolved) {
    if (isStopped) {
      return;
    }
    if (index == steps.size()) {
      onResolved.run();
    } else {
      steps.get(index).accept(() -> runSteps(steps, index + 1, onResolved));
    }
  }

  private void readRecord(WrittenRecord written, Runnable next) {
    read(
        RecordKeys.attemptRecord(written.record()),
        item -> {
          if (equalsStored(written.value(), item.value())) {
            applier.recordCommitted(written, item.version());
          } else {
            written.record().version = item.version();
          }
          next.run();
        });
  }

  private void readSharedRecord(WrittenSharedRecord written, Runnable next) {
    read(
        RecordKeys.sharedAttemptRecord(written.record()),
        item -> {
          if (equalsStored(written.value(), item.value())) {
            applier.sharedRecordCommitted(written, item.version());
          } else {
            written.record().version = item.version();
          }
          next.run();
        });
  }

  /** Reads the job's end record, applies it if it exists, and then runs {@code next}. */
  void readJobEnd(Job job, Runnable next) {
    read(
        RecordKeys.endedJob(job.spec.id()),
        item -> {
          if (item.value() != null) {
            if (JobRecordCodec.isDone(item.value())) {
              applier.jobFoundDone(job);
            } else {
              applier.jobCancelled(job);
            }
          }
          next.run();
        });
  }

  private void read(String key, Consumer<VersionedValue> onRead) {
    store.get(
        key,
        (result, item) -> {
          if (isStopped) {
            return;
          }
          if (result == CallResult.OK) {
            onRead.accept(item);
          } else {
            loop.after(READ_RETRY_MS, () -> read(key, onRead));
          }
        });
  }

  private static boolean equalsStored(JsonNode written, JsonNode found) {
    if (written == null || found == null) {
      return false;
    }
    try {
      // Serializes and parses the value, as the store did: the JSON number types may differ
      // otherwise.
      return Json.parseObject(Json.toBytes(written)).equals(found);
    } catch (InvalidMessageException e) {
      return false; // Cannot happen for a value that this process encoded.
    }
  }
}
