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
 * Reads the end records of ended jobs that still have attempt records, a few at a time. Confined to
 * the event loop.
 */
final class JobEndReader {
  /** Maximum number of concurrent reads, kept small to leave room for the leader's other calls. */
  private static final int MAX_CONCURRENT_READS = 4;

  private static final long READ_RETRY_MS = 200;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final RecordRestorer restorer;
  private final BooleanSupplier isStopped;
  private final ArrayDeque<String> unreadJobIds;
  private final ObjectOpenHashSet<String> completedJobIds = new ObjectOpenHashSet<>();
  private final Consumer<Set<String>> onComplete;
  private int activeReads;

  /**
   * Creates a reader; {@link #start} begins the reads.
   *
   * @param unreadJobIds IDs of the jobs whose end records are read
   * @param onComplete receives the completed (not cancelled) jobs once all end records are read
   */
  JobEndReader(
      EventLoop loop,
      KeyValueStore store,
      RecordRestorer restorer,
      BooleanSupplier isStopped,
      Collection<String> unreadJobIds,
      Consumer<Set<String>> onComplete) {
    this.loop = loop;
    this.store = store;
    this.restorer = restorer;
    this.isStopped = isStopped;
    this.unreadJobIds = new ArrayDeque<>(unreadJobIds);
    this.onComplete = onComplete;
  }

  /** Reads all end records and restores the cancelled jobs. */
  void start() {
    if (unreadJobIds.isEmpty()) {
      onComplete.accept(completedJobIds);
    }
    for (int i = 0; i < MAX_CONCURRENT_READS && !unreadJobIds.isEmpty(); i++) {
      activeReads++;
      read(unreadJobIds.poll());
    }
  }

  private void read(String jobId) {
    store.get(
        RecordKeys.endedJob(jobId),
        (result, endRecord) -> {
          if (isStopped.getAsBoolean()) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(READ_RETRY_MS, () -> read(jobId));
            return;
          }
          applyEndRecord(jobId, endRecord);
          if (!unreadJobIds.isEmpty()) {
            read(unreadJobIds.poll());
          } else if (--activeReads == 0) {
            onComplete.accept(completedJobIds);
          }
        });
  }

  private void applyEndRecord(String jobId, VersionedValue endRecord) {
    if (endRecord.value() == null) {
      return;
    }
    if (JobRecordCodec.openRecordOf(endRecord.value()) == null) {
      completedJobIds.add(jobId);
    } else {
      restorer.restoreCancelledJob(endRecord);
    }
  }
}
