package org.mallowroad.core.linkstate;

import java.util.List;

/**
 * What a node says of its own links.
 *
 * @param node who says it
 * @param started when its process began, by its time of day: orders rows across its restarts
 * @param sequence rises with each row of a process
 * @param term the term it leads, or the highest it has seen
 * @param leading whether it leads
 * @param stateMs age of its newest call that the state service has done, by its own link; -1: cut
 * @param cloudMs the same of the cloud
 * @param peers the controllers it reaches
 * @param zones when it last heard the workers, by zone
 */
public record LinkStateAdvertisement(
    String node,
    long started,
    long sequence,
    long term,
    boolean leading,
    long stateMs,
    long cloudMs,
    List<String> peers,
    List<Heard> zones) {
  /** The most entries of a list that are read: what a broken peer can make us keep. */
  public static final int MOST = 256;

  /** Bounds the lists. */
  public LinkStateAdvertisement {
    peers = List.copyOf(peers.subList(0, Math.min(MOST, peers.size())));
    zones = List.copyOf(zones.subList(0, Math.min(MOST, zones.size())));
  }

  /**
   * Workers of a zone.
   *
   * @param directMs since one reported here itself; -1: never
   * @param carriedMs since one's report came by way of another controller; -1: never
   */
  public record Heard(String zone, long directMs, long carriedMs) {}

  /** True when it is newer than another of the same node. */
  boolean newer(LinkStateAdvertisement other) {
    return started != other.started ? started > other.started : sequence > other.sequence;
  }

  /** Age of its newest use of an outside party; -1: cut. */
  long ageMs(ExternalService party) {
    return party == ExternalService.STATE ? stateMs : cloudMs;
  }

  /** What it said of a zone's workers, or null. */
  public Heard zone(String name) {
    for (Heard h : zones) {
      if (h.zone().equals(name)) {
        return h;
      }
    }
    return null;
  }
}
