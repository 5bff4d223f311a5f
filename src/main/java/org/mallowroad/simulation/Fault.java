package org.mallowroad.simulation;

/**
 * A fault that is injected for a period of virtual time.
 *
 * @param kind what fails
 * @param atMs when the fault begins, in milliseconds since the start of the run
 * @param forMs how long it lasts, in milliseconds
 * @param node index of the affected controller; -1: the leader at the time when the fault begins;
 *     -2: the controller after the leader
 * @param other index of the controller at the other end, for {@link Kind#CUT_PEER}
 * @param zone the affected zone, for the kinds that affect a zone
 * @param mode for cuts, a {@link Network.Mode} in lower case; for {@link Kind#CANCEL_NOW}, which
 *     jobs are cancelled and whether machines hang
 * @param direction which messages a cut affects; 0: both directions; 1: only those from the
 *     controller to the other party (from users to the controller for {@link Kind#CUT_USERS}); 2:
 *     only the opposite direction
 * @param count depends on the kind: a number of machines, controllers or jobs, a slowdown factor,
 *     or the rarity of the affected messages
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
    /** The link between a controller and the state service is cut. */
    CUT_STATE(true),
    /** The links between a controller and all workers are cut. */
    CUT_WORKERS(true),
    /** The link between two controllers is cut. */
    CUT_PEER(true),
    /** The link between a controller and the cloud is cut. */
    CUT_CLOUD(true),
    /** The link between users and a controller is cut. */
    CUT_USERS(true),
    /** The link between a controller and the state service goes down or up every 3 s. */
    FLAP_STATE(true),
    /** The links between a controller and all workers go down or up every 3 s. */
    FLAP_WORKERS(true),
    /** Every connection between two controllers is refused. */
    PEERS_REFUSED(true),
    /**
     * No controller reaches everything: {@code count} controllers, beginning with the chosen one,
     * are cut off from the state service, and all others from the workers.
     */
    NONE_WHOLE(true),
    /** A controller is cut off from the state service, the cloud and its peers. */
    ALONE(true),
    /** All links between a zone and the rest are cut; links inside the zone stay up. */
    CUT_ZONE(false),
    /** A controller's process ends and restarts after at most 3 s. */
    CRASH(false),
    /** A controller's process stops, then handles all events that it missed. */
    FREEZE(false),
    /**
     * Like {@link #FREEZE}, but the process stops between deciding on direct commands and sending
     * them: those that have not left it yet do so when it runs again. Every second time, what
     * workers sent in the last 1.5 s waits in its sockets. What it missed is handled in random
     * order.
     */
    FREEZE_WHILE_SENDING(false),
    /** All controllers crash and restart in turn, one every 6 s. */
    ROLL(false),
    /** The given number of machines fails for good. */
    DIE(false),
    /** The given number of workers stops, then handles all events that it missed. */
    HANG(false),
    /** The state service answers 503; when it is back, leases have their full time again. */
    STATE_OUT(false),
    /**
     * The state service is out for 1 to 2 s again and again, so that no lease of the controllers
     * expires.
     */
    STATE_FLAPS(false),
    /** The state service is slower by the factor {@code count}. */
    STATE_SLOW(false),
    /** The state service answers 503 to one controller only. */
    STATE_REFUSES(true),
    /** The cloud answers 503 to every call. */
    CLOUD_OUT(false),
    /** A controller ends and restarts within a second, repeatedly until the fault ends. */
    BACK(false),
    /** Like {@link #BACK}, but each time for the controller that leads then. */
    BACK_LEADERS(false),
    /** Like {@link #BACK}, for all controllers, each at its own random times. */
    BACK_ALL(false),
    /**
     * One in {@code 1 + count} delivered requests, except those of users, is delivered a second
     * time up to 60 s later.
     */
    COPIES(false),
    /** Reports of some machines arrive, but no answer or command reaches these machines. */
    DEAF(false),
    /** Like {@link #DEAF}, for all machines of a zone. */
    DEAF_ZONE(false),
    /**
     * A copy of one in {@code 1 + count} reports reaches a random controller 2 to 62 s later, that
     * is up to several leases.
     */
    LATE_REPORTS(false),
    /**
     * One in {@code 2 + count} transactions gets no answer and is executed 2 to 12 s later, after
     * newer ones.
     */
    LATE_WRITES(false),
    /**
     * A controller is cut off from the state service and its peers in both directions. It still
     * reaches workers, users and the cloud.
     */
    WORKERS_ONLY(true),
    /** The state service answers 429 to all list requests and serves all other calls. */
    LISTS_CROWDED(false),
    /** The state service answers 429 to all reads of the end records of jobs. */
    ENDS_CROWDED(false),
    /** Requests of some machines reach no controller, but direct commands reach them. */
    MUTE(false),
    /**
     * Users cancel {@code count} running jobs with long tasks within 200 ms. With mode {@code
     * hang}, up to eight of their machines hang while the fault lasts. With mode {@code fetch}, the
     * cancelled jobs are ones whose tasks still fetch their image.
     */
    CANCEL_NOW(false),
    /** One in {@code count} jobs is cancelled, queried and resubmitted as its last task ends. */
    CANCEL_AT_END(false),
    /** Users resubmit jobs, cancel ended jobs and submit jobs with an invalid field. */
    ODD_REQUESTS(false),
    /**
     * One in {@code 2 + count} direct commands gets no answer and is executed once, 2 to 16 s
     * later.
     */
    LATE_COMMANDS(false),
    /** One in {@code 2 + count} transactions is executed at once, but its answer is lost. */
    ANSWERS_LOST(false),
    /**
     * A copy of one in {@code 1 + count} reports is stored until a new leader term begins and then
     * reaches every controller.
     */
    REPORTS_FOR_NEXT(false),
    /**
     * Right after each accepted submission, end and cancellation of a job, users query it on all
     * controllers, resubmit it on some and, after some submissions, cancel it.
     */
    CLOSE_LOOKS(false),
    /**
     * One in {@code 1 + count} responses to workers' reports is delayed by up to 3.8 s, while
     * direct commands and their answers overtake it.
     */
    DELAYED_RESPONSES(false),
    /**
     * {@code count} machines restart under their names, each at a random moment, and are back
     * within a second with incarnation 1, fencing token 0 and no tasks.
     */
    MACHINES_BACK(false),
    /** New machines boot within 2 s. */
    QUICK_BOOTS(false),
    /** Users submit {@code count} one-task jobs a second and cancel a quarter of them. */
    SINGLE_JOBS(false);

    /** Whether the affected controllers keep some of their links. */
    public final boolean partial;

    Kind(boolean partial) {
      this.partial = partial;
    }
  }

  /** Creates a fault that concerns no particular controller, zone or link. */
  static Fault ofCluster(Kind kind, long atMs, long forMs, int count) {
    return new Fault(kind, atMs, forMs, 0, 0, Scenario.ZONES.get(0), "", 0, count);
  }

  /** Returns a copy with another duration in milliseconds. */
  public Fault withDuration(long newForMs) {
    return new Fault(kind, atMs, newForMs, node, other, zone, mode, direction, count);
  }
}
