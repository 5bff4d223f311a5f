package org.mallowroad.core.health;

/**
 * How long comparable tasks took, as logarithms of run time by estimate: of one job, whose tasks
 * resemble each other, or of one class, whose days lean one way. Bounded: the newest few.
 */
public final class RunTimeBaseline {
  private static final int KEPT = 31;

  /** Fewer tasks are no measure. */
  private static final int ENOUGH = 5;

  /** Nor are the first ones of many: those that end first are the fastest. */
  private static final double PART = 1 / 3.0;

  /** From the median absolute deviation to the standard deviation of a normal distribution. */
  private static final double NORMAL = 1.4826;

  private final int enough;
  private double[] ring = new double[0];
  private int n;
  private double median;
  private double spread;
  private boolean stale;

  /** The peers of a job of so many tasks. */
  public RunTimeBaseline(int tasks) {
    this.enough = (int) Math.max(ENOUGH, Math.min(KEPT, tasks * PART));
  }

  void add(double x) {
    if (ring.length == 0) {
      ring = new double[KEPT];
    }
    ring[n % KEPT] = x;
    // The ring is full and stays so: the count never overflows.
    n = n + 1 == 2 * KEPT ? KEPT : n + 1;
    stale = true;
  }

  /** True when they are a measure for others. */
  boolean enough() {
    return n >= enough;
  }

  double median() {
    refresh();
    return median;
  }

  /** How far they lie apart: a robust standard deviation. */
  double spread() {
    refresh();
    return spread;
  }

  private void refresh() {
    if (stale) {
      int size = Math.min(n, KEPT);
      median = Medians.of(ring, size);
      double[] off = new double[size];
      for (int i = 0; i < size; i++) {
        off[i] = Math.abs(ring[i] - median);
      }
      spread = NORMAL * Medians.of(off, size);
      stale = false;
    }
  }
}
