package org.mallowroad.simulation;

/**
 * Something that fails for a while.
 *
 * @param kind what fails
 * @param atMs when it begins
 * @param forMs how long it lasts
 * @param node the controller concerned; -1: whoever leads when it begins; -2: the next
 * @param other the other controller
 * @param zone the zone concerned; empty for none
 * @param mode what a cut does with messages
 * @param direction 0: both ways; 1: only towards the party; 2: only back from it
 * @param count how many machines or controllers, or how many times slower
 */
public record Fault(
    Kind kind,
    long atMs,
    long forMs,
    int node,
    int other,
    String zone,
    String mode,
    int direction,
    int count) {
  /** Kinds of faults. */
  public enum Kind {
    CUT_STATE(true),
    CUT_WORKERS(true),
    CUT_PEER(true),
    CUT_CLOUD(true),
    CUT_USERS(true),
    FLAP_STATE(true),
    FLAP_WORKERS(true),
    PEERS_REFUSED(true),
    NONE_WHOLE(true),
    /** Workers and users are all that it reaches: no state, no cloud, no peer. */
    ALONE(true),
    CUT_ZONE(false),
    CRASH(false),
    FREEZE(false),
    ROLL(false),
    DIE(false),
    HANG(false),
    STATE_OUT(false),
    STATE_SLOW(false),
    STATE_REFUSES(true),
    CLOUD_OUT(false),
    /** It ends and is back within a second, again and again while it lasts. */
    BACK(false),
    /** The same of whoever leads each time. */
    BACK_LEADERS(false),
    /** The same of all controllers, each in its own time. */
    BACK_ALL(false),
    /** Requests that were delivered come once more, up to a minute later. */
    COPIES(false),
    /** Of some machines reports arrive, and no answer or order gets back to them. */
    DEAF(false),
    /** The same of a zone's machines. */
    DEAF_ZONE(false),
    /** Copies of reports come late, to any controller, up to several leases later. */
    LATE_REPORTS(false),
    /** Transactions get no answer and are carried out seconds later, after newer ones. */
    LATE_WRITES(false),
    /** State service and peers are lost, not the workers, the users and the cloud. */
    WORKERS_ONLY(true),
    /** Listings get 429, whoever asks; all other calls to the state service are served. */
    LISTS_CROWDED(false),
    /** Readings of how jobs ended get 429, whoever asks. */
    ENDS_CROWDED(false),
    /** Some machines reach no controller, while direct orders reach them. */
    MUTE(false),
    /**
     * Users cancel jobs that run and have long to go, all at once; with mode {@code hang} up to
     * eight of their machines hang for that long, with {@code fetch} it is jobs whose tasks wait
     * for their image.
     */
    CANCEL_NOW(false),
    /** Jobs that end are cancelled, asked about and submitted again at the moment of their end. */
    CANCEL_AT_END(false),
    /** Submissions repeated, done jobs cancelled, jobs that fit nothing or lack a field. */
    ODD_REQUESTS(false),
    /** Direct commands get no answer and are carried out once, 2 to 16 s late. */
    LATE_COMMANDS(false),
    /** Transactions are carried out at once, and only their answers are lost. */
    ANSWERS_LOST(false),
    /** Copies of reports are kept until another controller leads, and then reach every one. */
    REPORTS_FOR_NEXT(false),
    /** Users ask at all nodes, repeat and cancel right after each accept, end and cancellation. */
    CLOSE_LOOKS(false),
    /** New machines are up within two seconds. */
    QUICK_BOOTS(false),
    /** A burst of one-task jobs, {@code count} a second, a quarter of them cancelled. */
    SINGLE_JOBS(false);

    /** True when it leaves some links of a controller up. */
    public final boolean partial;

    Kind(boolean partial) {
      this.partial = partial;
    }
  }

  /** The same at another time and for another while. */
  public Fault withDuration(long ms) {
    return new Fault(kind, atMs, ms, node, other, zone, mode, direction, count);
  }
}
