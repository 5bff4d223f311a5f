package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The links that a node knows of: its own by the outcomes of its calls, those of its peers by their
 * link-state advertisements.
 *
 * <p>Peers and zones are dense indices here. What an advertisement says about names that this node
 * does not know is ignored. Times are in milliseconds of the caller's monotonic clock. Not
 * thread-safe: confined to the controller's event loop.
 */
public final class LinkStateTable {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Changes that are kept for the log; further ones are only counted. */
  private static final int MAX_PENDING_CHANGES = 64;

  private final LinkPolicy policy;
  private final String node;
  private final List<String> peers;
  private final List<String> zones;
  private long processStartedMs;

  /** Links to the external services, by ordinal. */
  private final Link[] toService = new Link[ExternalService.values().length];

  // By peer.
  private final Link[] toPeer;
  private final LinkStateAdvertisement[] advertisements;
  private final long[] acceptedMs;

  // By zone.
  private final long[] directHeartbeatMs;
  private final long[] relayedHeartbeatMs;

  private final ArrayDeque<LinkChange> changes = new ArrayDeque<>();
  private long droppedChangeCount;
  private long sequence;

  /**
   * A link went down or came up.
   *
   * @param from the node at the near end of the link
   * @param to the peer or, in lower case, the external service at the far end
   * @param down true when the link is down now
   * @param previousStateMs how long the previous state had lasted, in ms
   * @param reportedBy the node that observed the change
   */
  public record LinkChange(
      String from, String to, boolean down, long previousStateMs, String reportedBy) {}

