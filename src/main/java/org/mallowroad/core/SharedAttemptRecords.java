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
  /** Jobs of more tasks have records of their own. */
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
  public static int reservedBytes(AttemptRecord c) {
    JobSpec s = c.job.spec;
    return MEMBER_BYTES + s.id().length() + ATTEMPT_BYTES * s.tasks();
  }

  /** All records that there are. */
  public Collection<SharedAttemptRecord> records() {
    return records;
  }

  /** True when the chunk is to be written into a shared record, which it has from then on. */
  public boolean assignRecord(AttemptRecord c) {
    if (c.sharedRecord != null) {
      return true;
    }
    JobSpec s = c.job.spec;
    if (c.mayHaveOwnRecord
        || c.version != 0
        || s.tasks() > MAX_TASKS
        || s.dependencies().isGated()
        || s.service()) {
      return false;
    }
    int bytes = reservedBytes(c);
    if (maxMembers == 0 || bytes > maxBytes) {
      return false;
    }
    if (openRecord == null
        || openRecord.members().size() >= maxMembers
        || openRecord.reservedBytes() + bytes > maxBytes) {
      openRecord = new SharedAttemptRecord(term + "-" + createdCount++, 0);
      records.add(openRecord);
    }
    openRecord.add(c);
    return true;
  }

  /** True when a record is to be written or deleted although no member of it has changed. */
  public boolean anyNeedsWrite() {
    for (SharedAttemptRecord r : records) {
      if (r.needsWrite()) {
        return true;
      }
    }
    return false;
  }

  /** A record that an earlier leader wrote. */
  public SharedAttemptRecord restore(String name, long version) {
    SharedAttemptRecord r = new SharedAttemptRecord(name, version);
    records.add(r);
    return r;
  }

  /** A member of it was read from it. */
  public void restoreMember(SharedAttemptRecord r, AttemptRecord c) {
    r.add(c);
  }

  /** Nothing of the job is left. */
  void remove(AttemptRecord c) {
    if (c.sharedRecord != null) {
      c.sharedRecord.remove(c);
      removeIfUnused(c.sharedRecord);
    }
  }

  /** The record was written or deleted. */
  public void markWritten(SharedAttemptRecord r, long version) {
    r.markWritten(version);
    removeIfUnused(r);
  }

  /** A record that nobody needs and that is not there any more is forgotten. */
  private void removeIfUnused(SharedAttemptRecord r) {
    if (r.members().isEmpty() && r.version == 0) {
      records.remove(r);
      openRecord = openRecord == r ? null : openRecord;
    }
  }
}
