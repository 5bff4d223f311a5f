package org.mallowroad.core.linkstate;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The link state known to a node: that of its own links, derived from the outcomes of its calls,
 * and that of its peers' links, from their link-state advertisements.
 *
 * <p>Peers and zones are identified by dense indices. Entries of an advertisement for names that
 * this node does not know are ignored. Times are in milliseconds of the caller's monotonic clock.
 * Not thread-safe: confined to the controller's event loop.
 */
public final class LinkStateTable {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Maximum number of link changes that are kept for the log; further ones are only counted. */
  private static final int MAX_PENDING_CHANGES = 64;

  private final LinkPolicy policy;
  private final String nodeName;
  private final List<String> peers;
  private final List<String> zones;
  private long processStartedMs;

  /** Links to the external services, indexed by ordinal. */
  private final Link[] serviceLinks = new Link[ExternalService.values().length];

  // The arrays below are indexed by peer.
  private final Link[] peerLinks;
  private final LinkStateAdvertisement[] advertisements;
  private final long[] advertisementAcceptedMs;

  // The arrays below are indexed by zone.
  private final long[] directHeartbeatMs;
  private final long[] relayedHeartbeatMs;

  private final ArrayDeque<LinkChange> pendingChanges = new ArrayDeque<>();
  private long droppedChangeCount;
  private long lastSequence;

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
   * @param nodeName name of this node
   * @param peers names of the other controllers
   * @param zones names of the zones
   * @param processStartedMs start time of this process in wall-clock time, in ms
   */
  public LinkStateTable(
      LinkPolicy policy,
      String nodeName,
      List<String> peers,
      List<String> zones,
      long processStartedMs,
      long now) {
    this.policy = policy;
    this.nodeName = nodeName;
    this.peers = List.copyOf(peers);
    this.zones = List.copyOf(zones);
    this.processStartedMs = processStartedMs;
    Arrays.setAll(serviceLinks, i -> new Link(now));
    this.peerLinks = new Link[peers.size()];
    Arrays.setAll(peerLinks, i -> new Link(now));
    this.directHeartbeatMs = new long[zones.size()];
    this.relayedHeartbeatMs = new long[zones.size()];
    Arrays.fill(directHeartbeatMs, NEVER);
    Arrays.fill(relayedHeartbeatMs, NEVER);
    this.advertisements = new LinkStateAdvertisement[peers.size()];
    this.advertisementAcceptedMs = new long[peers.size()];
  }

