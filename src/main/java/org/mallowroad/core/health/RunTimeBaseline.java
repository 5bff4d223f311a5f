package org.mallowroad.core.health;

/**
 * Run times of comparable tasks: the tasks of one job, which resemble each other, or the tasks of
 * one class, which share the trend of the day. Samples are logarithms of run time by estimate; the
 * newest {@link #MAX_SAMPLES} are kept.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class RunTimeBaseline {
  private static final int MAX_SAMPLES = 31;

  /** Fewer samples are not a baseline. */
  private static final int MIN_SAMPLES = 5;

  /** Share of a job's tasks that must have ended: the tasks that end first are the fastest. */
  private static final double MIN_SHARE_OF_TASKS = 1 / 3.0;

  /** Median absolute deviation to standard deviation, for a normal distribution. */
  private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

  private final int minSamples;

  /** Ring of the newest samples; allocated with the first one, since most jobs never need it. */
  private double[] samples = new double[0];

  private int count;
  private double median;
  private double spread;
  private boolean outdated;

  /** The baseline of a job, or of a class, with that many tasks. */
  public RunTimeBaseline(int tasks) {
    this.minSamples =
        (int) Math.max(MIN_SAMPLES, Math.min(MAX_SAMPLES, tasks * MIN_SHARE_OF_TASKS));
  }

  /** Adds the logarithm of a run time by its estimate. */
  void add(double logRatio) {
    if (samples.length == 0) {
      samples = new double[MAX_SAMPLES];
    }
    samples[count % MAX_SAMPLES] = logRatio;
    // A full ring stays full, so the count is wrapped and never overflows.
    count = count + 1 == 2 * MAX_SAMPLES ? MAX_SAMPLES : count + 1;
    outdated = true;
  }

  /** True when there are enough samples to compare others with. */
  boolean isSufficient() {
    return count >= minSamples;
  }

  /** Median of the samples. */
  double median() {
    update();
    return median;
  }

  /** Robust standard deviation of the samples. */
  double spread() {
    update();
    return spread;
  }

  private void update() {
    if (!outdated) {
      return;
    }
    int size = Math.min(count, MAX_SAMPLES);
    median = Medians.of(samples, size);
    double[] deviations = new double[size];
    for (int i = 0; i < size; i++) {
      deviations[i] = Math.abs(samples[i] - median);
    }
    spread = MAD_TO_STANDARD_DEVIATION * Medians.of(deviations, size);
    outdated = false;
  }
}
