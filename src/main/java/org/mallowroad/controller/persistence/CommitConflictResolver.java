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
 * Reads again what the failed conditions of a commit are about, one key after another, so that the
 * next transaction is built on the versions that are there.
 *
 * <p>Only this term's transactions write attempt records. So a value that equals the one that was
 * to be written is that of an earlier copy of the transaction, and counts as committed.
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

  /** Reads nothing more; what waits for a read is not told. */
  void stop() {
    isStopped = true;
  }

  /**
   * Reads what has changed.
   *
   * @param failedKeys keys whose conditions failed; none: any of them may have
   * @param done run when all is read
   */
  void resolve(CommitTransactionBuilder commit, List<String> failedKeys, Runnable done) {
    Predicate<String> mayHaveFailed = key -> failedKeys.isEmpty() || failedKeys.contains(key);
    List<Consumer<Runnable>> steps = new ArrayList<>();
    List<Job> jobs = new ArrayList<>(commit.endedJobs());
    for (WrittenRecord written : commit.writtenRecords()) {
      if (mayHaveFailed.test(RecordKeys.attemptRecord(written.record()))) {
        steps.add(next -> readRecord(written, next));
      }
      addOnce(jobs, written.record().job);
    }
    for (WrittenSharedRecord written : commit.writtenSharedRecords()) {
      if (mayHaveFailed.test(RecordKeys.sharedAttemptRecord(written.record()))) {
        steps.add(next -> readSharedRecord(written, next));
      }
      written.members().forEach(member -> addOnce(jobs, member.record().job));
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
    run(steps, 0, done);
  }

  private static void addOnce(List<Job> jobs, Job job) {
    if (!jobs.contains(job)) {
      jobs.add(job);
    }
  }

  private void run(List<Consumer<Runnable>> steps, int index, Runnable done) {
    if (isStopped) {
      return;
    }
    if (index == steps.size()) {
      done.run();
    } else {
      steps.get(index).accept(() -> run(steps, index + 1, done));
    }
  }

  private void readRecord(WrittenRecord written, Runnable next) {
    read(
        RecordKeys.attemptRecord(written.record()),
        item -> {
          if (isSame(written.value(), item.value())) {
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
          if (isSame(written.value(), item.value())) {
            applier.sharedRecordCommitted(written, item.version());
          } else {
            written.record().version = item.version();
          }
          next.run();
        });
  }

  /** Reads how a job ended, if it did, and applies it; then runs {@code next}. */
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

  private void read(String key, Consumer<VersionedValue> then) {
    store.get(
        key,
        (result, item) -> {
          if (isStopped) {
            return;
          }
          if (result == CallResult.OK) {
            then.accept(item);
          } else {
            loop.after(READ_RETRY_MS, () -> read(key, then));
          }
        });
  }

  private static boolean isSame(JsonNode written, JsonNode found) {
    if (written == null || found == null) {
      return false;
    }
    try {
      // Through text, as the stored value went: numbers may differ in type otherwise.
      return Json.parseObject(Json.toBytes(written)).equals(found);
    } catch (InvalidMessageException e) {
      return false; // Not possible for a value that was built here.
    }
  }
}
