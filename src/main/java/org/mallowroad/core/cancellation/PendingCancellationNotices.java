package org.mallowroad.core.cancellation;

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Whom a node still has to tell of which cancellations. A cancellation is final, so that whoever
 * hears of it may believe it, at any time and any number of times; nothing depends on its being
 * heard ({@link CancellationView} alone keeps the rule). Bounded in number and in time.
 *
 * <p>Not thread-safe; no clock of its own.
 */
public final class PendingCancellationNotices {
  /** Jobs that one peer has still to hear of; beyond, the oldest are left to the records. */
  public static final int MOST = 2_000;

  /** Jobs in one message: at 16 bytes an id far below what a peer's message may hold. */
  public static final int MOST_AT_ONCE = 500;

  private final long keepMs;
  private final List<Object2LongLinkedOpenHashMap<String>> untold = new ArrayList<>();
  private final boolean[] busy;

  /** For a number of peers; what nobody acknowledges for {@code keepMs} is let go. */
  public PendingCancellationNotices(int peers, long keepMs) {
    this.keepMs = keepMs;
    this.busy = new boolean[peers];
    for (int p = 0; p < peers; p++) {
      untold.add(new Object2LongLinkedOpenHashMap<>());
    }
  }

  /** This node learnt that a job is cancelled: every peer has to hear of it. */
  public void learnt(String job, long now) {
    for (int p = 0; p < untold.size(); p++) {
      learnt(p, job, now);
    }
  }

  /** The same for one peer alone. */
  public void learnt(int peer, String job, long now) {
    Object2LongLinkedOpenHashMap<String> of = untold.get(peer);
    of.putIfAbsent(job, now);
    if (of.size() > MOST) {
      of.removeFirstLong();
    }
  }

  /**
   * What to tell a peer now, one message at a time; empty for nothing. Each one taken is to be
   * {@link #answered}.
   */
  public List<String> take(int peer, long now) {
    Object2LongLinkedOpenHashMap<String> of = untold.get(peer);
    while (!of.isEmpty() && now - of.getLong(of.firstKey()) > keepMs) {
      of.removeFirstLong();
    }
    if (busy[peer] || of.isEmpty()) {
      return List.of();
    }
    busy[peer] = true;
    List<String> out = new ArrayList<>();
    for (Object2LongMap.Entry<String> e : of.object2LongEntrySet()) {
      if (out.size() >= MOST_AT_ONCE) {
        break;
      }
      out.add(e.getKey());
    }
    return out;
  }

  /** The message is over; what was not acknowledged is told again. */
  public void answered(int peer, List<String> jobs, boolean acknowledged) {
    busy[peer] = false;
    if (acknowledged) {
      jobs.forEach(untold.get(peer)::removeLong);
    }
  }

  /** How many are to be told to a peer. */
  public int untold(int peer) {
    return untold.get(peer).size();
  }
}
