package org.mallowroad.state;

import java.util.Locale;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.fold.BlockKey;

/**
 * The key schema of the state service: which record has which key. Prefixes end with a slash, so
 * that a list of one prefix holds records of one kind.
 */
public final class RecordKeys {
  /** Accepted jobs that are not over, by job. */
  public static final String OPEN_JOBS_PREFIX = "open/";

  /** Jobs that are over, by job; never deleted. */
  public static final String ENDED_JOBS_PREFIX = "end/";

  /** Attempts and done tasks of a part of a job's tasks, by job and part. */
  public static final String ATTEMPT_RECORDS_PREFIX = "run/";

  /** Attempts of several small jobs together ({@link SharedAttemptRecord}). */
  public static final String SHARED_ATTEMPT_RECORDS_PREFIX = "starts/";

  /** Rental requests whose machines are not all accounted for, by request name. */
  public static final String RENTALS_PREFIX = "hire/";

  /** Claimed and folded sides of a league's consecutive games, by league and block. */
  public static final String FOLD_BLOCKS_PREFIX = "fold/";

  /** Submissions whose games are being claimed in several transactions, by job. */
  public static final String FOLD_INTENTS_PREFIX = "intent/";

  /** Leagues on whose games dependencies are declared, by league. */
  public static final String LEAGUES_PREFIX = "league/";

  /** What jobs that are not over depend on, by job. */
  public static final String DEPENDENCIES_PREFIX = "held/";

  /**
   * Changes with each job with dependencies that is accepted, so that no two submissions close a
   * cycle at once.
   */
  public static final String DEPENDENCY_ORDER_KEY = "hold-order";

  /** Confirmations under which jobs with dependencies start, by job. */
  public static final String RELEASES_PREFIX = "release/";

  private RecordKeys() {}

  /** Key of a job's open record. */
  public static String openJob(String job) {
    return OPEN_JOBS_PREFIX + job;
  }

  /** The job of an open record's key. */
  public static String jobOfOpenJobKey(String key) {
    return key.substring(OPEN_JOBS_PREFIX.length());
  }

  /** Key of a job's end record. */
  public static String endedJob(String job) {
    return ENDED_JOBS_PREFIX + job;
  }

  /** Key of an attempt record that is the job's own. */
  public static String attemptRecord(AttemptRecord record) {
    return attemptRecordsPrefix(record.job.spec.id()) + record.index;
  }

  /** Prefix of a job's own attempt records. */
  public static String attemptRecordsPrefix(String job) {
    return ATTEMPT_RECORDS_PREFIX + job + "/";
  }

  /** The job of an attempt record's key. */
  public static String jobOfAttemptRecordKey(String key) {
    return key.substring(ATTEMPT_RECORDS_PREFIX.length(), key.lastIndexOf('/'));
  }

  /** The part of the job's tasks of an attempt record's key. */
  public static int indexOfAttemptRecordKey(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Key of an attempt record that small jobs share. */
  public static String sharedAttemptRecord(SharedAttemptRecord record) {
    return SHARED_ATTEMPT_RECORDS_PREFIX + record.name;
  }

  /** The name of a shared attempt record's key. */
  public static String nameOfSharedAttemptRecordKey(String key) {
    return key.substring(SHARED_ATTEMPT_RECORDS_PREFIX.length());
  }

  /** Key of a rental request. */
  public static String rental(String name) {
    return RENTALS_PREFIX + name;
  }

  /** Key of a block of games; numbers are padded so that blocks are listed in order. */
  public static String foldBlock(BlockKey k) {
    return FOLD_BLOCKS_PREFIX + k.league() + "/" + String.format(Locale.ROOT, "%07d", k.index());
  }

  /** The block of a key. */
  public static BlockKey blockOfFoldBlockKey(String key) {
    int slash = key.lastIndexOf('/');
    return new BlockKey(
        key.substring(FOLD_BLOCKS_PREFIX.length(), slash),
        Integer.parseInt(key.substring(slash + 1)));
  }

  /** Key of a job's intent to claim games. */
  public static String foldIntent(String job) {
    return FOLD_INTENTS_PREFIX + job;
  }

  /** Key of what a job depends on. */
  public static String dependencies(String job) {
    return DEPENDENCIES_PREFIX + job;
  }

  /** Key of the confirmation under which a job with dependencies starts. */
  public static String release(String job) {
    return RELEASES_PREFIX + job;
  }

  /** Key of a league's record. */
  public static String league(String league) {
    return LEAGUES_PREFIX + league;
  }

  /** True for a key of a league's record. */
  public static boolean isLeagueKey(String key) {
    return key.startsWith(LEAGUES_PREFIX);
  }
}
