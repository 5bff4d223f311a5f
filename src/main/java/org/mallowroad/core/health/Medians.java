package org.mallowroad.core.health;

import java.util.Arrays;
import org.apache.commons.statistics.descriptive.Median;

/** Computes medians, which a few wrong estimates or cached results hardly shift. */
final class Medians {
  private Medians() {}

  /** The median of the first {@code count} values. */
  static double of(double[] values, int count) {
    return Median.withDefaults().evaluate(Arrays.copyOf(values, count));
  }
}
