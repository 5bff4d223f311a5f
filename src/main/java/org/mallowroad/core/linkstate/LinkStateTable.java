package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * All links that a node knows of: its own from its own traffic, the others' from the rows that they
 * send. Peers and zones are dense indices here; what a row says about names that this node does not
 * know is left out.
 */
public final class LinkStateTable {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Changes that wait to be logged; more are counted only. */
  private static final int MOST_CHANGES = 64;

  private final LinkPolicy policy;
  private final String node;
  private final List<String> peers;
  private final List<String> zones;
  private long started;
  private final Link[] outside = new Link[ExternalService.values().length];
  private final Link[] toPeer;
  private final long[] directMs;
  private final long[] carriedMs;
  private final LinkStateAdvertisement[] rows;
  private final long[] rowMs;
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long leftOut;
  private long sequence;

  /**
   * A link went down or came up.
   *
   * @param by by whose word
   * @param sinceMs how long it had been as it was before
   */
  public record Change(String from, String to, boolean down, long sinceMs, String by) {}

  /** The links of a node that began at {@code started} by the time of day. */
  public LinkStateTable(
      LinkPolicy policy,
      String node,
      List<String> peers,
      List<String> zones,
      long started,
      long now) {
    this.policy = policy;
    this.node = node;
    this.peers = List.copyOf(peers);
    this.zones = List.copyOf(zones);
    this.started = started;
    Arrays.setAll(outside, i -> new Link(now));
    this.toPeer = new Link[peers.size()];
    Arrays.setAll(toPeer, i -> new Link(now));
    this.directMs = new long[zones.size()];
    this.carriedMs = new long[zones.size()];
    Arrays.fill(directMs, NEVER);
    Arrays.fill(carriedMs, NEVER);
    this.rows = new LinkStateAdvertisement[peers.size()];
    this.rowMs = new long[peers.size()];
  }

  /** The operators' values. */
  public LinkPolicy policy() {
    return policy;
  }

  /** Index of a peer, or -1. */
  public int peer(String name) {
    return peers.indexOf(name);
  }

  /** Name of a peer. */
  public String peerName(int peer) {
    return peers.get(peer);
  }

  /** How many peers there are. */
  public int peerCount() {
    return peers.size();
  }

  /** A call of this node to an outside party went its own way and worked, or did not. */
  public void used(ExternalService party, boolean worked, long sentMs, long now) {
    note(
        outside[party.ordinal()],
        party.name().toLowerCase(java.util.Locale.ROOT),
        worked,
        sentMs,
        now);
  }

  /** A message to a peer was answered, or not. */
  public void usedPeer(int peer, boolean worked, long sentMs, long now) {
    note(toPeer[peer], peers.get(peer), worked, sentMs, now);
  }

  private void note(Link link, String to, boolean worked, long sentMs, long now) {
    long before = link.changedMs();
    if (worked ? link.ok(sentMs, now) : link.failed(sentMs, now)) {
      changed(new Change(node, to, !worked, now - before, node));
    }
  }

  /** A worker's report came, by itself or carried by a peer. */
  public void heard(int zone, boolean direct, long now) {
    if (zone >= 0 && zone < directMs.length) {
      (direct ? directMs : carriedMs)[zone] = now;
    }
  }

  /** A peer's row came; false when it is of an unknown node or older than what is known. */
  public boolean row(LinkStateAdvertisement row, long now) {
    int p = peer(row.node());
    if (p < 0 || (rows[p] != null && !row.newer(rows[p]))) {
      return false;
    }
    LinkStateAdvertisement old = rows[p];
    if (old != null) {
      for (ExternalService o : ExternalService.values()) {
        boolean was = old.ageMs(o) >= 0;
        if (was != row.ageMs(o) >= 0) {
          String to = o.name().toLowerCase(java.util.Locale.ROOT);
          changed(new Change(row.node(), to, was, now - rowMs[p], row.node()));
        }
      }
    }
    rows[p] = row;
    rowMs[p] = now;
    return true;
  }

