package org.mallowroad.core.health;

/**
 * Run times of comparable tasks: the tasks of one job, which resemble each other, or the tasks of
 * one class, which are affected alike by general slowdowns. A sample is the logarithm of the ratio
 * of run time to estimate; the newest {@link #MAX_SAMPLES} are kept.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class RunTimeBaseline {
  private static final int MAX_SAMPLES = 31;

  /** Minimum number of samples for a usable baseline. */
  private static final int MIN_SAMPLES = 5;

  /**
   * Share of a job's tasks that must have finished before the baseline is usable: the tasks that
   * finish first are the fastest, so a smaller share would set the baseline too low.
   */
  private static final double MIN_FINISHED_SHARE = 1 / 3.0;

  /**
   * Converts a median absolute deviation to a standard deviation, assuming a normal distribution.
   */
  private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

  private final int minSamples;

  /** Ring buffer of the newest samples, allocated lazily since most jobs never need it. */
  private double[] samples = new double[0];

  private int sampleCount;
  private double median;
  private double spread;
  private boolean stale;

  /** Creates an empty baseline for a job or a class with the given number of tasks. */
  public RunTimeBaseline(int tasks) {
    this.minSamples =
        (int) Math.max(MIN_SAMPLES, Math.min(MAX_SAMPLES, tasks * MIN_FINISHED_SHARE));
  }

  /** Adds a sample: the logarithm of the ratio of a task's run time to its estimate. */
  void add(double logRatio) {
    if (samples.length == 0) {
      samples = new double[MAX_SAMPLES];
    }
    samples[sampleCount % MAX_SAMPLES] = logRatio;
    // Wrapping the count keeps it from overflowing; a full ring buffer still counts as full.
    sampleCount = sampleCount + 1 == 2 * MAX_SAMPLES ? MAX_SAMPLES : sampleCount + 1;
    stale = true;
  }

  /** True when there are enough samples to compare other tasks with. */
  boolean isSufficient() {
    return sampleCount >= minSamples;
  }

  /** Median of the samples. */
  double median() {
    updateStatistics();
    return median;
  }

  /** Robust estimate of the samples' standard deviation, from the median absolute deviation. */
  double spread() {
    updateStatistics();
    return spread;
  }

  private void updateStatistics() {
    if (!stale) {
      return;
    }
    int size = Math.min(sampleCount, MAX_SAMPLES);
    median = Medians.of(samples, size);
    double[] deviations = new double[size];
    for (int i = 0; i < size; i++) {
      deviations[i] = Math.abs(samples[i] - median);
    }
    spread = MAD_TO_STANDARD_DEVIATION * Medians.of(deviations, size);
    stale = false;
  }
}