  /** The operators' settings for link-state routing. */
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
    recordOutcome(serviceLinks[service.ordinal()], serviceName(service), succeeded, sentMs, now);
  }

  /** Records whether the peer answered a message of this node. */
  public void recordPeerCall(int peer, boolean succeeded, long sentMs, long now) {
    recordOutcome(peerLinks[peer], peers.get(peer), succeeded, sentMs, now);
  }

  private void recordOutcome(
      Link link, String targetName, boolean succeeded, long sentMs, long now) {
    long previousChangeMs = link.changedMs();
    boolean changed = succeeded ? link.recordSuccess(sentMs, now) : link.recordFailure(sentMs, now);
    if (changed) {
      recordChange(
          new LinkChange(nodeName, targetName, !succeeded, now - previousChangeMs, nodeName));
    }
  }

  private static String serviceName(ExternalService service) {
    return service.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Records a heartbeat from a worker of the zone; an unknown zone (-1) is ignored.
   *
   * @param direct true when the worker sent the heartbeat to this node, false when a peer relayed
   *     it
   */
  public void recordHeartbeat(int zone, boolean direct, long now) {
    if (zone >= 0 && zone < directHeartbeatMs.length) {
      (direct ? directHeartbeatMs : relayedHeartbeatMs)[zone] = now;
    }
  }

  /**
   * Accepts a peer's advertisement if it is newer than the known one.
   *
   * @return false when the advertisement comes from an unknown node or is not newer
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
      recordServiceChanges(previous, advertisement, now - advertisementAcceptedMs[peer]);
    }
    advertisements[peer] = advertisement;
    advertisementAcceptedMs[peer] = now;
    return true;
  }

  private void recordServiceChanges(
      LinkStateAdvertisement previous, LinkStateAdvertisement next, long previousStateMs) {
    for (ExternalService service : ExternalService.values()) {
      boolean wasUp = previous.ageMs(service) >= 0;
      boolean isUp = next.ageMs(service) >= 0;
      if (wasUp != isUp) {
        recordChange(
            new LinkChange(next.node(), serviceName(service), wasUp, previousStateMs, next.node()));
      }
    }
  }

  /**
   * Start time of the process that sent a node's newest advertisement, in that node's wall-clock
   * time in ms; 0 without an advertisement.
   */
  public long processStartedMs(String advertisingNode) {
    int peer = peerIndex(advertisingNode);
    return peer < 0 || advertisements[peer] == null ? 0 : advertisements[peer].processStartedMs();
  }

  /**
   * Moves the advertised start time of this process past that of an earlier process of this node.
   *
   * <p>Called when a peer holds an advertisement of an earlier process that appears to have started
   * at {@code otherStartedMs}, after this one. That happens when the wall clock was set back by
   * more than the restart took. Without a later start time, peers would ignore all advertisements
   * of this process.
   */
  public void advanceStartTimePast(long otherStartedMs) {
    processStartedMs = Math.max(processStartedMs, otherStartedMs + 1);
  }

  private void recordChange(LinkChange change) {
    if (pendingChanges.size() < MAX_PENDING_CHANGES) {
      pendingChanges.add(change);
    } else {
      droppedChangeCount++;
    }
  }

  /** Returns and clears the changes since the last call, at most {@link #MAX_PENDING_CHANGES}. */
  public List<LinkChange> takeChanges() {
    List<LinkChange> taken = new ArrayList<>(pendingChanges);
    pendingChanges.clear();
    return taken;
  }

  /** Returns and resets the number of changes since the last call that were not kept. */
  public long takeDroppedChangeCount() {
    long taken = droppedChangeCount;
    droppedChangeCount = 0;
    return taken;
  }

  /** Creates this node's next advertisement. */
  public LinkStateAdvertisement advertise(long term, boolean leading, long now) {
    List<String> reachedPeers = new ArrayList<>();
    for (int peer = 0; peer < peerLinks.length; peer++) {
      if (peerLinks[peer].ageMs(now) >= 0) {
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
        nodeName,
        processStartedMs,
        ++lastSequence,
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

  /** True when this node's own link to the service is down according to its newest evidence. */
  public boolean isDown(ExternalService service) {
    return serviceLinks[service.ordinal()].isDown();
  }

  /** When this node's own link to the service last came up or went down. */
  public long changedMs(ExternalService service) {
    return serviceLinks[service.ordinal()].changedMs();
  }

  /**
   * Age of this node's newest successful direct call to a service, in ms; -1 while the link is down
   * or before the first successful call.
   */
  public long ageMs(ExternalService service, long now) {
    return serviceLinks[service.ordinal()].ageMs(now);
  }

  /** True when this node's link to the peer is down according to its newest evidence. */
  public boolean isPeerDown(int peer) {
    return peerLinks[peer].isDown();
  }

  /** A peer's newest advertisement, or null when it is too old or there is none. */
  public LinkStateAdvertisement freshAdvertisement(int peer, long now) {
    boolean fresh =
        advertisements[peer] != null && now - advertisementAcceptedMs[peer] <= policy.maxAgeMs();
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

  /** The peers that can relay calls to the service; see {@link #canPeerReach}. */
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
   * True when this node reaches the peer, and the peer reaches the service directly according to
   * its fresh advertisement.
   */
  public boolean canPeerReach(int peer, ExternalService service, long now) {
    LinkStateAdvertisement advertisement = freshAdvertisement(peer, now);
    return advertisement != null
        && !peerLinks[peer].isDown()
        && advertisement.ageMs(service) >= 0
        && advertisement.ageMs(service) <= policy.maxAgeMs();
  }

  /** Number of this node's own links that are down. */
  public int downLinkCount() {
    return countDown(serviceLinks) + countDown(peerLinks);
  }

  private static int countDown(Link[] links) {
    int count = 0;
    for (Link link : links) {
      count += link.isDown() ? 1 : 0;
    }
    return count;
  }
}
