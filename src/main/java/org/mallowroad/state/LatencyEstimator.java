package org.mallowroad.state;

/**
 * A smoothed response time and its variation, as TCP estimates its retransmission time (RFC 6298).
 */
final class LatencyEstimator {
  /** Weight of a new sample in the smoothed time (RFC 6298: alpha). */
  private static final double GAIN = 0.125;

  /** Weight of a new sample in the variation (RFC 6298: beta). */
  private static final double VARIATION_GAIN = 0.25;

  /** Variations above the smoothed time from which on a response is late (RFC 6298: K). */
  private static final double VARIATIONS = 4;

  /** The estimate before the first sample. */
  private static final double INITIAL_MS = 50;

  private double smoothedMs = INITIAL_MS;
  private double variationMs = INITIAL_MS / 2;

  /** Adds the time that a response took. */
  void sample(long ms) {
    variationMs += VARIATION_GAIN * (Math.abs(ms - smoothedMs) - variationMs);
    smoothedMs += GAIN * (ms - smoothedMs);
  }

  /** A response that takes longer than this is probably lost. */
  long retransmissionTimeoutMs() {
    return Math.round(smoothedMs + VARIATIONS * variationMs);
  }
}
