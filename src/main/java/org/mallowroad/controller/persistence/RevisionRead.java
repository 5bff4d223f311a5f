package org.mallowroad.controller.persistence;

/**
 * A revision of the state service up to which the open jobs were read.
 *
 * @param revision the revision; -1 before the first read
 * @param sentMs when the request of that read was sent, in ms of the monotonic clock
 */
public record RevisionRead(long revision, long sentMs) {
  static final RevisionRead NONE = new RevisionRead(-1, 0);

  /** Age of the read in ms, or -1 before the first read. */
  public long ageMs(long now) {
    return revision < 0 ? -1 : now - sentMs;
  }
}
