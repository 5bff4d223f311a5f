package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Arrays;

/**
 * Decides, on a node that is not the leader, whether a worker that sends its heartbeat to this node
 * is redirected to the leader or has its heartbeat relayed there.
 *
 * <p>A worker evidently cannot reach the leader when it has been served by the leader before and
 * now reports to this node, or when it was redirected a moment ago and has returned. The heartbeats
 * of such workers are relayed.
 *
 * <p>Relayed workers are later redirected as a trial, one per zone at a time (the canary). Once the
 * leader receives heartbeats from the zone directly, the other workers of the zone are redirected
 * as well, a bounded number per second. A worker that returns is relayed for twice as long as
 * before.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class HeartbeatRelay {
  /** Maximum number of tracked workers; the least recently reporting one is evicted. */
  static final int MAX_WORKERS = 4_000;

  /**
   * A worker that returns later than this after its redirection, in ms, is treated like a new one.
   */
  private static final long RETURN_WINDOW_MS = 20_000;

  /** Maximum number of times that the relay time of a worker is doubled. */
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Time in ms after which a canary that has not returned is assumed to reach the leader: the 4 s
   * timeout of its heartbeat, a retry after 1 s, and a margin.
   */
  private static final long CANARY_SETTLE_MS = 6_000;

  /**
   * Maximum number of workers of a zone that are redirected per second after the canary, so that
   * the leader does not get the heartbeats of a whole zone at once.
   */
  private static final int MAX_FOLLOWERS_PER_WINDOW = 32;

  private static final long FOLLOWER_WINDOW_MS = 1_000;

  private final LinkPolicy policy;

  /** The tracked workers by machine name, the least recently reporting one first. */
  private final Object2ObjectLinkedOpenHashMap<String, TrackedWorker> workers =
      new Object2ObjectLinkedOpenHashMap<>();

  // The arrays below are indexed by zone.
  private final long[] canarySentMs;
  private final long[] lastReturnMs;
  private final long[] followerWindowStartMs;
  private final int[] followersInWindow;
  private long currentTerm = -1;
  private long relayedCount;
  private long redirectedCount;

  /**
   * A worker that sends its heartbeats to this node. It was last redirected, or has been relayed,
   * since {@code sinceMs}.
   */
  private static final class TrackedWorker {
    private boolean relayed;
    private long sinceMs;
    private int returnCount;
  }

  /** Creates the relay decisions of a node, for the given number of zones. */
  public HeartbeatRelay(LinkPolicy policy, int zoneCount) {
    this.policy = policy;
    this.canarySentMs = new long[zoneCount];
    this.lastReturnMs = new long[zoneCount];
    this.followerWindowStartMs = new long[zoneCount];
    this.followersInWindow = new int[zoneCount];
    Arrays.fill(canarySentMs, Long.MIN_VALUE / 2);
    Arrays.fill(lastReturnMs, Long.MIN_VALUE / 2);
  }

  /**
   * Decides about one heartbeat: true when it must be relayed, false when its worker must be
   * redirected.
   *
   * @param machine name of the worker's machine
   * @param zone index of the worker's zone, or -1 when it is unknown
   * @param fencingToken the highest fencing token that the worker has seen
   * @param leaderTerm the term of the leader
   * @param leaderContactMs age in ms of the last heartbeat that the leader received directly from
   *     this zone, according to its fresh advertisement; -1 for none or unknown
   */
  public boolean shouldRelay(
      String machine,
      int zone,
      long fencingToken,
      long leaderTerm,
      long leaderContactMs,
      long now) {
    if (leaderTerm != currentTerm) {
      // The route to the previous leader says nothing about the route to the new one.
      currentTerm = leaderTerm;
      workers.clear();
    }
    boolean servedByLeader = leaderTerm > 0 && fencingToken >= leaderTerm;
    TrackedWorker worker = workers.getAndMoveToLast(machine);
    if (worker == null) {
      worker = track(machine, servedByLeader, now);
    } else if (worker.relayed) {
      long holdMs = policy.relayHoldMs() << worker.returnCount;
      if (now - worker.sinceMs >= holdMs && canTryDirectPath(zone, leaderContactMs, now)) {
        worker.relayed = false;
        worker.sinceMs = now;
      }
    } else {
      recordReturn(worker, zone, servedByLeader, now);
    }
    if (worker.relayed) {
      relayedCount++;
    } else {
      redirectedCount++;
    }
    return worker.relayed;
  }

  private TrackedWorker track(String machine, boolean relayed, long now) {
    TrackedWorker worker = new TrackedWorker();
    worker.sinceMs = now;
    worker.relayed = relayed;
    workers.put(machine, worker);
    if (workers.size() > MAX_WORKERS) {
      workers.removeFirst();
    }
    return worker;
  }

  /** Handles the heartbeat of a worker that was redirected and reports to this node again. */
  private void recordReturn(TrackedWorker worker, int zone, boolean servedByLeader, long now) {
    boolean returnedSoon = now - worker.sinceMs < RETURN_WINDOW_MS;
    worker.sinceMs = now;
    if (!returnedSoon && !servedByLeader) {
      return;
    }
    worker.returnCount = returnedSoon ? Math.min(worker.returnCount + 1, MAX_DOUBLINGS) : 0;
    worker.relayed = true;
    if (zone >= 0 && zone < lastReturnMs.length) {
      lastReturnMs[zone] = now;
    }
  }

  /**
   * Decides whether one more worker of the zone may be redirected to the leader now, either as the
   * canary or after a successful canary.
   */
  private boolean canTryDirectPath(int zone, long leaderContactMs, long now) {
    if (zone < 0 || zone >= canarySentMs.length) {
      return true;
    }
    long canaryAgeMs = now - canarySentMs[zone];
    boolean hasCanaryReturned = lastReturnMs[zone] >= canarySentMs[zone];
    boolean isCanaryDue =
        hasCanaryReturned
            ? canaryAgeMs >= policy.canaryIntervalMs()
            : canaryAgeMs >= 2 * CANARY_SETTLE_MS && leaderContactMs < 0;
    if (isCanaryDue) {
      canarySentMs[zone] = now;
      return true;
    }
    boolean hasLeaderReceivedCanary = leaderContactMs >= 0 && leaderContactMs <= canaryAgeMs;
    if (hasCanaryReturned || canaryAgeMs < CANARY_SETTLE_MS || !hasLeaderReceivedCanary) {
      return false;
    }
    if (now - followerWindowStartMs[zone] >= FOLLOWER_WINDOW_MS) {
      followerWindowStartMs[zone] = now;
      followersInWindow[zone] = 0;
    }
    return ++followersInWindow[zone] <= MAX_FOLLOWERS_PER_WINDOW;
  }

  /** Number of heartbeats so far that were relayed. */
  public long relayedCount() {
    return relayedCount;
  }

  /** Number of heartbeats so far whose workers were redirected. */
  public long redirectedCount() {
    return redirectedCount;
  }

  /** Number of currently tracked workers. */
  public int trackedWorkerCount() {
    return workers.size();
  }
}