  /**
   * Creates the table of a node.
   *
   * @param node name of this node
   * @param peers names of the other controllers
   * @param zones names of the zones
   * @param started when this process began, by the time of day
   */
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
    this.processStartedMs = started;
    Arrays.setAll(toService, i -> new Link(now));
    this.toPeer = new Link[peers.size()];
    Arrays.setAll(toPeer, i -> new Link(now));
    this.directHeartbeatMs = new long[zones.size()];
    this.relayedHeartbeatMs = new long[zones.size()];
    Arrays.fill(directHeartbeatMs, NEVER);
    Arrays.fill(relayedHeartbeatMs, NEVER);
    this.advertisements = new LinkStateAdvertisement[peers.size()];
    this.acceptedMs = new long[peers.size()];
  }

  /** The operators' values. */
  public LinkPolicy policy() {
    return policy;
  }

  /** Index of a peer, or -1 when the name is unknown. */
  public int peerIndex(String name) {
    return peers.indexOf(name);
  }

  /** Name of a peer. */
  public String peerName(int peer) {
    return peers.get(peer);
  }

  /** Number of peers. */
  public int peerCount() {
    return peers.size();
  }

  /** Name of a zone. */
  public String zoneName(int zone) {
    return zones.get(zone);
  }

  /** Records the outcome of a direct call of this node to an external service. */
  public void recordCall(ExternalService service, boolean succeeded, long sentMs, long now) {
    recordOutcome(toService[service.ordinal()], nameOf(service), succeeded, sentMs, now);
  }

  /** Records whether a message to a peer was answered. */
  public void recordPeerCall(int peer, boolean succeeded, long sentMs, long now) {
    recordOutcome(toPeer[peer], peers.get(peer), succeeded, sentMs, now);
  }

  private void recordOutcome(Link link, String to, boolean succeeded, long sentMs, long now) {
    long beforeMs = link.changedMs();
    boolean changed = succeeded ? link.recordSuccess(sentMs, now) : link.recordFailure(sentMs, now);
    if (changed) {
      keepChange(new LinkChange(node, to, !succeeded, now - beforeMs, node));
    }
  }

  private static String nameOf(ExternalService service) {
    return service.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Records a heartbeat of a zone's worker; an unknown zone (-1) is ignored.
   *
   * @param direct true when the worker sent it to this node, false when a peer relayed it
   */
  public void recordHeartbeat(int zone, boolean direct, long now) {
    if (zone >= 0 && zone < directHeartbeatMs.length) {
      (direct ? directHeartbeatMs : relayedHeartbeatMs)[zone] = now;
    }
  }

  /**
   * Takes in a peer's advertisement.
   *
   * @return false when it is of an unknown node, or not newer than the one that is known
   */
  public boolean accept(LinkStateAdvertisement advertisement, long now) {
    int peer = peerIndex(advertisement.node());
    if (peer < 0) {
      return false;
    }
    LinkStateAdvertisement previous = advertisements[peer];
    if (previous != null) {
      if (!advertisement.isNewerThan(previous)) {
        return false;
      }
      keepServiceChanges(previous, advertisement, now - acceptedMs[peer]);
    }
    advertisements[peer] = advertisement;
    acceptedMs[peer] = now;
    return true;
  }

  private void keepServiceChanges(
      LinkStateAdvertisement previous, LinkStateAdvertisement next, long lastedMs) {
    for (ExternalService service : ExternalService.values()) {
      boolean wasUp = previous.ageMs(service) >= 0;
      boolean isUp = next.ageMs(service) >= 0;
      if (wasUp != isUp) {
        keepChange(new LinkChange(next.node(), nameOf(service), wasUp, lastedMs, next.node()));
      }
    }
  }

  /**
   * When the process of a node's newest advertisement began, by its own time of day; 0 without an
   * advertisement.
   */
  public long processStartedMs(String nodeName) {
    int peer = peerIndex(nodeName);
    return peer < 0 || advertisements[peer] == null ? 0 : advertisements[peer].processStartedMs();
  }

  /**
   * Makes this process count as the later one. A peer holds an advertisement of this node by an
   * earlier process that seems to have begun at {@code otherStarted}, after this one: the time of
   * day was set back by more than the restart took. Without a later start time all advertisements
   * of this process would be ignored.
   */
  public void advanceStartTimePast(long otherStarted) {
    processStartedMs = Math.max(processStartedMs, otherStarted + 1);
  }

  private void keepChange(LinkChange change) {
    if (changes.size() < MAX_PENDING_CHANGES) {
      changes.add(change);
    } else {
      droppedChangeCount++;
    }
  }

  /** Takes the changes since the last call, {@link #MAX_PENDING_CHANGES} at the most. */
  public List<LinkChange> takeChanges() {
    List<LinkChange> taken = new ArrayList<>(changes);
    changes.clear();
    return taken;
  }

  /** Takes the number of changes since the last call that were counted but not kept. */
  public long takeDroppedChangeCount() {
    long taken = droppedChangeCount;
    droppedChangeCount = 0;
    return taken;
  }

  /** Makes this node's next advertisement. */
  public LinkStateAdvertisement advertise(long term, boolean leading, long now) {
    List<String> reachedPeers = new ArrayList<>();
    for (int peer = 0; peer < toPeer.length; peer++) {
      if (toPeer[peer].ageMs(now) >= 0) {
        reachedPeers.add(peers.get(peer));
      }
    }
    List<LinkStateAdvertisement.ZoneContact> contacts = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      contacts.add(
          new LinkStateAdvertisement.ZoneContact(
              zones.get(zone),
              ageMs(directHeartbeatMs[zone], now),
              ageMs(relayedHeartbeatMs[zone], now)));
    }
    return new LinkStateAdvertisement(
        node,
        processStartedMs,
        ++sequence,
        term,
        leading,
        ageMs(ExternalService.STATE, now),
        ageMs(ExternalService.CLOUD, now),
        reachedPeers,
        contacts);
  }

  private static long ageMs(long atMs, long now) {
    return atMs == NEVER ? -1 : now - atMs;
  }

  /** True when the newest evidence about this node's own link to the service is a failure. */
  public boolean isDown(ExternalService service) {
    return toService[service.ordinal()].isDown();
  }

  /** When this node's own link to the service came up or went down. */
  public long changedMs(ExternalService service) {
    return toService[service.ordinal()].changedMs();
  }

  /**
   * Age of this node's newest successful direct call to a service, in ms; -1 while the link is down
   * or before the first one.
   */
  public long ageMs(ExternalService service, long now) {
    return toService[service.ordinal()].ageMs(now);
  }

  /** True when the newest evidence about the link to a peer is a failure. */
  public boolean isPeerDown(int peer) {
    return toPeer[peer].isDown();
  }

  /** A peer's newest advertisement, or null when there is none that is fresh. */
  public LinkStateAdvertisement freshAdvertisement(int peer, long now) {
    boolean fresh = advertisements[peer] != null && now - acceptedMs[peer] <= policy.maxAgeMs();
    return fresh ? advertisements[peer] : null;
  }

  /** Number of peers with a fresh advertisement. */
  public int freshAdvertisementCount(long now) {
    int count = 0;
    for (int peer = 0; peer < advertisements.length; peer++) {
      count += freshAdvertisement(peer, now) != null ? 1 : 0;
    }
    return count;
  }

  /** Peers by way of which the service can be reached; see {@link #canPeerReach}. */
  public IntList peersReaching(ExternalService service, long now) {
    IntList reaching = new IntArrayList();
    for (int peer = 0; peer < advertisements.length; peer++) {
      if (canPeerReach(peer, service, now)) {
        reaching.add(peer);
      }
    }
    return reaching;
  }

  /**
   * True when this node reaches the peer, and the peer's fresh advertisement says that it reaches
   * the service by its own link.
   */
  public boolean canPeerReach(int peer, ExternalService service, long now) {
    LinkStateAdvertisement advertisement = freshAdvertisement(peer, now);
    return advertisement != null
        && !toPeer[peer].isDown()
        && advertisement.ageMs(service) >= 0
        && advertisement.ageMs(service) <= policy.maxAgeMs();
  }

  /** Number of this node's own links that are down. */
  public int downLinkCount() {
    return countDown(toService) + countDown(toPeer);
  }

  private static int countDown(Link[] links) {
    int count = 0;
    for (Link link : links) {
      count += link.isDown() ? 1 : 0;
    }
    return count;
  }
}
