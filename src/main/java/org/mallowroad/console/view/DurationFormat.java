package org.mallowroad.console.view;

import java.util.Locale;

/** Formats durations for users. */
public final class DurationFormat {
  private DurationFormat() {}

  /**
   * Formats a duration as {@code 0.4s}, {@code 17s}, {@code 3m20s} or {@code 2h05m}. A negative
   * duration is unknown and formatted as a dash.
   */
  public static String of(double seconds) {
    if (seconds < 0) {
      return "-";
    }
    if (seconds < 9.95) {
      return String.format(Locale.ROOT, "%.1fs", seconds);
    }
    long rounded = Math.round(seconds);
    if (rounded < 60) {
      return rounded + "s";
    }
    if (rounded < 3600) {
      return String.format(Locale.ROOT, "%dm%02ds", rounded / 60, rounded % 60);
    }
    return String.format(Locale.ROOT, "%dh%02dm", rounded / 3600, rounded / 60 % 60);
  }
}
