package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntList;

/**
 * Which way calls to one outside party go: straight, or through a peer that reaches it.
 *
 * <p>Straight while the newest sign of the direct way is good, and also when no peer is known to be
 * better off, since then nothing is gained: an outage looks the same from everywhere. The way back
 * needs the direct way to have worked for a while, twice as long after each relapse within a
 * minute, so that a link that is up and down every few seconds does not drag the calls to and fro.
 */
public final class RouteSelector {
  /** The direct way. */
  public static final int DIRECT = -1;

  private static final long PROBE_MS = 500;
  private static final long RELAPSE_MS = 60_000;
  private static final int MOST_DOUBLINGS = 4;

  private final LinkStateTable links;
  private final ExternalService party;
  private boolean astray;
  private int via = DIRECT;
  private long goodSinceMs = -1;
  private long probedMs = Long.MIN_VALUE / 2;
  private long astrayMs = Long.MIN_VALUE / 2;
  private int relapses;
  private long turns;
  private long detours;

  /** For calls to a party. */
  public RouteSelector(LinkStateTable links, ExternalService party) {
    this.links = links;
    this.party = party;
  }

  /** The way for a call that is sent now: {@link #DIRECT} or a peer. */
  public int choose(long now) {
    if (!astray) {
      return DIRECT;
    }
    int chosen = via != DIRECT && links.reaches(via, party, now) ? via : other(via, now);
    if (chosen != via) {
      via = chosen;
      turns++;
    }
    return chosen;
  }

  /** A peer for a second try beside a call that has no answer yet; {@link #DIRECT} for none. */
  public int beside(long now) {
    return astray ? DIRECT : other(DIRECT, now);
  }

  /** A peer that reaches the party, not the given one where there is another. */
  private int other(int not, long now) {
    IntList all = links.reaching(party, now);
    if (all.isEmpty()) {
      return DIRECT;
    }
    for (int p : all) {
      // The next one round, so that not all nodes go through the same.
      if (p > not) {
        return p;
      }
    }
    return all.getInt(0);
  }

  /** A call went straight and was done, or was not. */
  public void direct(boolean worked, long sentMs, long now) {
    links.used(party, worked, sentMs, now);
    if (!worked) {
      goodSinceMs = -1;
      if (!astray && links.down(party)) {
        relapses = now - astrayMs < RELAPSE_MS ? Math.min(relapses + 1, MOST_DOUBLINGS) : 0;
        astray = true;
        astrayMs = now;
        turns++;
      }
    } else if (astray && !links.down(party)) {
      if (goodSinceMs < 0) {
        goodSinceMs = now;
      }
      if (via == DIRECT || now - goodSinceMs >= links.policy().steadyMs() << relapses) {
        astray = false;
        astrayMs = now;
        via = DIRECT;
        turns++;
      }
    }
  }

  /** A call through a peer was done, or the peer could not. */
  public void through(int peer, boolean worked, long now) {
    if (worked) {
      detours++;
    } else if (astray && peer == via) {
      via = other(via, now);
      turns++;
    }
  }

  /** True when the direct way is to be tried now: nothing else shows that it works again. */
  public boolean probeDue(long now) {
    if (!astray || now - probedMs < PROBE_MS) {
      return false;
    }
    probedMs = now;
    return true;
  }

  /** True while calls do not go straight, or would not if a peer were known. */
  public boolean astray() {
    return astray;
  }

  /** The peer that calls go through, or {@link #DIRECT}. */
  public int via() {
    return via;
  }

  /** Rises with each change of the way: what still waits on the old one is given up. */
  public long turns() {
    return turns;
  }

  /** Calls that were done by way of a peer. */
  public long detours() {
    return detours;
  }
}
