package org.mallowroad.state;

/**
 * Estimates the response time and its variation in the way TCP computes its retransmission time-out
 * (RFC 6298).
 */
final class LatencyEstimator {
  /** Weight of a new sample in the smoothed response time (alpha in RFC 6298). */
  private static final double SMOOTHING_GAIN = 0.125;

  /** Weight of a new sample in the variation (beta in RFC 6298). */
  private static final double VARIATION_GAIN = 0.25;

  /**
   * A response is late when it exceeds the smoothed time by this many variations (K in RFC 6298).
   */
  private static final double VARIATION_FACTOR = 4;

  /** The estimate before the first sample, in milliseconds. */
  private static final double INITIAL_MS = 50;

  private double smoothedMs = INITIAL_MS;
  private double variationMs = INITIAL_MS / 2;

  /** Adds a measured response time, in milliseconds. */
  void addSample(long ms) {
    variationMs += VARIATION_GAIN * (Math.abs(ms - smoothedMs) - variationMs);
    smoothedMs += SMOOTHING_GAIN * (ms - smoothedMs);
  }

  /** Time after which a response is probably lost, in milliseconds. */
  long retransmissionTimeoutMs() {
    return Math.round(smoothedMs + VARIATION_FACTOR * variationMs);
  }
}
