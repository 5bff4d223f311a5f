package org.mallowroad.config;

/**
 * Which form of records a leader writes. Every build from this one on reads both forms; an earlier
 * one does not know shared records, so they are written only once all controllers read them.
 *
 * @param shareStarts whether small jobs share records of their starts
 */
public record RecordPolicy(boolean shareStarts) {
  /** What holds without a setting. */
  public static RecordPolicy defaults() {
    return new RecordPolicy(false);
  }
}
