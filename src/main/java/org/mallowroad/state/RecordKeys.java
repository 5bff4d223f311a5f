package org.mallowroad.state;

import java.util.Locale;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.fold.BlockKey;

/**
 * The key schema of the records in the state service. Prefixes end with a slash, so that listing a
 * prefix returns records of one kind only.
 */
public final class RecordKeys {
  /** Prefix of the open records: accepted jobs that have not ended, by job ID. */
  public static final String OPEN_JOBS_PREFIX = "open/";

  /** Prefix of the end records: ended jobs, by job ID. These records are never deleted. */
  public static final String ENDED_JOBS_PREFIX = "end/";

  /**
   * Prefix of the attempt records: attempts and completed tasks of one range of a job's tasks, by
   * job ID and range index.
   */
  public static final String ATTEMPT_RECORDS_PREFIX = "run/";

  /**
   * Prefix of the shared attempt records, each of which holds the attempts of several small jobs
   * ({@link SharedAttemptRecord}).
   */
  public static final String SHARED_ATTEMPT_RECORDS_PREFIX = "starts/";

  /**
   * Prefix of the rental requests, by request name. A request is kept until each of its machines
   * has sent a heartbeat or is gone.
   */
  public static final String RENTALS_PREFIX = "hire/";

  /**
   * Prefix of the blocks of a league's consecutive games, by league and block. A block records
   * which sides of its games are claimed and which are folded.
   */
  public static final String FOLD_BLOCKS_PREFIX = "fold/";

  /**
   * Prefix of the claim intents, by job ID: submissions that need several transactions to claim
   * their games.
   */
  public static final String FOLD_INTENTS_PREFIX = "intent/";

  /** Prefix of the records of leagues whose games are named by job dependencies, by league. */
  public static final String LEAGUES_PREFIX = "league/";

  /** Prefix of the dependencies of jobs that have not ended, by job ID. */
  public static final String DEPENDENCIES_PREFIX = "held/";

  /**
   * Key that is rewritten whenever a job with dependencies is accepted, so that two concurrent
   * submissions cannot together create a dependency cycle.
   */
  public static final String DEPENDENCY_ORDER_KEY = "hold-order";

  /**
   * Prefix of the release records, which confirm that jobs with dependencies may start, by job ID.
   */
  public static final String RELEASES_PREFIX = "release/";

  private RecordKeys() {}

  /** Returns the key of a job's open record. */
  public static String openJob(String job) {
    return OPEN_JOBS_PREFIX + job;
  }

  /** Returns the job ID in the key of an open record. */
  public static String jobOfOpenJobKey(String key) {
    return key.substring(OPEN_JOBS_PREFIX.length());
  }

  /** Returns the key of a job's end record. */
  public static String endedJob(String job) {
    return ENDED_JOBS_PREFIX + job;
  }

  /** Returns the key of an attempt record that belongs to a single job. */
  public static String attemptRecord(AttemptRecord record) {
    return attemptRecordsPrefix(record.job.spec.id()) + record.index;
  }

  /** Returns the key prefix of the attempt records that belong to a single job. */
  public static String attemptRecordsPrefix(String job) {
    return ATTEMPT_RECORDS_PREFIX + job + "/";
  }

  /** Returns the job ID in the key of an attempt record. */
  public static String jobOfAttemptRecordKey(String key) {
    return key.substring(ATTEMPT_RECORDS_PREFIX.length(), key.lastIndexOf('/'));
  }

  /** Returns the index of the task range in the key of an attempt record. */
  public static int indexOfAttemptRecordKey(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Returns the key of an attempt record that several small jobs share. */
  public static String sharedAttemptRecord(SharedAttemptRecord record) {
    return SHARED_ATTEMPT_RECORDS_PREFIX + record.name;
  }

  /** Returns the record name in the key of a shared attempt record. */
  public static String nameOfSharedAttemptRecordKey(String key) {
    return key.substring(SHARED_ATTEMPT_RECORDS_PREFIX.length());
  }

  /** Returns the key of a rental request. */
  public static String rental(String name) {
    return RENTALS_PREFIX + name;
  }

  /**
   * Returns the key of a block of games. Block numbers are zero-padded so that blocks are listed in
   * numerical order.
   */
  public static String foldBlock(BlockKey blockKey) {
    return FOLD_BLOCKS_PREFIX
        + blockKey.league()
        + "/"
        + String.format(Locale.ROOT, "%07d", blockKey.index());
  }

  /** Returns the block that a key of a block record names. */
  public static BlockKey blockOfFoldBlockKey(String key) {
    int slash = key.lastIndexOf('/');
    return new BlockKey(
        key.substring(FOLD_BLOCKS_PREFIX.length(), slash),
        Integer.parseInt(key.substring(slash + 1)));
  }

  /** Returns the key of a job's claim intent. */
  public static String foldIntent(String job) {
    return FOLD_INTENTS_PREFIX + job;
  }

  /** Returns the key of a job's dependencies. */
  public static String dependencies(String job) {
    return DEPENDENCIES_PREFIX + job;
  }

  /** Returns the key of the release record of a job with dependencies. */
  public static String release(String job) {
    return RELEASES_PREFIX + job;
  }

  /** Returns the key of a league's record. */
  public static String league(String league) {
    return LEAGUES_PREFIX + league;
  }

  /** Returns whether a key belongs to a league's record. */
  public static boolean isLeagueKey(String key) {
    return key.startsWith(LEAGUES_PREFIX);
  }
}
