package org.mallowroad.config;

/**
 * Which form of records a leader writes. Every build from this one on reads both forms; an earlier
 * one does not know shared records, so they are switched on once no earlier build runs any more.
 *
 * @param shareStarts whether small jobs share records of their starts
 */
public record RecordPolicy(boolean shareStarts) {
  /** What holds without a setting. */
  public static RecordPolicy defaults() {
    return new RecordPolicy(false);
  }
}
