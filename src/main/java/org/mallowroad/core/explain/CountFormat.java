package org.mallowroad.core.explain;

import java.util.Locale;

/** Formats counts and amounts as text for users. */
public final class CountFormat {
  private CountFormat() {}

  /** Formats a count with its noun, such as {@code 1 task} or {@code 3 tasks}. */
  public static String of(int count, String noun) {
    return count + " " + noun + (count == 1 ? "" : "s");
  }

  /** Formats an amount without decimals if it is an integer, otherwise with one decimal. */
  static String amount(double amount) {
    return amount == Math.rint(amount)
        ? Long.toString((long) amount)
        : String.format(Locale.ROOT, "%.1f", amount);
  }
}
