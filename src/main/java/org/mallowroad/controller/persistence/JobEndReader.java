package org.mallowroad.controller.persistence;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;

/**
 * Reads how jobs ended that are over but still have attempt records, a few at a time. Confined to
 * the event loop.
 */
final class JobEndReader {
  /** End records that are read at once: a few, beside the leader's other calls. */
  private static final int MAX_CONCURRENT_READS = 4;

  private static final long READ_RETRY_MS = 200;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final RecordRestorer restorer;
  private final BooleanSupplier isStopped;
  private final ArrayDeque<String> jobs;
  private final ObjectOpenHashSet<String> doneJobs = new ObjectOpenHashSet<>();
  private final Consumer<Set<String>> done;
  private int readsUnderWay;

  /**
   * Prepares the reading.
   *
   * @param jobs the jobs to read of
   * @param done told the jobs that are done, as opposed to cancelled, once all are read
   */
  JobEndReader(
      EventLoop loop,
      KeyValueStore store,
      RecordRestorer restorer,
      BooleanSupplier isStopped,
      Collection<String> jobs,
      Consumer<Set<String>> done) {
    this.loop = loop;
    this.store = store;
    this.restorer = restorer;
    this.isStopped = isStopped;
    this.jobs = new ArrayDeque<>(jobs);
    this.done = done;
  }

  /** Reads all; jobs that were cancelled are restored. */
  void start() {
    if (jobs.isEmpty()) {
      done.accept(doneJobs);
    }
    for (int i = 0; i < MAX_CONCURRENT_READS && !jobs.isEmpty(); i++) {
      readsUnderWay++;
      read(jobs.poll());
    }
  }

  private void read(String job) {
    store.get(
        RecordKeys.endedJob(job),
        (result, item) -> {
          if (isStopped.getAsBoolean()) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(READ_RETRY_MS, () -> read(job));
            return;
          }
          apply(job, item);
          if (!jobs.isEmpty()) {
            read(jobs.poll());
          } else if (--readsUnderWay == 0) {
            done.accept(doneJobs);
          }
        });
  }

  private void apply(String job, VersionedValue item) {
    if (item.value() == null) {
      return;
    }
    if (JobRecordCodec.openRecordOf(item.value()) == null) {
      doneJobs.add(job);
    } else {
      restorer.restoreCancelledJob(item);
    }
  }
}
