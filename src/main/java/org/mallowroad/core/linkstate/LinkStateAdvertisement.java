package org.mallowroad.core.linkstate;

import java.util.List;

/**
 * Link-state advertisement: what a node says of its own links. Ages are in ms at the time of
 * sending, since the nodes share no clock; -1 stands for a link that is down or was never used.
 *
 * @param node name of the node
 * @param started when its process began, by its time of day; orders advertisements across restarts
 * @param sequence number of the advertisement within its process
 * @param term the term that the node leads, or the highest it has seen
 * @param leading whether the node leads
 * @param stateAgeMs age of its newest successful direct call to the state service
 * @param cloudAgeMs age of its newest successful direct call to the cloud
 * @param peers names of the controllers that it reaches
 * @param zones when it last received heartbeats, by zone
 */
public record LinkStateAdvertisement(
    String node,
    long started,
    long sequence,
    long term,
    boolean leading,
    long stateAgeMs,
    long cloudAgeMs,
    List<String> peers,
    List<ZoneContact> zones) {
  /** Most entries of each list; further ones, which a faulty peer may send, are dropped. */
  public static final int MAX_ENTRIES = 256;

  /** Copies the lists and cuts them to {@link #MAX_ENTRIES}. */
  public LinkStateAdvertisement {
    peers = List.copyOf(peers.subList(0, Math.min(MAX_ENTRIES, peers.size())));
    zones = List.copyOf(zones.subList(0, Math.min(MAX_ENTRIES, zones.size())));
  }

  /**
   * A node's contact with the workers of a zone.
   *
   * @param zone name of the zone
   * @param directAgeMs age of the last heartbeat that a worker of the zone sent to the node itself;
   *     -1 for none
   * @param relayedAgeMs age of the last one that came by way of another controller; -1 for none
   */
  public record ZoneContact(String zone, long directAgeMs, long relayedAgeMs) {}

  /** True when this is newer than another advertisement of the same node. */
  boolean isNewerThan(LinkStateAdvertisement other) {
    return started != other.started ? started > other.started : sequence > other.sequence;
  }

  /** Age of the newest successful direct call to a service; -1 when the link is down. */
  long ageMs(ExternalService service) {
    return service == ExternalService.STATE ? stateAgeMs : cloudAgeMs;
  }

  /** The node's contact with a zone, or null when it names none. */
  public ZoneContact zoneContact(String zone) {
    for (ZoneContact contact : zones) {
      if (contact.zone().equals(zone)) {
        return contact;
      }
    }
    return null;
  }
}
