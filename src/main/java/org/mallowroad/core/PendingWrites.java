package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/**
 * Tracks the attempt records whose state in memory is newer than in the state service, and which of
 * them are urgent because they contain uncommitted starts: no launch is sent before the record of
 * its attempt is committed.
 */
final class PendingWrites {
  private final ObjectLinkedOpenHashSet<AttemptRecord> dirtyRecords =
      new ObjectLinkedOpenHashSet<>();

  /** The dirty records with uncommitted starts, in the order of their first such start. */
  private final ObjectLinkedOpenHashSet<AttemptRecord> urgentRecords =
      new ObjectLinkedOpenHashSet<>();

  /** Records that changed since their latest commit, longest-waiting first. */
  Collection<AttemptRecord> dirtyRecords() {
    return dirtyRecords;
  }

  /** The dirty records with uncommitted starts. */
  Collection<AttemptRecord> urgentRecords() {
    return urgentRecords;
  }

  /** Marks a record as out of date, so that it will be written or deleted. */
  void markDirty(AttemptRecord attemptRecord, long now) {
    if (!attemptRecord.dirty) {
      attemptRecord.dirty = true;
      attemptRecord.dirtySinceMs = now;
    }
    attemptRecord.changeCount++;
    dirtyRecords.add(attemptRecord);
  }

  /** Adds a new attempt, whose launch waits for the record's commit. */
  void addUncommittedStart(AttemptRecord attemptRecord, long now) {
    markDirty(attemptRecord, now);
    attemptRecord.uncommittedStarts++;
    urgentRecords.add(attemptRecord);
  }

  /** Removes an attempt that no longer waits for a commit: it was committed or withdrawn. */
  void removeUncommittedStart(AttemptRecord attemptRecord) {
    if (--attemptRecord.uncommittedStarts == 0) {
      urgentRecords.remove(attemptRecord);
    }
  }

  /**
   * Records that a commit of a record succeeded.
   *
   * @param version the record's new version in the state service
   * @param writtenChangeCount the record's change count when its written content was encoded
   */
  void markCommitted(AttemptRecord attemptRecord, long version, long writtenChangeCount, long now) {
    attemptRecord.version = version;
    attemptRecord.dirtySinceMs = now;
    if (attemptRecord.changeCount == writtenChangeCount) {
      attemptRecord.dirty = false;
      dirtyRecords.remove(attemptRecord);
    } else {
      dirtyRecords.addAndMoveToLast(attemptRecord); // The others have waited longer.
    }
  }

  /** Removes a record whose job is removed; it will not be written any more. */
  void remove(AttemptRecord attemptRecord) {
    dirtyRecords.remove(attemptRecord);
    urgentRecords.remove(attemptRecord);
  }
}
