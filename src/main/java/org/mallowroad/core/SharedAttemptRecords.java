package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/**
 * Assigns small jobs to shared attempt records, so that the starts of many jobs need one write, and
 * so do their ends. An unshared record costs a small job one write when it starts and one when it
 * ends.
 *
 * <p>New jobs join the open record until it is full; then a new record is opened. A record is
 * written with each start of a member and deleted once it has no members. Services may run for
 * years and would keep a shared record from ever being deleted, so their records are never shared.
 * A job that is done stays listed in the stored record until the record is written for another
 * reason; readers ignore it because of the job's end record.
 */
public final class SharedAttemptRecords {
  /** Jobs with more tasks than this do not share records. */
  static final int MAX_TASKS = 4;

  /** Maximum number of members, if the transaction and value limits allow that many. */
  public static final int MAX_MEMBERS = 24;

  /** Bytes reserved for a member, without its id and attempts. */
  private static final int MEMBER_BYTES = 40;

  /** Bytes reserved for an attempt with the name, type and zone of its machine. */
  private static final int ATTEMPT_BYTES = 160;

  private final long term;
  private final ObjectLinkedOpenHashSet<SharedAttemptRecord> records =
      new ObjectLinkedOpenHashSet<>();
  private SharedAttemptRecord openRecord;
  private long createdCount;
  private int maxMembers;
  private int maxBytes;

  SharedAttemptRecords(long term) {
    this.term = term;
  }

  /**
   * Enables sharing for new small jobs. Jobs that share a record already keep it in any case. A
   * record that exceeded either limit could not be written any more.
   *
   * @param transactionMemberLimit number of members whose conditions fit into one transaction
   * @param valueByteLimit size in bytes of the largest value that the state service accepts
   */
  public void enable(int transactionMemberLimit, int valueByteLimit) {
    this.maxMembers = Math.min(MAX_MEMBERS, transactionMemberLimit);
    this.maxBytes = valueByteLimit;
  }

  /** Upper bound of a job's bytes in a record's value, wherever its tasks are placed. */
  public static int reservedBytes(AttemptRecord attemptRecord) {
    JobSpec spec = attemptRecord.job.spec;
    return MEMBER_BYTES + spec.id().length() + ATTEMPT_BYTES * spec.tasks();
  }

  /** All shared records in memory or in the state service. */
  public Collection<SharedAttemptRecord> records() {
    return records;
  }

  /**
   * Assigns a job's attempts to a shared record if the job is eligible for sharing.
   *
   * @return true when the attempts belong into {@link AttemptRecord#sharedRecord}
   */
  public boolean assignRecord(AttemptRecord attemptRecord) {
    if (attemptRecord.sharedRecord != null) {
      return true;
    }
    JobSpec spec = attemptRecord.job.spec;
    if (attemptRecord.mayHaveOwnRecord
        || attemptRecord.version != 0
        || spec.tasks() > MAX_TASKS
        || spec.dependencies().isGated()
        || spec.service()) {
      return false;
    }
    int bytes = reservedBytes(attemptRecord);
    if (maxMembers == 0 || bytes > maxBytes) {
      return false;
    }
    if (openRecord == null
        || openRecord.members().size() >= maxMembers
        || openRecord.reservedBytes() + bytes > maxBytes) {
      openRecord = new SharedAttemptRecord(term + "-" + createdCount++, 0);
      records.add(openRecord);
    }
    openRecord.add(attemptRecord);
    return true;
  }

  /** True when a record must be written or deleted although no member has changed. */
  public boolean anyNeedsWrite() {
    for (SharedAttemptRecord sharedRecord : records) {
      if (sharedRecord.needsWrite()) {
        return true;
      }
    }
    return false;
  }

  /** Adds a record that an earlier leader wrote. */
  public SharedAttemptRecord restore(String name, long version) {
    SharedAttemptRecord sharedRecord = new SharedAttemptRecord(name, version);
    records.add(sharedRecord);
    return sharedRecord;
  }

  /** Adds a member that was read from a restored record. */
  public void restoreMember(SharedAttemptRecord sharedRecord, AttemptRecord attemptRecord) {
    sharedRecord.add(attemptRecord);
  }

  /** Removes a job that has no attempts left from its shared record. */
  void remove(AttemptRecord attemptRecord) {
    if (attemptRecord.sharedRecord != null) {
      attemptRecord.sharedRecord.remove(attemptRecord);
      removeIfUnused(attemptRecord.sharedRecord);
    }
  }

  /** Records that a shared record was written, or deleted (version 0). */
  public void markWritten(SharedAttemptRecord sharedRecord, long version) {
    sharedRecord.markWritten(version);
    removeIfUnused(sharedRecord);
  }

  /** Removes a record that has no members and is not in the state service. */
  private void removeIfUnused(SharedAttemptRecord sharedRecord) {
    if (sharedRecord.members().isEmpty() && sharedRecord.version == 0) {
      records.remove(sharedRecord);
      openRecord = openRecord == sharedRecord ? null : openRecord;
    }
  }
}
