package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Arrays;

/**
 * On a node that does not lead: whether a worker that reports here is sent on to the leader or its
 * report is carried there. A worker that the leader has served before and that comes here could not
 * reach the leader; neither could one that was sent on a moment ago and is back.
 *
 * <p>Carried workers are tried on the direct way again, one of each zone at a time; once the leader
 * hears a zone's workers itself, the others follow, a bounded number at a time. One that comes back
 * is kept twice as long.
 */
public final class HeartbeatRelay {
  /** Workers that are remembered; the oldest are forgotten, and begin anew. */
  static final int MOST = 4_000;

  /** Who is back after so long was not turned away by a cut of then. */
  private static final long BACK_MS = 20_000;

  private static final int MOST_DOUBLINGS = 3;

  /** A canary that has not come back after so long has found the direct way: 4 s, 1 s and a bit. */
  private static final long SETTLE_MS = 6_000;

  /** Workers of a zone that follow the canary in a second: no storm when a zone comes back. */
  private static final int FLOCK = 32;

  private final LinkPolicy policy;
  private final Object2ObjectLinkedOpenHashMap<String, Guest> guests =
      new Object2ObjectLinkedOpenHashMap<>();
  private final long[] canaryMs;
  private final long[] returnedMs;
  private final long[] flockMs;
  private final int[] flock;
  private long term = -1;
  private long carried;
  private long sentOn;

  private static final class Guest {
    private boolean carrying;
    private long sinceMs;
    private int returns;
  }

  /** For a number of zones. */
  public HeartbeatRelay(LinkPolicy policy, int zones) {
    this.policy = policy;
    this.canaryMs = new long[zones];
    this.returnedMs = new long[zones];
    this.flockMs = new long[zones];
    this.flock = new int[zones];
    Arrays.fill(canaryMs, Long.MIN_VALUE / 2);
    Arrays.fill(returnedMs, Long.MIN_VALUE / 2);
  }

  /**
   * True when the report is to be carried.
   *
   * @param fencingToken the highest that the worker has seen
   * @param leaderTerm the term of the leader it would be sent to
   * @param heardMs how long ago the leader, by its fresh row, heard this zone's workers itself; -1:
   *     never, or not known
   */
  public boolean carry(
      String machine, int zone, long fencingToken, long leaderTerm, long heardMs, long now) {
    if (leaderTerm != term) {
      // Another leader is another link.
      term = leaderTerm;
      guests.clear();
    }
    boolean served = leaderTerm > 0 && fencingToken >= leaderTerm;
    Guest g = guests.getAndMoveToLast(machine);
    if (g == null) {
      g = new Guest();
      g.sinceMs = now;
      g.carrying = served;
      guests.put(machine, g);
      if (guests.size() > MOST) {
        guests.removeFirst();
      }
    } else if (g.carrying) {
      if (now - g.sinceMs >= policy.holdMs() << g.returns && turn(zone, heardMs, now)) {
        g.carrying = false;
        g.sinceMs = now;
      }
    } else if (now - g.sinceMs < BACK_MS || served) {
      g.returns = now - g.sinceMs < BACK_MS ? Math.min(g.returns + 1, MOST_DOUBLINGS) : 0;
      g.carrying = true;
      g.sinceMs = now;
      if (zone >= 0 && zone < returnedMs.length) {
        returnedMs[zone] = now;
      }
    } else {
      g.sinceMs = now;
    }
    if (g.carrying) {
      carried++;
    } else {
      sentOn++;
    }
    return g.carrying;
  }

  /** Whether one more of the zone may try the direct way now. */
  private boolean turn(int zone, long heardMs, long now) {
    if (zone < 0 || zone >= canaryMs.length) {
      return true;
    }
    long out = now - canaryMs[zone];
    boolean closed = returnedMs[zone] >= canaryMs[zone];
    if (closed ? out >= policy.canaryMs() : out >= 2 * SETTLE_MS && heardMs < 0) {
      canaryMs[zone] = now;
      return true;
    }
    if (closed || out < SETTLE_MS || heardMs < 0 || heardMs > out) {
      return false;
    }
    if (now - flockMs[zone] >= 1_000) {
      flockMs[zone] = now;
      flock[zone] = 0;
    }
    return ++flock[zone] <= FLOCK;
  }

  /** Reports that were carried. */
  public long carried() {
    return carried;
  }

  /** Reports whose workers were sent on. */
  public long sentOn() {
    return sentOn;
  }

  /** Workers remembered. */
  public int size() {
    return guests.size();
  }
}
