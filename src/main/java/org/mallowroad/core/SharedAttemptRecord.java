package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/** One record in the state service that holds the attempts of several small jobs. */
public final class SharedAttemptRecord {
  /** Its name in the state service, never used for another one. */
  public final String name;

  /** The record's version in the state service as last seen; 0 when there is none. */
  public long version;

  private final ObjectLinkedOpenHashSet<AttemptRecord> members = new ObjectLinkedOpenHashSet<>();

  private int reservedBytes;

  /** True when the record still lists a cancelled job of which nothing is left. */
  private boolean listsCancelledJob;

  SharedAttemptRecord(String name, long version) {
    this.name = name;
    this.version = version;
  }

  /** Jobs whose attempts it holds, also those that are finished and not yet removed. */
  public Collection<AttemptRecord> members() {
    return members;
  }

  /** Bytes of its value that its members may come to need. */
  int reservedBytes() {
    return reservedBytes;
  }

  void add(AttemptRecord attemptRecord) {
    attemptRecord.sharedRecord = this;
    if (members.add(attemptRecord)) {
      reservedBytes += SharedAttemptRecords.reservedBytes(attemptRecord);
    }
  }

  void remove(AttemptRecord attemptRecord) {
    if (members.remove(attemptRecord)) {
      reservedBytes -= SharedAttemptRecords.reservedBytes(attemptRecord);
    }
    // A next leader would restore a cancelled job's attempts, and wait for proof that they are
    // gone; a done job's it ignores.
    listsCancelledJob |= attemptRecord.job.cancelled;
  }

  /** True when it is to be written or deleted although no member of it has changed. */
  public boolean needsWrite() {
    return version > 0 && (listsCancelledJob || members.isEmpty());
  }

  /** It was written as it is in memory. */
  public void markWritten(long newVersion) {
    version = newVersion;
    listsCancelledJob = false;
  }
}
