package org.mallowroad.state;

/** A smoothed time and its variation, as TCP estimates its retransmission time (RFC 6298). */
final class LatencyEstimator {
  private static final double GAIN = 0.125;
  private static final double VARIATION_GAIN = 0.25;
  private static final double VARIATIONS = 4;

  /** Before the first answers nothing is known of the service. */
  private static final double FIRST_MS = 50;

  private double smoothedMs = FIRST_MS;
  private double variationMs = FIRST_MS / 2;

  /** An answer took so long. */
  void sample(long ms) {
    variationMs += VARIATION_GAIN * (Math.abs(ms - smoothedMs) - variationMs);
    smoothedMs += GAIN * (ms - smoothedMs);
  }

  /** An answer that takes longer is probably lost. */
  long lateMs() {
    return Math.round(smoothedMs + VARIATIONS * variationMs);
  }
}
