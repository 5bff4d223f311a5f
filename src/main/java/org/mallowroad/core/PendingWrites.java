package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/**
 * The attempt records whose state in memory is newer than in the state service, and which of them
 * starts wait for: no launch is sent before the record of its attempt is committed.
 */
final class PendingWrites {
  private final ObjectLinkedOpenHashSet<AttemptRecord> dirtyRecords =
      new ObjectLinkedOpenHashSet<>();

  /** The dirty records with uncommitted starts, in the order in which they were placed. */
  private final ObjectLinkedOpenHashSet<AttemptRecord> urgentRecords =
      new ObjectLinkedOpenHashSet<>();

  /** Records that changed since they were committed, those that have waited longest first. */
  Collection<AttemptRecord> dirtyRecords() {
    return dirtyRecords;
  }

  /** The dirty records for which starts wait. */
  Collection<AttemptRecord> urgentRecords() {
    return urgentRecords;
  }

  /** The record is to be written or deleted, since what it says of a task is out of date. */
  void markDirty(AttemptRecord attemptRecord, long now) {
    if (!attemptRecord.dirty) {
      attemptRecord.dirty = true;
      attemptRecord.dirtySinceMs = now;
    }
    attemptRecord.changeCount++;
    dirtyRecords.add(attemptRecord);
  }

  /** An attempt of the record was made, and is launched only once the record is committed. */
  void addUncommittedStart(AttemptRecord attemptRecord, long now) {
    markDirty(attemptRecord, now);
    attemptRecord.uncommittedStarts++;
    urgentRecords.add(attemptRecord);
  }

  /** An attempt of the record waits for a commit no longer: it is committed, or withdrawn. */
  void removeUncommittedStart(AttemptRecord attemptRecord) {
    if (--attemptRecord.uncommittedStarts == 0) {
      urgentRecords.remove(attemptRecord);
    }
  }

  /**
   * The record was written as it was when it had {@code changeCount} changes.
   *
   * @param version its version in the state service from now on
   */
  void committed(AttemptRecord attemptRecord, long version, long changeCount, long now) {
    attemptRecord.version = version;
    attemptRecord.dirtySinceMs = now;
    if (attemptRecord.changeCount == changeCount) {
      attemptRecord.dirty = false;
      dirtyRecords.remove(attemptRecord);
    } else {
      dirtyRecords.addAndMoveToLast(attemptRecord); // The others have waited longer.
    }
  }

  /** The job of the record is dropped: nothing of it is written any more. */
  void remove(AttemptRecord attemptRecord) {
    dirtyRecords.remove(attemptRecord);
    urgentRecords.remove(attemptRecord);
  }
}
