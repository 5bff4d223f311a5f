package org.mallowroad.core.linkstate;

import java.util.List;

/**
 * Link-state advertisement: a node's report on its own links. Ages are in ms at the time of
 * sending, since the nodes share no clock; -1 marks a link that is down or was never used.
 *
 * @param node name of the advertising node
 * @param processStartedMs start time of the node's process in its own wall-clock time, in ms;
 *     orders advertisements across restarts
 * @param sequence number of the advertisement within its process
 * @param term the term that the node leads, or the highest that it has seen
 * @param leading true when the node is the leader
 * @param stateAgeMs age of the node's newest successful direct call to the state service
 * @param cloudAgeMs age of the node's newest successful direct call to the cloud
 * @param reachablePeers names of the controllers that the node reaches
 * @param zoneContacts when the node last received heartbeats, by zone
 */
public record LinkStateAdvertisement(
    String node,
    long processStartedMs,
    long sequence,
    long term,
    boolean leading,
    long stateAgeMs,
    long cloudAgeMs,
    List<String> reachablePeers,
    List<ZoneContact> zoneContacts) {
  /**
   * Maximum number of entries of each list. Further entries, which only a faulty peer sends, are
   * dropped.
   */
  public static final int MAX_ENTRIES = 256;

  /** Copies the lists, truncated to {@link #MAX_ENTRIES}. */
  public LinkStateAdvertisement {
    reachablePeers =
        List.copyOf(reachablePeers.subList(0, Math.min(MAX_ENTRIES, reachablePeers.size())));
    zoneContacts = List.copyOf(zoneContacts.subList(0, Math.min(MAX_ENTRIES, zoneContacts.size())));
  }

  /**
   * A node's contact with the workers of a zone.
   *
   * @param zone name of the zone
   * @param directAgeMs age in ms of the last heartbeat that the node received directly from a
   *     worker of the zone; -1 for none
   * @param relayedAgeMs age in ms of the last heartbeat from the zone that another controller
   *     relayed to the node; -1 for none
   */
  public record ZoneContact(String zone, long directAgeMs, long relayedAgeMs) {}

  /** True when this advertisement is newer than another one of the same node. */
  boolean isNewerThan(LinkStateAdvertisement other) {
    return processStartedMs != other.processStartedMs
        ? processStartedMs > other.processStartedMs
        : sequence > other.sequence;
  }

  /** Age in ms of the newest successful direct call to a service; -1 when the link is down. */
  long ageMs(ExternalService service) {
    return service == ExternalService.STATE ? stateAgeMs : cloudAgeMs;
  }

  /** The node's contact with a zone, or null when the advertisement does not list the zone. */
  public ZoneContact zoneContact(String zone) {
    for (ZoneContact contact : zoneContacts) {
      if (contact.zone().equals(zone)) {
        return contact;
      }
    }
    return null;
  }
}
