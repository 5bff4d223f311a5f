package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Arrays;

/**
 * Decides on a node that does not lead whether a worker that sends its heartbeat here is redirected
 * to the leader, or its heartbeat is relayed there.
 *
 * <p>A worker that the leader has served before and that comes here could not reach the leader;
 * neither could one that was redirected a moment ago and is back. Their heartbeats are relayed.
 *
 * <p>Relayed workers are redirected again as a trial, one of each zone at a time (the canary). Once
 * the leader receives heartbeats of the zone directly the others follow, a bounded number each
 * second. A worker that comes back is relayed for twice as long.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class HeartbeatRelay {
  /** Most workers that are tracked; beyond, the one that reported longest ago is forgotten. */
  static final int MAX_WORKERS = 4_000;

  /** A worker that comes back later than this after its redirection is treated as a new one. */
  private static final long RETURN_WINDOW_MS = 20_000;

  /** The relay time is doubled this many times at the most. */
  private static final int MAX_DOUBLINGS = 3;

  /**
   * A canary that has not come back after this time reaches the leader: its heartbeat's time-out of
   * 4 s, a retry after 1 s, and a margin.
   */
  private static final long CANARY_SETTLE_MS = 6_000;

  /** Workers of a zone that follow the canary each second, so that they do not come at once. */
  private static final int MAX_FOLLOWERS_PER_SECOND = 32;

  private static final long SECOND_MS = 1_000;

  private final LinkPolicy policy;

  /** The tracked workers by machine, the one that reported longest ago first. */
  private final Object2ObjectLinkedOpenHashMap<String, Worker> workers =
      new Object2ObjectLinkedOpenHashMap<>();

  // The arrays below are indexed by zone.
  private final long[] canarySentMs;
  private final long[] lastReturnMs;
  private final long[] followerSecondMs;
  private final int[] followers;
  private long term = -1;
  private long relayedCount;
  private long redirectedCount;

  /** A worker that sends its heartbeats here, relayed or redirected since {@code sinceMs}. */
  private static final class Worker {
    private boolean relayed;
    private long sinceMs;
    private int returns;
  }

  /** Creates the relay of a node, for that many zones. */
  public HeartbeatRelay(LinkPolicy policy, int zones) {
    this.policy = policy;
    this.canarySentMs = new long[zones];
    this.lastReturnMs = new long[zones];
    this.followerSecondMs = new long[zones];
    this.followers = new int[zones];
    Arrays.fill(canarySentMs, Long.MIN_VALUE / 2);
    Arrays.fill(lastReturnMs, Long.MIN_VALUE / 2);
  }

  /**
   * Decides on one heartbeat: true when it is to be relayed, false when its worker is to be
   * redirected.
   *
   * @param zone index of the worker's zone, or -1 when it is unknown
   * @param fencingToken the highest that the worker has seen
   * @param leaderTerm the term of the leader that it would be sent to
   * @param leaderContactMs age of the last heartbeat that the leader received directly from this
   *     zone, by its fresh advertisement; -1 for none or unknown
   */
  public boolean shouldRelay(
      String machine,
      int zone,
      long fencingToken,
      long leaderTerm,
      long leaderContactMs,
      long now) {
    if (leaderTerm != term) {
      // Another leader is reached over another link.
      term = leaderTerm;
      workers.clear();
    }
    boolean servedByLeader = leaderTerm > 0 && fencingToken >= leaderTerm;
    Worker worker = workers.getAndMoveToLast(machine);
    if (worker == null) {
      worker = track(machine, servedByLeader, now);
    } else if (worker.relayed) {
      long holdMs = policy.relayHoldMs() << worker.returns;
      if (now - worker.sinceMs >= holdMs && mayTryDirect(zone, leaderContactMs, now)) {
        worker.relayed = false;
        worker.sinceMs = now;
      }
    } else {
      cameBack(worker, zone, servedByLeader, now);
    }
    if (worker.relayed) {
      relayedCount++;
    } else {
      redirectedCount++;
    }
    return worker.relayed;
  }

  private Worker track(String machine, boolean relayed, long now) {
    Worker worker = new Worker();
    worker.sinceMs = now;
    worker.relayed = relayed;
    workers.put(machine, worker);
    if (workers.size() > MAX_WORKERS) {
      workers.removeFirst();
    }
    return worker;
  }

  /** A worker that was redirected sends its heartbeat here again. */
  private void cameBack(Worker worker, int zone, boolean servedByLeader, long now) {
    boolean soon = now - worker.sinceMs < RETURN_WINDOW_MS;
    worker.sinceMs = now;
    if (!soon && !servedByLeader) {
      return;
    }
    worker.returns = soon ? Math.min(worker.returns + 1, MAX_DOUBLINGS) : 0;
    worker.relayed = true;
    if (zone >= 0 && zone < lastReturnMs.length) {
      lastReturnMs[zone] = now;
    }
  }

  /** Whether one more worker of the zone may try the direct path now, as canary or follower. */
  private boolean mayTryDirect(int zone, long leaderContactMs, long now) {
    if (zone < 0 || zone >= canarySentMs.length) {
      return true;
    }
    long canaryAgeMs = now - canarySentMs[zone];
    boolean canaryReturned = lastReturnMs[zone] >= canarySentMs[zone];
    boolean canaryDue =
        canaryReturned
            ? canaryAgeMs >= policy.canaryIntervalMs()
            : canaryAgeMs >= 2 * CANARY_SETTLE_MS && leaderContactMs < 0;
    if (canaryDue) {
      canarySentMs[zone] = now;
      return true;
    }
    boolean leaderHeardCanary = leaderContactMs >= 0 && leaderContactMs <= canaryAgeMs;
    if (canaryReturned || canaryAgeMs < CANARY_SETTLE_MS || !leaderHeardCanary) {
      return false;
    }
    if (now - followerSecondMs[zone] >= SECOND_MS) {
      followerSecondMs[zone] = now;
      followers[zone] = 0;
    }
    return ++followers[zone] <= MAX_FOLLOWERS_PER_SECOND;
  }

  /** Number of heartbeats that were relayed. */
  public long relayedCount() {
    return relayedCount;
  }

  /** Number of heartbeats whose workers were redirected. */
  public long redirectedCount() {
    return redirectedCount;
  }

  /** Number of workers that are tracked. */
  public int trackedWorkerCount() {
    return workers.size();
  }
}
