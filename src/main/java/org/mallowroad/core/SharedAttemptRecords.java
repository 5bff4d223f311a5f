package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;

/**
 * Which small jobs share a record, so that starts of many jobs take one write, and so do the ends
 * of all of them: a record of its own costs a small job one write when it starts and one when it is
 * over.
 *
 * <p>A record takes new jobs until it is full, then another one does. It is written with each start
 * of a member, and deleted once no member is left: so services, which may run for years, have
 * records of their own, or shared ones could never be done without again. Jobs that are done stay
 * listed in it until it is written for another reason; whoever reads it ignores them, since their
 * end records say so.
 */
public final class SharedAttemptRecords {
  /** Jobs with more tasks have records of their own. */
  static final int MAX_TASKS = 4;

  /** Members of a record, where the limits of transactions and values allow so many. */
  public static final int MAX_MEMBERS = 24;

  /** Bytes of a member without its id and its attempts. */
  private static final int MEMBER_BYTES = 40;

  /** Bytes of an attempt on a machine of its own, with the machine's name, type and zone. */
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
   * New small jobs share records from now on; those that do already go on in any case. A record
   * that outgrew either bound could not be written any more.
   *
   * @param mostMembers members whose conditions fit into one transaction
   * @param mostBytes the largest value that the state service takes
   */
  public void enable(int mostMembers, int mostBytes) {
    this.maxMembers = Math.min(MAX_MEMBERS, mostMembers);
    this.maxBytes = mostBytes;
  }

  /** The most that a job can take of a record's value, wherever its tasks are placed. */
  public static int reservedBytes(AttemptRecord attemptRecord) {
    JobSpec spec = attemptRecord.job.spec;
    return MEMBER_BYTES + spec.id().length() + ATTEMPT_BYTES * spec.tasks();
  }

  /** All records that there are. */
  public Collection<SharedAttemptRecord> records() {
    return records;
  }

  /**
   * Assigns a job's attempts to a shared record, if it may share one.
   *
   * @return true when they are to be written into {@link AttemptRecord#sharedRecord}
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

  /** True when a record is to be written or deleted although no member of it has changed. */
  public boolean anyNeedsWrite() {
    for (SharedAttemptRecord sharedRecord : records) {
      if (sharedRecord.needsWrite()) {
        return true;
      }
    }
    return false;
  }

  /** A record that an earlier leader wrote. */
  public SharedAttemptRecord restore(String name, long version) {
    SharedAttemptRecord sharedRecord = new SharedAttemptRecord(name, version);
    records.add(sharedRecord);
    return sharedRecord;
  }

  /** A member of it was read from it. */
  public void restoreMember(SharedAttemptRecord sharedRecord, AttemptRecord attemptRecord) {
    sharedRecord.add(attemptRecord);
  }

  /** Nothing of the job is left. */
  void remove(AttemptRecord attemptRecord) {
    if (attemptRecord.sharedRecord != null) {
      attemptRecord.sharedRecord.remove(attemptRecord);
      removeIfUnused(attemptRecord.sharedRecord);
    }
  }

  /** The record was written or deleted. */
  public void markWritten(SharedAttemptRecord sharedRecord, long version) {
    sharedRecord.markWritten(version);
    removeIfUnused(sharedRecord);
  }

  /** Drops a record without members that is not in the state service any more. */
  private void removeIfUnused(SharedAttemptRecord sharedRecord) {
    if (sharedRecord.members().isEmpty() && sharedRecord.version == 0) {
      records.remove(sharedRecord);
      openRecord = openRecord == sharedRecord ? null : openRecord;
    }
  }
}
