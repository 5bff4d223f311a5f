package org.mallowroad.config;

/**
 * Selects the form of the start records that a leader writes. This build and later ones read both
 * forms. Earlier builds cannot read shared records, so a leader writes shared records only once all
 * controllers can read them.
 *
 * @param sharesStartRecords whether the starts of small jobs share records
 */
public record RecordPolicy(boolean sharesStartRecords) {
  /** The policy that applies when the settings have none: no shared records. */
  public static RecordPolicy defaults() {
    return new RecordPolicy(false);
  }
}
