package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/** A record in the state service that holds the attempts of several small jobs. */
public final class SharedAttemptRecord {
  /** The record's name in the state service; never reused for another record. */
  public final String name;

  /** The last known version of the record in the state service; 0 when it is not stored there. */
  public long version;

  private final ObjectLinkedOpenHashSet<AttemptRecord> members = new ObjectLinkedOpenHashSet<>();

  private int reservedBytes;

  /** True when the stored record still lists a cancelled job that was removed in memory. */
  private boolean listsCancelledJob;

  SharedAttemptRecord(String name, long version) {
    this.name = name;
    this.version = version;
  }

  /** The member jobs' attempt records, including finished jobs that are not removed yet. */
  public Collection<AttemptRecord> members() {
    return members;
  }

  /** Upper bound of the bytes that the members need in the record's value. */
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
    // If the stored record kept listing a cancelled job, the next leader would restore its attempts
    // and wait for proof that they are gone. The attempts of a done job are ignored.
    listsCancelledJob |= attemptRecord.job.cancelled;
  }

  /** True when the record must be written or deleted although no member has changed. */
  public boolean needsWrite() {
    return version > 0 && (listsCancelledJob || members.isEmpty());
  }

  /** Records that the state in memory was written, or that the record was deleted (version 0). */
  public void markWritten(long newVersion) {
    version = newVersion;
    listsCancelledJob = false;
  }
}