  /** When the process of the newest row of a node began, by its own word; 0 without one. */
  public long began(String of) {
    int p = peer(of);
    return p < 0 || rows[p] == null ? 0 : rows[p].started();
  }

  /**
   * A peer has a row of this node by a process that seems to have begun later. That one is over:
   * the time of day had wandered, and this process was back sooner than that. So it takes a later
   * beginning, or none of its rows would ever count.
   */
  public void outrun(long began) {
    started = Math.max(started, began + 1);
  }

  private void changed(Change c) {
    if (changes.size() < MOST_CHANGES) {
      changes.add(c);
    } else {
      leftOut++;
    }
  }

  /** Takes the changes that wait to be logged. */
  public List<Change> changes() {
    List<Change> out = new ArrayList<>(changes);
    changes.clear();
    return out;
  }

  /** Takes the count of changes that were left out. */
  public long leftOut() {
    long n = leftOut;
    leftOut = 0;
    return n;
  }

  /** This node's row. */
  public LinkStateAdvertisement own(long term, boolean leading, long now) {
    List<String> reached = new ArrayList<>();
    for (int p = 0; p < toPeer.length; p++) {
      if (toPeer[p].ageMs(now) >= 0) {
        reached.add(peers.get(p));
      }
    }
    List<LinkStateAdvertisement.Heard> heard = new ArrayList<>();
    for (int z = 0; z < zones.size(); z++) {
      heard.add(
          new LinkStateAdvertisement.Heard(
              zones.get(z), age(directMs[z], now), age(carriedMs[z], now)));
    }
    return new LinkStateAdvertisement(
        node,
        started,
        ++sequence,
        term,
        leading,
        outside[0].ageMs(now),
        outside[1].ageMs(now),
        reached,
        heard);
  }

  private static long age(long atMs, long now) {
    return atMs == NEVER ? -1 : now - atMs;
  }

  /** True when the newest sign of this node's own link to the party is a failure. */
  public boolean down(ExternalService party) {
    return outside[party.ordinal()].down();
  }

  /** Since when this node's own link to the party is as it is. */
  public long sinceMs(ExternalService party) {
    return outside[party.ordinal()].changedMs();
  }

  /** Age of the newest use of an outside party that worked; -1 while down or before the first. */
  public long ageMs(ExternalService party, long now) {
    return outside[party.ordinal()].ageMs(now);
  }

  /** True when the newest sign of the link to a peer is a failure. */
  public boolean downPeer(int peer) {
    return toPeer[peer].down();
  }

  /** A peer's newest row, while it is fresh, else null. */
  public LinkStateAdvertisement fresh(int peer, long now) {
    return rows[peer] != null && now - rowMs[peer] <= policy.freshMs() ? rows[peer] : null;
  }

  /** How many peers' rows are fresh. */
  public int freshRows(long now) {
    int n = 0;
    for (int p = 0; p < rows.length; p++) {
      n += fresh(p, now) != null ? 1 : 0;
    }
    return n;
  }

  /** Peers that are reached and say that they reach the party by their own link. */
  public IntList reaching(ExternalService party, long now) {
    IntList out = new IntArrayList();
    for (int p = 0; p < rows.length; p++) {
      if (reaches(p, party, now)) {
        out.add(p);
      }
    }
    return out;
  }

  /** True when the peer is reached and said a moment ago that it reaches the party. */
  public boolean reaches(int peer, ExternalService party, long now) {
    LinkStateAdvertisement r = fresh(peer, now);
    return r != null
        && !toPeer[peer].down()
        && r.ageMs(party) >= 0
        && r.ageMs(party) <= policy.freshMs();
  }

  /** Links that are down by this node's own word. */
  public int downCount() {
    int n = 0;
    for (Link l : outside) {
      n += l.down() ? 1 : 0;
    }
    for (Link l : toPeer) {
      n += l.down() ? 1 : 0;
    }
    return n;
  }

  /** Names of the zones, as rows have them. */
  public String zoneName(int zone) {
    return zones.get(zone);
  }
}
