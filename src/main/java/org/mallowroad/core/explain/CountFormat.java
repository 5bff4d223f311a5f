package org.mallowroad.core.explain;

import java.util.Locale;

/** Formats counts and amounts for people. */
public final class CountFormat {
  private CountFormat() {}

  /** A count of things, as {@code 1 task} or {@code 3 tasks}. */
  public static String of(int count, String thing) {
    return count + " " + thing + (count == 1 ? "" : "s");
  }

  /** An amount, without decimals if it is whole and with one otherwise. */
  static String amount(double amount) {
    return amount == Math.rint(amount)
        ? Long.toString((long) amount)
        : String.format(Locale.ROOT, "%.1f", amount);
  }
}
