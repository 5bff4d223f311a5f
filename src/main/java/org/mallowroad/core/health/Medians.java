package org.mallowroad.core.health;

import java.util.Arrays;
import org.apache.commons.statistics.descriptive.Median;

/** Medians: the one average that a few wrong estimates or cached results cannot move. */
final class Medians {
  private Medians() {}

  /** The median of the first {@code n} values. */
  static double of(double[] values, int n) {
    return Median.withDefaults().evaluate(Arrays.copyOf(values, n));
  }
}
