package org.mallowroad.core.health;

import java.util.Arrays;
import org.apache.commons.statistics.descriptive.Median;

/** Medians: averages that a few wrong estimates or cached results cannot shift. */
final class Medians {
  private Medians() {}

  /** The median of the first {@code count} values. */
  static double of(double[] values, int count) {
    return Median.withDefaults().evaluate(Arrays.copyOf(values, count));
  }
}
